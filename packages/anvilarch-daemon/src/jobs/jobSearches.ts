/** Searches jobs for parts that this gateway may claim, claims them, and ends jobs whose parts are all done. */
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

/** Options of `createJobSearches`. */
export interface JobSearchesOptions {
  context: DaemonContext
  heartbeat: Heartbeat
  observer: LeaseObserver
  /** Whether this gateway runs a part. A part that names it as holder but does not run was claimed by a commit whose reply was lost. */
  isLeasedHere: (jobId: string, part: number) => boolean
}

/** A part that was just claimed. */
export interface ClaimedPart {
  job: JobRow
  part: number
  state: PartState
  /** `lapses()` of the heartbeat just before the claim was sent. */
  lapses: number
}

/** Result of a search in a job. */
export type SearchResult =
  | { found: 'part', claimed: ClaimedPart }
  /** No part can be claimed now. */
  | { found: 'nothing' }
  /** The job has ended, on this or another gateway. */
  | { found: 'ended' }

/** The searches of a gateway, one for each job that it has searched. */
export interface JobSearches {
  /** Searches for a part and claims it. */
  claim: (active: ActiveRow) => Promise<SearchResult>
  /** Ends the job if all of its parts are done or it has expired. Returns whether the job has ended. */
  inspect: (active: ActiveRow) => Promise<boolean>
  /** Records a part that this gateway has finished. */
  recordDone: (active: ActiveRow, part: number, row: PartRow) => void
  /** Whether the job may be searched now. */
  isDue: (jobId: string) => boolean
  /** Delays the next search in a job. */
  delay: (jobId: string, delayMs: number) => void
  removeJob: (jobId: string) => void
  /** Releases the parts of unconfirmed claims. When no more parts are claimed, to be called until `unconfirmedClaims` is 0. */
  releaseUnconfirmed: () => Promise<void>
  /** Number of claims whose outcome is unknown. */
  unconfirmedClaims: () => number
}

/** Most reads of one search for a part; the next search continues where this one stopped. */
const MAX_READS = 8
/** Delay before a job without a claimable part is searched again. */
const EXHAUSTED_DELAY_MS = 2_000
const DELAY_JITTER = 0.3
/** Few attempts, since a claim whose outcome stays unknown is found by the next search. */
const CLAIM_SETTLE_OPTIONS = { maxAttempts: 3, backoffMs: 200 }

/**
 * @param options - dependencies
 * @returns searches without any job
 */
export function createJobSearches (options: JobSearchesOptions): JobSearches {
  const { context, heartbeat, observer } = options
  const { clock, platform, random } = context
  const searches = new Map<string, PartSearch>()
  const notBeforeMs = new Map<string, number>()
  const unconfirmedClaims = new Map<string, { commit: Commit, row: PartRow }>()
  const settleContext = { table: platform.table, clock, random }

  const searchOf = (active: ActiveRow): PartSearch => {
    const existing = searches.get(active.jobId)
    if (existing !== undefined) return existing
    const search = startSearch(active.parts, startPartOf(heartbeat.instance, active.jobId))
    searches.set(active.jobId, search)
    return search
  }

  const delay = (jobId: string, delayMs: number): void => {
    notBeforeMs.set(jobId, clock.nowMs() + random.jitter(delayMs, DELAY_JITTER))
  }

  const removeJob = (jobId: string): void => {
    searches.delete(jobId)
    notBeforeMs.delete(jobId)
  }

  const isClaimable = (jobId: string, part: number, row: PartRow): boolean => {
    // While a release is in progress, the row may be free already although the task here still waits for the reply.
    if (options.isLeasedHere(jobId, part)) return false
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
    unconfirmedClaims.set(key, { commit, row })
    const result = await commitWithRetry(settleContext, commit, 'jobs.claim_part', CLAIM_SETTLE_OPTIONS)
    unconfirmedClaims.delete(key)
    if (result.outcome !== 'committed') return undefined
    context.timeline.record('jobs.part_claimed', { jobId: job.id, detail: { part: reading.part, epoch: row.epoch } })
    const state = claimedPart(heartbeat.instance, row, result.versions[key], jobRow.version)
    return { job, part: reading.part, state, lapses }
  }

  /**
   * A claim whose reply was lost may have made this gateway the holder, and no other gateway may take over the part while
   * this one is alive. Normally the next search finds the part, but a draining gateway does not search, and the part would
   * stay blocked until the process exits. Resending the same commit returns whether the claim took effect.
   */
  const releaseUnconfirmed = async (): Promise<void> => {
    for (const [key, { commit, row }] of [...unconfirmedClaims]) {
      const result = await platform.table.commit(commit)
      if (result.outcome === 'committed') await releasePart(key, result.versions[key], row)
      unconfirmedClaims.delete(key)
    }
  }

  const releasePart = async (key: string, version: number, row: PartRow): Promise<void> => {
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
      const step = afterPartsRead(before, readings, (part, row) => isClaimable(jobId, part, row))
      searches.set(jobId, step.search)
      if (step.claimable !== undefined) {
        const claimed = await claimPart(jobRow, job, step.claimable)
        if (claimed !== undefined) return { found: 'part', claimed }
      } else if (step.allDone) {
        await complete(jobRow, job, step.search)
        return { found: 'ended' }
      } else if (step.exhausted) {
        delay(jobId, EXHAUSTED_DELAY_MS)
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

  /** Continues to read only while all parts read are done, so that the check of an unfinished job costs one read. */
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
    recordDone: (active, part, row) => { searches.set(active.jobId, withDonePart(searchOf(active), part, row)) },
    isDue: jobId => (notBeforeMs.get(jobId) ?? Number.NEGATIVE_INFINITY) <= clock.nowMs(),
    delay,
    removeJob,
    releaseUnconfirmed,
    unconfirmedClaims: () => unconfirmedClaims.size
  }
}

function startPartOf (instance: string, jobId: string): number {
  return createHash('sha256').update(instance).update('/').update(jobId).digest().readUInt32BE(0)
}

function activeJob (row: Row | null): JobRow | undefined {
  const job = row === null ? undefined : parseRow<JobRow>(row.value)
  return job?.state === 'in_progress' ? job : undefined
}

function toReading (part: number, row: Row | null): PartReading {
  return { part, version: row?.version ?? 0, row: row === null ? undefined : parseRow<PartRow>(row.value) }
}

/** A takeover keeps the committed results and increments the epoch, so that commits of the previous holder are rejected. */
function leasedRow (reading: PartReading, items: number, holder: string): PartRow {
  if (reading.row !== undefined) return { ...reading.row, epoch: reading.row.epoch + 1, holder }
  return { epoch: 1, holder, items, done: itemSetToText(createItemSet(items)), completed: 0, failed: 0, segments: [] }
}
