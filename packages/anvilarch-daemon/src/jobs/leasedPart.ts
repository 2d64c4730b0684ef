/** One part that this gateway leases: runs its items, buffers their results and commits them in segments. */
import type { RequestRunner } from '../attempts/types'
import type { DaemonContext } from '../context'
import type { Heartbeat } from '../leases/types'
import type { ChunkLines } from './chunkLines'
import type { PartEnd, PartState } from './partCore'
import { startPartCommits } from './partCommits'
import { createPartItems, type ReadyItem } from './partItems'
import type { ResultBuffer } from './resultBuffer'
import type { JobRow, PartRow } from './rows'
import type { FinishedItem } from './segments'

/** Options of `createLeasedPart`. */
export interface LeasedPartOptions {
  context: DaemonContext
  runner: RequestRunner
  heartbeat: Heartbeat
  buffer: ResultBuffer
  job: JobRow
  part: number
  /** State after the claim. */
  state: PartState
  /** `lapses()` of the heartbeat just before the part was claimed. */
  lapses: number
  lines: ChunkLines
  /** Called after each run, since another item may be started. */
  onProgress: () => void
  onEnded: (end: PartEnd, row: PartRow) => void
}

/** A part that this gateway leases. */
export interface LeasedPart {
  jobId: string
  caller: string
  part: number
  /** Whether its items may use more than one model. */
  isMixed: boolean
  models: string[]
  /** @returns the next item that may be started now */
  next: () => ReadyItem | undefined
  start: (ready: ReadyItem) => void
  postpone: (ready: ReadyItem, delayMs: number) => void
  waiting: () => number
  running: () => number
  /** Time since an item was last started. */
  idleMs: () => number
  /** Commits the results that are due and checks the lease. Called several times a second. */
  tick: () => void
  /** Cancels all items at once after the job has ended. */
  jobEnded: () => void
  /** Starts no more items; releases the part when the runs in progress have ended, or after the grace period. */
  release: (graceMs: number) => void
}

/** Finished items, or bytes of results, after which a segment is committed without further wait. */
const SEGMENT_ITEMS = 300
const SEGMENT_BYTES = 4 * 1024 * 1024
/** Longest wait of a result for its commit, to bound what is lost with the holder; longer for a part with many segments. */
const SEGMENT_WAIT_MS = 3_000
/** The wait grows by `SEGMENT_WAIT_MS` with this many segments, since each segment makes the part row longer. */
const SEGMENTS_PER_EXTRA_WAIT = 16
/** Most results of one segment, for example after an outage during which results have accumulated. */
const MAX_SEGMENT_ITEMS = 2_000

/**
 * @param options - the claimed part and its dependencies
 * @returns the part, with no item started
 */
export function createLeasedPart (options: LeasedPartOptions): LeasedPart {
  const { context, job, part, buffer } = options
  const { clock } = context
  const lines = new Map<number, Buffer>()
  let finished: FinishedItem[] = []
  let uncommittedSinceMs = 0
  let lastStartMs = clock.nowMs()
  let releaseDeadlineMs: number | undefined
  let ended = false

  const items = createPartItems({
    context,
    runner: options.runner,
    job,
    part,
    row: options.state.row,
    lines: options.lines,
    onResult: (index, result) => {
      if (ended) return
      lines.set(index, result.line)
      buffer.add(result.line.length)
      if (finished.length === 0) uncommittedSinceMs = clock.nowMs()
      finished.push({ index, kind: result.kind, sizeBytes: result.line.length })
    },
    onRunEnded: () => {
      if (ended) return
      flushIfDue()
      options.onProgress()
    }
  })

  const discardLine = (index: number): void => {
    const line = lines.get(index)
    if (line === undefined) return
    lines.delete(index)
    buffer.remove(line.length)
  }

  const commits = startPartCommits({
    context,
    heartbeat: options.heartbeat,
    jobId: job.id,
    part,
    state: options.state,
    lapses: options.lapses,
    lineOf: index => lines.get(index) ?? Buffer.alloc(0),
    onSettled: settled => {
      for (const item of settled) {
        discardLine(item.index)
        context.metrics.itemsFinished.inc({ outcome: item.kind === 'output' ? 'completed' : 'failed' })
      }
      flushIfDue()
    },
    onEnded: end => {
      ended = true
      items.cancel()
      for (const index of [...lines.keys()]) discardLine(index)
      options.onEnded(end, commits.row())
    }
  })

  const isDrained = (): boolean => items.running() === 0 && (releaseDeadlineMs !== undefined || items.waiting() === 0)

  const isFlushDue = (): boolean => {
    if (finished.length === 0) return false
    if (finished.length >= SEGMENT_ITEMS || isDrained()) return true
    if (finished.reduce((sum, item) => sum + item.sizeBytes, 0) >= SEGMENT_BYTES) return true
    const waitFactor = 1 + commits.row().segments.length / SEGMENTS_PER_EXTRA_WAIT
    return clock.nowMs() - uncommittedSinceMs >= SEGMENT_WAIT_MS * waitFactor
  }

  const flushIfDue = (): void => {
    if (ended || !commits.isIdle() || !isFlushDue()) return
    const batch = finished.slice(0, MAX_SEGMENT_ITEMS)
    finished = finished.slice(MAX_SEGMENT_ITEMS)
    uncommittedSinceMs = clock.nowMs()
    commits.flush(batch)
  }

  const releaseIfDrained = (): void => {
    if (releaseDeadlineMs === undefined || ended) return
    if (clock.nowMs() >= releaseDeadlineMs) items.cancel()
    if (isDrained() && finished.length === 0 && commits.isIdle()) commits.release()
  }

  return {
    jobId: job.id,
    caller: job.caller,
    part,
    isMixed: job.models.length !== 1,
    models: job.models,
    next: () => ended || releaseDeadlineMs !== undefined || !commits.isLeaseConfirmed() ? undefined : items.next(clock.nowMs()),
    start: ready => {
      lastStartMs = clock.nowMs()
      items.start(ready)
    },
    postpone: items.postpone,
    waiting: () => releaseDeadlineMs === undefined ? items.waiting() : 0,
    running: items.running,
    idleMs: () => clock.nowMs() - lastStartMs,
    tick: () => {
      commits.checkLease()
      flushIfDue()
      releaseIfDrained()
    },
    jobEnded: commits.jobEnded,
    release: graceMs => {
      releaseDeadlineMs ??= clock.nowMs() + graceMs
      releaseIfDrained()
    }
  }
}
