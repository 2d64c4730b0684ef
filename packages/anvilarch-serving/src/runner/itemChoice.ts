/** Chooses the items that a runner claims next. */
import { v3 as murmurhash } from 'murmurhash'
import { mixHashes } from 'anvilarch-utils'
import { isClosed, isExpired, openItems } from '../jobs/jobRecord'
import type { ClaimRecord, JobRecord, MemberRecord } from '../jobs/types'
import type { WorkTable } from '../jobs/workTable'

/** An item that may be claimed. */
export interface Candidate {
  job: JobRecord
  item: number
  sortKey: number
  /** Whether it can't end before it is due. */
  isLate: boolean
  /** Whether it would be late if it waited much longer; see `hasTightDeadline`. */
  tightDeadline: boolean
}

/** Input of `chooseItems`. */
export interface ItemChoiceInput {
  work: Pick<WorkTable, 'jobs' | 'claim' | 'member' | 'membersListedAtVersion'>
  runner: string
  incarnation: string
  storeNowMs: number
  /** Whether the store has responded to this process long enough after an outage for heartbeats of other runners to have resumed. */
  heartbeatsTrusted: boolean
  /** Names of all live runners, including this one. */
  runners: readonly string[]
  /** Whether this runner's endpoint may run items of the job. */
  mayRun: (job: JobRecord) => boolean
  /** Number of priority steps between the account of the job and the most urgent accounts. */
  priorityRank: (job: JobRecord) => number
  /** Whether this process has claimed the item, or leaves it to other runners for the cooldown. */
  isSkipped: (jobId: string, item: number) => boolean
  /** Estimated remaining run time of an item at this engine. */
  remainingMs: (tokens: number, lastEventId: number) => number
  /** The same at a typical engine of the fleet. */
  remainingElsewhereMs: (tokens: number, lastEventId: number) => number
}

/**
 * Checks whether an item is better left to other runners.
 *
 * An engine that slows down to a fifth of its speed would keep items past the time they are due, which other engines could have
 * completed.
 *
 * @param dueInMs - time until the item is due
 * @param remainingMs - remaining run time at this engine
 * @param remainingElsewhereMs - remaining run time at a typical engine
 * @returns whether the item would be late at this engine and in time at a typical one
 */
export function isBetterElsewhere (dueInMs: number, remainingMs: number, remainingElsewhereMs: number): boolean {
  return dueInMs < remainingMs && dueInMs >= remainingElsewhereMs + HANDOVER_MS
}

/** Saving, claiming and resuming an item take about 100 ms; the rest is for finding a free slot. */
const HANDOVER_MS = 500

/** Times of an item until its promises end. */
export interface ItemTimes {
  /** Time until it is due. */
  dueInMs: number
  /** Time until it may be given up. */
  expiresInMs: number
  /** Remaining run time. */
  remainingMs: number
}

/**
 * Computes the sort key of an item, the smallest first: the time until the next promise to its client ends that can still be kept.
 *
 * When jobs arrive faster than the spare slots of the engines can run them, sorting by due time alone would end each item just after it
 * was due. So items that are late wait while others can still end in time, but not until they may be given up.
 *
 * @param times - times of the item
 * @returns sort key
 */
export function itemSortKey ({ dueInMs, expiresInMs, remainingMs }: ItemTimes): number {
  return dueInMs >= remainingMs ? dueInMs : expiresInMs
}

/** The next slot may become free only when an item of the same length that has just started ends: one run time to wait, and one to run. */
const TIGHT_DEADLINE_FACTOR = 2

/**
 * @param dueInMs - time until the item is due
 * @param remainingMs - remaining run time
 * @returns whether the item should take any slot available
 */
export function hasTightDeadline (dueInMs: number, remainingMs: number): boolean {
  return dueInMs < TIGHT_DEADLINE_FACTOR * remainingMs
}

/** An item is sorted as if it were due this much later for each priority step between its account and the most urgent ones. */
const PRIORITY_STEP_MS = 1000

/**
 * @param input - jobs, claims and members
 * @param limit - maximum number of items
 * @returns free items, chosen from the most urgent ones; none of an expired job, whose free items are given up
 */
export function chooseItems (input: ItemChoiceInput, limit: number): Candidate[] {
  const open = [...input.work.jobs()]
    .map(entry => entry.record)
    .filter(job => !isClosed(job) && !isExpired(job, input.storeNowMs) && input.mayRun(job))
    .sort((a, b) => adjustedDueMs(a, input) - adjustedDueMs(b, input))
  const window = Math.max(1, input.runners.length) * limit
  const inTime: Candidate[] = []
  const late: Candidate[] = []
  for (const job of open) {
    // Items in time follow this order, and no job may be given up before it is due: no later job can add an item to the window.
    if (inTime.length >= window && adjustedDueMs(job, input) > adjustedDueMs(inTime[window - 1].job, input)) break
    for (const candidate of candidatesOf(job, input)) (candidate.isLate ? late : inTime).push(candidate)
  }
  const mostUrgent = [...inTime, ...late].sort((a, b) => a.sortKey - b.sortKey).slice(0, window)
  return spreadOverRunners(mostUrgent, input).slice(0, limit)
}

function adjustedDueMs (job: JobRecord, input: ItemChoiceInput): number {
  return job.dueAtMs + PRIORITY_STEP_MS * input.priorityRank(job)
}

/**
 * Orders the most urgent items so that runners with spare slots seldom choose the same one.
 *
 * At the end of a burst, all engines have free slots at once, and all their runners choose items. If each chose the most urgent
 * ones, only a handful would be claimed at a time. The fleet as a whole claims the same items; which runner claims which does
 * not matter.
 */
function spreadOverRunners (candidates: readonly Candidate[], input: ItemChoiceInput): Candidate[] {
  const ownHash = murmurhash(input.runner)
  const otherHashes = input.runners.filter(name => name !== input.runner).map(name => murmurhash(name))
  const jobHashes = new Map<string, number>()
  const hashOf = ({ job: { jobId }, item }: Candidate): number => {
    const jobHash = jobHashes.get(jobId) ?? murmurhash(jobId)
    jobHashes.set(jobId, jobHash)
    return mixHashes(jobHash, item)
  }
  const ranked = candidates.map((candidate, index) => ({ candidate, index, rank: rankOf(ownHash, otherHashes, hashOf(candidate)) }))
  return ranked.sort((a, b) => a.rank - b.rank || a.index - b.index).map(entry => entry.candidate)
}

/** Higher ranks are not distinguished: one of the first three runners has nearly always claimed the item. */
const MAX_RANK = 3

/** Counts the other runners that rank before this one for an item; each item ranks them in another order. All arguments are hashes. */
function rankOf (ownHash: number, otherHashes: readonly number[], itemHash: number): number {
  const ownWeight = mixHashes(ownHash, itemHash)
  let rank = 0
  for (const otherHash of otherHashes) {
    if (mixHashes(otherHash, itemHash) > ownWeight) rank++
    if (rank === MAX_RANK) break
  }
  return rank
}

/**
 * @param job - a job
 * @param input - claims and members
 * @returns the open items of the job that no live runner has claimed, except those that this process has claimed or leaves to others
 */
export function waitingItems (job: JobRecord, input: ItemChoiceInput): number[] {
  return openItems(job).filter(item => !input.isSkipped(job.jobId, item) && isFree(input, job.jobId, item))
}

function candidatesOf (job: JobRecord, input: ItemChoiceInput): Candidate[] {
  const candidates: Candidate[] = []
  const dueInMs = job.dueAtMs - input.storeNowMs
  for (const item of waitingItems(job, input)) {
    const savedEventId = input.work.claim(job.jobId, item)?.record.savedEventId ?? 0
    const tokens = job.itemTokens[item]
    const remainingMs = input.remainingMs(tokens, savedEventId)
    if (isBetterElsewhere(dueInMs, remainingMs, input.remainingElsewhereMs(tokens, savedEventId))) continue
    candidates.push({ job, item, sortKey: itemSortKey({ dueInMs, expiresInMs: job.expiresAtMs - input.storeNowMs, remainingMs }) + adjustedDueMs(job, input) - job.dueAtMs, isLate: dueInMs < remainingMs, tightDeadline: hasTightDeadline(dueInMs, remainingMs) })
  }
  return candidates
}

function isFree (input: ItemChoiceInput, jobId: string, item: number): boolean {
  const claim = input.work.claim(jobId, item)
  if (claim === undefined || !claim.record.held) return true
  if (claim.record.runner === input.runner) return true
  // Members are listed periodically: a claim that is newer than the listing may be of a holder that has just started.
  if (claim.version > (input.work.membersListedAtVersion() ?? -1)) return false
  return isClaimExpired(claim.record, input.work.member(claim.record.runner)?.record, input)
}

/**
 * Checks whether the process that made a claim has been replaced, or its heartbeat has stopped. Heartbeats also stop during an
 * outage of the store; after it, they have time to resume before the claims of other runners are taken over.
 */
function isClaimExpired (claim: ClaimRecord, holder: MemberRecord | undefined, input: ItemChoiceInput): boolean {
  if (holder !== undefined && holder.incarnation !== claim.incarnation) return true
  if (!input.heartbeatsTrusted) return false
  return holder === undefined || holder.aliveUntilMs < input.storeNowMs
}

/**
 * @param work - jobs and claims
 * @param runner - this runner
 * @returns whether another runner holds a claim on an item of an open job
 */
export function othersHoldClaims (work: Pick<WorkTable, 'jobs' | 'claim'>, runner: string): boolean {
  for (const { record: job } of work.jobs()) {
    for (const item of openItems(job)) {
      const claim = work.claim(job.jobId, item)?.record
      if (claim?.held === true && claim.runner !== runner) return true
    }
  }
  return false
}

/** @returns whether a job is open, so that there may be an item to run */
export function hasOpenJobs (work: Pick<WorkTable, 'jobs'>): boolean {
  for (const { record: job } of work.jobs()) if (!isClosed(job)) return true
  return false
}

/**
 * @param work - daemons
 * @param storeNowMs - current time of the store
 * @returns names of the live runners, in the same order at each of them
 */
export function liveRunners (work: Pick<WorkTable, 'members'>, storeNowMs: number): string[] {
  return [...work.members()]
    .map(member => member.record)
    .filter(member => member.role === 'agent' && member.aliveUntilMs > storeNowMs)
    .map(member => member.name)
    .sort()
}
