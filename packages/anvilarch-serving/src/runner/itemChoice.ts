/** Chooses the next items of a runner. */
import { v3 as murmurhash } from 'murmurhash'
import { openItems } from '../jobs/jobRecord'
import type { ClaimRecord, JobRecord, MemberRecord } from '../jobs/types'
import type { WorkTable } from '../jobs/workTable'

/** An item that may be claimed. */
export interface Candidate {
  job: JobRecord
  item: number
}

/** What the choice depends on. */
export interface ItemChoiceInput {
  work: Pick<WorkTable, 'jobs' | 'claim' | 'member'>
  runner: string
  incarnation: string
  storeNowMs: number
  /** Whether the store has answered this process long enough for heartbeats of others to have come back after an outage. */
  heartbeatsTrusted: boolean
  /** Whether this runner's endpoint may run items of the job. */
  mayRun: (job: JobRecord) => boolean
  /** Items that this process has in hand or has just failed to run. */
  isSkipped: (jobId: string, item: number) => boolean
}

/**
 * @param input - jobs, claims and members
 * @param limit - most items wanted
 * @returns unclaimed items, those that are due first in front
 */
export function chooseItems (input: ItemChoiceInput, limit: number): Candidate[] {
  const jobs = [...input.work.jobs()]
    .map(entry => entry.record)
    .filter(job => !job.ended && job.listed.length < job.itemIds.length)
    .sort((a, b) => a.dueAtMs - b.dueAtMs || a.jobId.localeCompare(b.jobId))
  const chosen: Candidate[] = []
  for (const job of jobs) {
    if (chosen.length >= limit) break
    if (!input.mayRun(job)) continue
    const free = openItems(job).filter(item => !input.isSkipped(job.jobId, item) && isFree(input, job.jobId, item))
    // Runners start at different places of a job, so that they seldom try to claim the same item.
    free.sort((a, b) => orderOf(input.runner, job.jobId, a) - orderOf(input.runner, job.jobId, b))
    for (const item of free) chosen.push({ job, item })
  }
  return chosen.slice(0, limit)
}

function orderOf (runner: string, jobId: string, item: number): number {
  return murmurhash(`${runner}/${jobId}/${item}`)
}

function isFree (input: ItemChoiceInput, jobId: string, item: number): boolean {
  const claim = input.work.claim(jobId, item)?.record
  if (claim === undefined || !claim.held) return true
  if (claim.runner === input.runner) return true
  return isLapsed(claim, input.work.member(claim.runner)?.record, input)
}

/**
 * A claim lapses when the process that made it has been replaced, or when its heartbeat has stopped.
 * Heartbeats also stop while the store is away; its return gives them time before the claims of others are taken.
 */
function isLapsed (claim: ClaimRecord, holder: MemberRecord | undefined, input: ItemChoiceInput): boolean {
  if (holder !== undefined && holder.incarnation !== claim.incarnation) return true
  if (!input.heartbeatsTrusted) return false
  return holder === undefined || holder.aliveUntilMs < input.storeNowMs
}
