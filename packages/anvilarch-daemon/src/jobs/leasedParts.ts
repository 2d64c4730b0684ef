/** The parts that this gateway leases, from their claim to their end. */
import { OBJECT_NAMES } from 'anvilarch-protocol'
import { invariant, sleep } from 'anvilarch-utils'
import type { RequestRunner } from '../attempts/types'
import type { DaemonContext } from '../context'
import type { Heartbeat } from '../leases/types'
import { type ChunkLines, chunkLines } from './chunkLines'
import type { ClaimedPart } from './jobSearches'
import { jobMetrics } from './jobMetrics'
import type { PartLoad } from './partChoice'
import type { PartEnd } from './partCore'
import type { ResultBuffer } from './resultBuffer'
import type { PartRow } from './rows'
import { type LeasedPart, createLeasedPart } from './leasedPart'

/** Options of `createLeasedParts`. */
export interface LeasedPartsOptions {
  context: DaemonContext
  runner: RequestRunner
  heartbeat: Heartbeat
  buffer: ResultBuffer
  /** Called after each run and each loaded part, since another item may be started. */
  onProgress: () => void
  onEnded: (part: LeasedPart, end: PartEnd, row: PartRow) => void
  /** Called when a part is released before its end, so that its job is not searched again for a while. */
  onReleased: (jobId: string) => void
}

/** The parts that this gateway leases. */
export interface LeasedParts {
  all: () => Iterable<LeasedPart>
  size: () => number
  has: (jobId: string, part: number) => boolean
  jobIds: () => string[]
  /** All parts, including those whose items are still loading. */
  load: () => Iterable<PartLoad>
  /** Loads the items of a claimed part and starts it. */
  add: (claimed: ClaimedPart) => void
  /** Cancels all parts of a job that has ended. */
  cancelJob: (jobId: string) => void
  /** Commits the results that are due. Called several times a second. */
  tick: () => void
  /** Releases parts that have not been able to start an item for `STALL_TIMEOUT_MS`. */
  releaseStalled: () => void
  /** Releases all parts, and each part that finishes loading later. */
  releaseAll: (graceMs: number) => void
}

/** A part that could not start an item for this long may be released, since it keeps other parts from being claimed. */
const STALL_TIMEOUT_MS = 15_000
/** Reads of a chunk before the part is released. */
const MAX_CHUNK_READS = 3
const CHUNK_BACKOFF_MS = 500
const BACKOFF_JITTER = 0.2
const NO_LINES: ChunkLines = { count: 0, line: () => Buffer.alloc(0) }

/**
 * @param options - dependencies and callbacks
 * @returns an empty collection
 */
export function createLeasedParts (options: LeasedPartsOptions): LeasedParts {
  const { context } = options
  const { metrics, timeline } = context
  const leased = new Map<string, LeasedPart>()
  const loading = new Map<string, PartLoad>()
  /** Grace period of releases; set while this gateway is draining. */
  let graceMs: number | undefined

  const handleEnd = (part: LeasedPart, end: PartEnd, row: PartRow): void => {
    const key = partKey(part.jobId, part.part)
    invariant(leased.get(key) === part, 'part_has_one_task', () => `a second task ran part ${key}`)
    leased.delete(key)
    metrics.partsInProgress.set(size())
    jobMetrics(metrics).partsEnded.inc({ end })
    timeline.record('jobs.part_ended', { jobId: part.jobId, detail: { part: part.part, end } })
    options.onEnded(part, end, row)
  }

  const release = (part: LeasedPart): void => {
    options.onReleased(part.jobId)
    part.release(0)
  }

  const startPart = ({ job, part, state, lapses }: ClaimedPart, lines: ChunkLines | undefined): void => {
    const { runner, heartbeat, buffer, onProgress } = options
    const leasedPart: LeasedPart = createLeasedPart({
      context,
      runner,
      heartbeat,
      buffer,
      job,
      part,
      state,
      lapses,
      lines: lines ?? NO_LINES,
      onProgress,
      onEnded: (end, row) => { handleEnd(leasedPart, end, row) }
    })
    leased.set(partKey(job.id, part), leasedPart)
    if (graceMs !== undefined) leasedPart.release(graceMs)
    if (lines?.count === state.row.items) return
    context.logger.warn('the items of a part could not be read', { jobId: job.id, part, fileId: job.fileId })
    release(leasedPart)
  }

  /** Not awaited by the poll loop, so that an unresponsive object store does not delay the detection of cancelled jobs. */
  const loadItems = async (claimed: ClaimedPart): Promise<void> => {
    const { job, part } = claimed
    const chunk = await readChunk(context, OBJECT_NAMES.fileChunk(job.fileId, part))
    loading.delete(partKey(job.id, part))
    startPart(claimed, chunk === undefined ? undefined : chunkLines(chunk))
    options.onProgress()
  }

  const size = (): number => leased.size + loading.size

  return {
    all: () => leased.values(),
    size,
    load: () => [...leased.values(), ...loading.values()],
    has: (jobId, part) => leased.has(partKey(jobId, part)) || loading.has(partKey(jobId, part)),
    jobIds: () => [...new Set([...leased.values()].map(part => part.jobId))],
    add: claimed => {
      const { job, part, state } = claimed
      const waiting = state.row.items - state.row.completed - state.row.failed
      loading.set(partKey(job.id, part), { caller: job.caller, models: job.models, waiting: () => waiting })
      metrics.partsInProgress.set(size())
      loadItems(claimed).catch((error: unknown) => {
        context.logger.error('a part could not be begun', { jobId: job.id, part, error: String(error) })
      })
    },
    cancelJob: jobId => {
      for (const part of [...leased.values()]) if (part.jobId === jobId) part.jobEnded()
    },
    tick: () => { for (const part of [...leased.values()]) part.tick() },
    releaseStalled: () => {
      for (const part of [...leased.values()]) {
        if (part.running() === 0 && part.waiting() > 0 && part.idleMs() >= STALL_TIMEOUT_MS) release(part)
      }
    },
    releaseAll: grace => {
      graceMs = grace
      for (const part of [...leased.values()]) part.release(grace)
    }
  }
}

async function readChunk (context: DaemonContext, name: string): Promise<Uint8Array | undefined> {
  for (let attempt = 0; attempt < MAX_CHUNK_READS; attempt++) {
    try {
      return await context.platform.objects.get(name) ?? undefined
    } catch (error) {
      context.logger.debug('a chunk was not read', { name, error: String(error) })
      await sleep(context.clock, context.random.jitter(CHUNK_BACKOFF_MS, BACKOFF_JITTER))
    }
  }
  return undefined
}

function partKey (jobId: string, part: number): string {
  return `${jobId}/${part}`
}
