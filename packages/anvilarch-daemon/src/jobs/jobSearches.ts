/** Looks for parts that this gateway may lease, leases them, and notices jobs whose parts are all done. */
import { createHash, randomUUID } from 'node:crypto'
import { type Commit, ROW_KEYS, type Row } from 'anvilarch-protocol'
import type { DaemonContext } from '../context'
import type { Heartbeat, LeaseObserver } from '../leases/types'
import { endCommit } from './endJob'
import { createItemSet, itemSetToText } from './itemSet'
import { claimedPart, type PartState } from './partCore'
import {
  afterPartsRead, checkJobCounts, isSearchDone, type PartReading, partsToRead, type PartSearch, startSearch, withDonePart
} from './partSearch'
import { type ActiveRow, isPartDone, type JobRow, parseRow, type PartRow } from './rows'
import { commitWithRetry } from '../platform/commitWithRetry'

/** What the searches need. */
export interface JobSearchesOptions {
  context: DaemonContext
  heartbeat: Heartbeat
  observer: LeaseObserver
  /** Whether this gateway runs a part now. A part that names it as holder without running was leased by a lost reply. */
  isHeld: (jobId: string, part: number) => boolean
}

/** A part that was just leased. */
export interface ClaimedPart {
  job: JobRow
  part: number
  state: PartState
  /** Lapses of the heartbeat when the lease was asked for. */
  lapses: number
}

/** What a look at a job gave. */
export type SearchResult =
  | { found: 'part', claimed: ClaimedPart }
  /** Nothing to lease now. */
  | { found: 'nothing' }
  /** The job has ended, here or elsewhere. */
  | { found: 'ended' }

/** The searches of a gateway, one for each job that it has looked at. */
export interface JobSearches {
  /** Looks for a part and leases it. */
  claim: (active: ActiveRow) => Promise<SearchResult>
  /** Ends the job if all of its parts are done or its time is up. */
  inspect: (active: ActiveRow) => Promise<boolean>
  /** This gateway finished a part. */
  noteDone: (active: ActiveRow, part: number, row: PartRow) => void
  /** Whether a look at the job is worth a read now. */
  isDue: (jobId: string) => boolean
  /** Puts off the next look at a job. */
  putOff: (jobId: string, delayMs: number) => void
  forget: (jobId: string) => void
  /** Gives back the parts whose lease could not be settled; to be called until `unsettled` is 0 when no more are leased. */
  releaseUnsettled: () => Promise<void>
  /** Leases of which it is not known whether they took effect. */
  unsettled: () => number
}

/** Reads of one look for a part; the next look goes on where this one stopped. */
const MAX_READS = 8
/** Time until a job without a free part is looked at again. */
const EXHAUSTED_DELAY_MS = 2_000
const DELAY_JITTER = 0.3
/** A lease that could not be settled is found again by the next search. */
const CLAIM_TRIES = { tries: 3, backoffMs: 200 }

/**
 * @param options - surroundings
 * @returns searches that know nothing yet
 */
export function createJobSearches (options: JobSearchesOptions): JobSearches {
  const { context, heartbeat, observer } = options
  const { clock, platform, random } = context
  const searches = new Map<string, PartSearch>()
  const notBeforeMs = new Map<string, number>()
  const unsettled = new Map<string, { commit: Commit, row: PartRow }>()
  const settleContext = { table: platform.table, clock, random }

  const searchOf = (active: ActiveRow): PartSearch => {
    const known = searches.get(active.jobId)
    if (known !== undefined) return known
    const search = startSearch(active.parts, hashedStart(heartbeat.instance, active.jobId))
    searches.set(active.jobId, search)
    return search
  }

  const putOff = (jobId: string, delayMs: number): void => {
    notBeforeMs.set(jobId, clock.nowMs() + random.jitter(delayMs, DELAY_JITTER))
  }

  const forget = (jobId: string): void => {
    searches.delete(jobId)
    notBeforeMs.delete(jobId)
  }

  const isFree = (jobId: string, part: number, row: PartRow): boolean => {
    // A part whose release is under way is free in the table already, and still has a task here that awaits the reply.
    if (options.isHeld(jobId, part)) return false
    if (row.holder === '' || row.holder === heartbeat.instance) return true
    return observer.stateOf(row.holder) === 'dead'
  }

  const readParts = async (jobId: string, parts: readonly number[]): Promise<{ job: Row | null, readings: PartReading[] }> => {
    const keys = [ROW_KEYS.job(jobId), ...parts.map(part => ROW_KEYS.part(jobId, part))]
    const [job, ...rows] = await platform.table.read(keys)
    return { job, readings: rows.map((row, position) => toReading(parts[position], row)) }
  }

  const claimPart = async (jobRow: Row, job: JobRow, reading: PartReading): Promise<ClaimedPart | undefined> => {
    const key = ROW_KEYS.part(job.id, reading.part)
    const row = leasedRow(reading, job.partItems[reading.part], heartbeat.instance)
    const commit = {
      commitId: randomUUID(),
      conditions: [{ key, version: reading.version }, { key: jobRow.key, version: jobRow.version }],
      writes: [{ key, value: JSON.stringify(row) }]
    }
    const lapses = heartbeat.lapses()
    unsettled.set(key, { commit, row })
    const result = await commitWithRetry(settleContext, commit, 'jobs.claim_part', CLAIM_TRIES)
    unsettled.delete(key)
    if (result.outcome !== 'committed') return undefined
    context.timeline.record('jobs.part_claimed', { jobId: job.id, detail: { part: reading.part, epoch: row.epoch } })
    const state = claimedPart(heartbeat.instance, row, result.versions[key], jobRow.version)
    return { job, part: reading.part, state, lapses }
  }

  /**
   * A lease whose reply was lost names this gateway as holder, and nobody else may take the part while this gateway lives.
   * The next search finds it; a gateway that drains searches no more, and the part would wait for its end. Sending the same
   * commit again says whether the lease took effect.
   */
  const releaseUnsettled = async (): Promise<void> => {
    for (const [key, { commit, row }] of [...unsettled]) {
      const result = await platform.table.commit(commit)
      if (result.outcome === 'committed') await giveBack(key, result.versions[key], row)
      unsettled.delete(key)
    }
  }

  const giveBack = async (key: string, version: number, row: PartRow): Promise<void> => {
    const writes = [{ key, value: JSON.stringify({ ...row, holder: '' }) }]
    await platform.table.commit({ commitId: randomUUID(), conditions: [{ key, version }], writes })
  }

  const claim = async (active: ActiveRow): Promise<SearchResult> => {
    const { jobId } = active
    for (let reads = 0; reads < MAX_READS; reads++) {
      const before = searchOf(active)
      const { job: jobRow, readings } = await readParts(jobId, partsToRead(before))
      const job = activeJob(jobRow)
      if (jobRow === null || job === undefined) return { found: 'ended' }
      const step = afterPartsRead(before, readings, (part, row) => isFree(jobId, part, row))
      searches.set(jobId, step.search)
      if (step.claimable !== undefined) {
        const claimed = await claimPart(jobRow, job, step.claimable)
        if (claimed !== undefined) return { found: 'part', claimed }
      } else if (step.allDone) {
        await complete(jobRow, job, step.search)
        return { found: 'ended' }
      } else if (step.exhausted) {
        putOff(jobId, EXHAUSTED_DELAY_MS)
        return { found: 'nothing' }
      }
    }
    return { found: 'nothing' }
  }

  const complete = async (jobRow: Row, job: JobRow, search: PartSearch): Promise<void> => {
    checkJobCounts(search, job.partItems)
    const commit = endCommit(job, jobRow.version, { state: 'completed', endedAtMs: clock.wallMs(), counts: search.counts })
    const result = await commitWithRetry(settleContext, commit, 'jobs.complete')
    if (result.outcome === 'committed') {
      context.timeline.record('jobs.completed', { jobId: job.id, detail: { ...search.counts } })
    }
  }

  const expire = async (jobRow: Row, job: JobRow): Promise<void> => {
    const commit = endCommit(job, jobRow.version, { state: 'expired', endedAtMs: clock.wallMs() })
    const result = await commitWithRetry(settleContext, commit, 'jobs.expire')
    if (result.outcome === 'committed') context.timeline.record('jobs.expired', { jobId: job.id })
  }

  /** Reads on only while parts prove to be done, so that a look at an unfinished job costs one read. */
  const inspect = async (active: ActiveRow): Promise<boolean> => {
    const { jobId } = active
    for (;;) {
      const before = searchOf(active)
      const { job: jobRow, readings } = await readParts(jobId, partsToRead(before))
      const job = activeJob(jobRow)
      if (jobRow === null || job === undefined) return true
      let search = before
      for (const { part, row } of readings) {
        if (row !== undefined && isPartDone(row)) search = withDonePart(search, part, row)
      }
      searches.set(jobId, search)
      if (isSearchDone(search)) {
        await complete(jobRow, job, search)
        return true
      }
      if (job.expiresAtMs <= clock.wallMs()) {
        await expire(jobRow, job)
        return true
      }
      if (readings.some(({ row }) => row === undefined || !isPartDone(row))) return false
    }
  }

  return {
    claim,
    inspect,
    noteDone: (active, part, row) => { searches.set(active.jobId, withDonePart(searchOf(active), part, row)) },
    isDue: jobId => (notBeforeMs.get(jobId) ?? Number.NEGATIVE_INFINITY) <= clock.nowMs(),
    putOff,
    forget,
    releaseUnsettled,
    unsettled: () => unsettled.size
  }
}

function hashedStart (instance: string, jobId: string): number {
  return createHash('sha256').update(instance).update('/').update(jobId).digest().readUInt32BE(0)
}

function activeJob (row: Row | null): JobRow | undefined {
  const job = row === null ? undefined : parseRow<JobRow>(row.value)
  return job?.state === 'in_progress' ? job : undefined
}

function toReading (part: number, row: Row | null): PartReading {
  return { part, version: row?.version ?? 0, row: row === null ? undefined : parseRow<PartRow>(row.value) }
}

/** A takeover keeps what is committed and takes the next epoch, so that commits of the holder before it are refused. */
function leasedRow (reading: PartReading, items: number, holder: string): PartRow {
  if (reading.row !== undefined) return { ...reading.row, epoch: reading.row.epoch + 1, holder }
  return { epoch: 1, holder, items, done: itemSetToText(createItemSet(items)), completed: 0, failed: 0, segments: [] }
}
