/** Chooses the next items of a runner. */
import { v3 as murmurhash } from 'murmurhash'
import { mixHashes } from 'anvilarch-utils'
import { isClosed, openItems } from '../jobs/jobRecord'
import type { ClaimRecord, JobRecord, MemberRecord } from '../jobs/types'
import type { WorkTable } from '../jobs/workTable'

/** An item that may be claimed. */
export interface Candidate {
  job: JobRecord
  item: number
  sortKey: number
  /** Whether it would be late if it waited much longer; see `hasTightDeadline`. */
  tightDeadline: boolean
}

/** What the choice depends on. */
export interface ItemChoiceInput {
  work: Pick<WorkTable, 'jobs' | 'claim' | 'member' | 'membersListedAtVersion'>
  runner: string
  incarnation: string
  storeNowMs: number
  /** Whether the store has answered this process long enough for heartbeats of others to have come back after an outage. */
  heartbeatsTrusted: boolean
  /** Names of all runners that are alive, this one among them. */
  runners: readonly string[]
  /** Whether this runner's endpoint may run items of the job. */
  mayRun: (job: JobRecord) => boolean
  /** How many steps of priority lie between the account of the job and the most urgent ones. */
  priorityRank: (job: JobRecord) => number
  /** Items that this process has in hand or has just failed to run. */
  isSkipped: (jobId: string, item: number) => boolean
  /** Estimate of the time that an item still runs here. */
  remainingMs: (tokens: number, lastEventId: number) => number
  /** The same at an ordinary engine of the fleet. */
  remainingElsewhereMs: (tokens: number, lastEventId: number) => number
}

/**
 * Whether an item is better left to other runners.
 *
 * Answers engines that turn slow: one that runs at a fifth of its pace would hold items beyond the time they are due,
 * which the others could have done.
 *
 * @param dueInMs - time until the item is due
 * @param remainingMs - time that it still runs here
 * @param remainingElsewhereMs - the same at an ordinary engine
 * @returns whether it would be late here and in time there
 */
export function isBetterElsewhere (dueInMs: number, remainingMs: number, remainingElsewhereMs: number): boolean {
  return dueInMs < remainingMs && dueInMs >= remainingElsewhereMs + HANDOVER_MS
}

/** Saving, claiming and resuming an item take about 100 ms; the rest is for finding a free slot. */
const HANDOVER_MS = 500

/**
 * Order of work, the smallest first: what can still be done in time, by when it is due, and then the rest.
 *
 * Answers jobs that come faster than the slack of the engines can do them. By due time alone, each item would be done
 * just after it was due; so the ones that are late already wait, and the others are in time.
 *
 * @param dueInMs - time until the item is due
 * @param remainingMs - time that it still runs
 * @returns sort key
 */
export function itemSortKey (dueInMs: number, remainingMs: number): number {
  return dueInMs >= remainingMs ? dueInMs : LATE_OFFSET_MS + dueInMs
}

/** An item whose time is less than this many times what it still runs cannot wait for two bursts more. */
const PRESSING_FACTOR = 2

/**
 * @param dueInMs - time until the item is due
 * @param remainingMs - time that it still runs
 * @returns whether it should take any slot that it can get
 */
export function hasTightDeadline (dueInMs: number, remainingMs: number): boolean {
  return dueInMs < PRESSING_FACTOR * remainingMs
}

/** An item is taken as if it were due this much later for each step of priority that its account is behind others. */
const RANK_HANDICAP_MS = 1000

/** Larger than any time until a job is due, so that late items come after all others. */
const LATE_OFFSET_MS = 1e9

/**
 * @param input - jobs, claims and members
 * @param limit - most items wanted
 * @returns unclaimed items, the most urgent in front
 */
export function chooseItems (input: ItemChoiceInput, limit: number): Candidate[] {
  const open = [...input.work.jobs()]
    .map(entry => entry.record)
    .filter(job => !isClosed(job) && input.mayRun(job))
    .sort((a, b) => rankedDueMs(a, input) - rankedDueMs(b, input))
  const window = Math.max(1, input.runners.length) * limit
  const inTime: Candidate[] = []
  const late: Candidate[] = []
  for (const job of open) {
    // What is in time comes in this order: no later job can add an item to the window.
    if (inTime.length >= window && rankedDueMs(job, input) > rankedDueMs(inTime[window - 1].job, input)) break
    for (const candidate of candidatesOf(job, input)) (candidate.sortKey < LATE_OFFSET_MS / 2 ? inTime : late).push(candidate)
  }
  const byUrgency = (a: Candidate, b: Candidate): number => a.sortKey - b.sortKey
  const mostUrgent = [...inTime.sort(byUrgency), ...late.sort(byUrgency)].slice(0, window)
  return spread(mostUrgent, input).slice(0, limit)
}

function rankedDueMs (job: JobRecord, input: ItemChoiceInput): number {
  return job.dueAtMs + RANK_HANDICAP_MS * input.priorityRank(job)
}

/**
 * Orders the most urgent items so that runners with slots to spare seldom choose the same one.
 *
 * Answers the end of a burst: all engines have room at once, and all their runners look for items. If each took the most urgent
 * ones, only a handful would be claimed at a time. The fleet as a whole takes the same items; which runner takes which does
 * not matter.
 */
function spread (candidates: readonly Candidate[], input: ItemChoiceInput): Candidate[] {
  const own = murmurhash(input.runner)
  const others = input.runners.filter(name => name !== input.runner).map(name => murmurhash(name))
  const jobs = new Map<string, number>()
  const hashOf = ({ job: { jobId }, item }: Candidate): number => {
    const job = jobs.get(jobId) ?? murmurhash(jobId)
    jobs.set(jobId, job)
    return mixHashes(job, item)
  }
  const ranked = candidates.map((candidate, index) => ({ candidate, index, rank: rankOf(own, others, hashOf(candidate)) }))
  return ranked.sort((a, b) => a.rank - b.rank || a.index - b.index).map(entry => entry.candidate)
}

/** Runners beyond this place are as good as any: the first three have nearly always had an item. */
const LAST_RANK = 3

/** How many other runners come before this one for an item; each item ranks them in another order. All are given by hashes. */
function rankOf (own: number, others: readonly number[], item: number): number {
  const ownWeight = mixHashes(own, item)
  let rank = 0
  for (const other of others) {
    if (mixHashes(other, item) > ownWeight) rank++
    if (rank === LAST_RANK) break
  }
  return rank
}

function candidatesOf (job: JobRecord, input: ItemChoiceInput): Candidate[] {
  const candidates: Candidate[] = []
  const dueInMs = job.dueAtMs - input.storeNowMs
  for (const item of openItems(job)) {
    if (input.isSkipped(job.jobId, item) || !isFree(input, job.jobId, item)) continue
    const savedEventId = input.work.claim(job.jobId, item)?.record.savedEventId ?? 0
    const tokens = job.itemTokens[item]
    const remainingMs = input.remainingMs(tokens, savedEventId)
    if (isBetterElsewhere(dueInMs, remainingMs, input.remainingElsewhereMs(tokens, savedEventId))) continue
    candidates.push({ job, item, sortKey: itemSortKey(dueInMs, remainingMs) + rankedDueMs(job, input) - job.dueAtMs, tightDeadline: hasTightDeadline(dueInMs, remainingMs) })
  }
  return candidates
}

function isFree (input: ItemChoiceInput, jobId: string, item: number): boolean {
  const claim = input.work.claim(jobId, item)
  if (claim === undefined || !claim.record.held) return true
  if (claim.record.runner === input.runner) return true
  // Members are listed from time to time: a claim that is newer than the listing may be of a holder that has just started.
  if (claim.version > (input.work.membersListedAtVersion() ?? -1)) return false
  return isLapsed(claim.record, input.work.member(claim.record.runner)?.record, input)
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

/**
 * @param work - jobs and claims
 * @param runner - this runner
 * @returns whether another runner holds an item of a job that is open
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
 * @param storeNowMs - the store's clock
 * @returns names of the runners that are alive, in the same order at each of them
 */
export function liveRunners (work: Pick<WorkTable, 'members'>, storeNowMs: number): string[] {
  return [...work.members()]
    .map(member => member.record)
    .filter(member => member.role === 'agent' && member.aliveUntilMs > storeNowMs)
    .map(member => member.name)
    .sort()
}
