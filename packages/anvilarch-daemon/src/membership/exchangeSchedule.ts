/**
 * Which agents to ask next. Pure.
 *
 * One timer serves all agents: what an idle peer costs is the wake-up, not the message, so a timer for each of 340
 * agents would spend the whole processor share of a gateway on asking. Agents whose answer somebody waits for are asked
 * soon; all others share a small allowance, since replies to requests tell what matters of those that have work.
 */
import { isChanging, type MemberRecord } from './memberRecord'

/** Why an agent is asked. */
export type ExchangeReason = 'unknown' | 'changing' | 'routine'

/** Options of the schedule. */
export interface ScheduleOptions {
  /** Time between two exchanges with an agent in a small fleet, or with one whose state has been changing for long. */
  intervalMs: number
  /** Time between two exchanges with an agent whose state has begun to change. */
  changingIntervalMs: number
  /** An agent whose state goes on changing is asked no longer than this at the shorter interval. */
  changingMs: number
  /** Time between two looks at the schedule. */
  tickMs: number
  /** Exchanges a second that this gateway does at most, by their reason. */
  maxPerSecond: Record<ExchangeReason, number>
  /** Exchanges under way at the same time. */
  maxConcurrent: number
  /** An agent that was heard through replies is asked this many times less often. */
  heardStretch: number
  /** An agent that neither is on the host list nor was heard for this long is forgotten. */
  forgetMs: number
}

/** Defaults of the schedule. */
export const DEFAULT_OPTIONS: Omit<ScheduleOptions, 'intervalMs'> = {
  changingIntervalMs: 250,
  changingMs: 10_000,
  tickMs: 250,
  maxPerSecond: { unknown: 100, changing: 20, routine: 4 },
  maxConcurrent: 32,
  heardStretch: 2,
  forgetMs: 60_000
}

/** What the schedule is drawn up from. */
export interface ScheduleInput {
  records: MemberRecord[]
  /** Whether a service waits for endpoints, so that orders of the placement are likely to change what agents have. */
  isShort: boolean
  nowMs: number
}

const MS_PER_SECOND = 1000
/** How long after an order its effect is looked for. */
const EXPECT_MS = 10_000
/** Largest exponent of the back-off for agents that do not answer. */
const MAX_DOUBLINGS = 4

/**
 * @param agentCount - agents that this gateway knows
 * @param options - of the schedule
 * @returns time between two exchanges with a healthy agent
 */
export function stretchedIntervalMs (agentCount: number, options: ScheduleOptions): number {
  return Math.max(options.intervalMs, agentCount * MS_PER_SECOND / options.maxPerSecond.routine)
}

/** When an agent is asked next, and why. */
interface Turn {
  record: MemberRecord
  reason: ExchangeReason
  dueMs: number
}

/**
 * One that does not answer again and again is asked less and less often, or a lost failure domain would use up the
 * exchanges that tell of the others.
 */
function turnOf (record: MemberRecord, stretchedMs: number, isShort: boolean, options: ScheduleOptions): Turn {
  const { askedMs } = record
  if (record.misses > 0) {
    const backedOffMs = options.intervalMs * 2 ** Math.min(record.misses - 1, MAX_DOUBLINGS)
    return { record, reason: 'changing', dueMs: askedMs + Math.min(backedOffMs, stretchedMs) }
  }
  if (!record.answers) return { record, reason: 'unknown', dueMs: askedMs + options.tickMs }
  if (record.orderedMs >= askedMs || hasBegunToChange(record, options)) return { record, reason: 'changing', dueMs: askedMs + options.changingIntervalMs }
  if (isChanging(record) || askedMs < record.orderedMs + EXPECT_MS) return { record, reason: 'changing', dueMs: askedMs + options.intervalMs }
  if (isShort && hasModelEndpoint(record)) return { record, reason: 'changing', dueMs: askedMs + options.intervalMs }
  const heardDueMs = record.view.lastHeardMs + stretchedMs
  const latestDueMs = record.exchangedMs + stretchedMs * options.heardStretch
  return { record, reason: 'routine', dueMs: Math.min(heardDueMs, latestDueMs) }
}

/** An endpoint that has crashed is back within seconds, or stays away for long. */
function hasBegunToChange (record: MemberRecord, options: ScheduleOptions): boolean {
  return record.changingSinceMs !== undefined && record.askedMs - record.changingSinceMs < options.changingMs
}

function hasModelEndpoint (record: MemberRecord): boolean {
  return record.view.endpoints.some(endpoint => endpoint.kind === 'model')
}

/**
 * @param input - all agents, and whether a service waits for endpoints
 * @param options - of the schedule
 * @returns the agents to ask now, the longest overdue of each reason first
 */
export function selectDue (input: ScheduleInput, options: ScheduleOptions): MemberRecord[] {
  const { records, isShort, nowMs } = input
  const stretchedMs = stretchedIntervalMs(records.length, options)
  const free = Math.max(0, options.maxConcurrent - records.filter(record => record.asking).length)
  const due = records
    .filter(record => !record.asking)
    .map(record => turnOf(record, stretchedMs, isShort, options))
    .filter(turn => turn.dueMs <= nowMs)
    .sort((left, right) => left.dueMs === right.dueMs ? 0 : left.dueMs - right.dueMs)
  const ofReason = (reason: ExchangeReason): Turn[] =>
    due.filter(turn => turn.reason === reason).slice(0, perTick(options.maxPerSecond[reason], options.tickMs))
  return [...ofReason('unknown'), ...ofReason('changing'), ...ofReason('routine')].slice(0, free).map(turn => turn.record)
}

function perTick (perSecond: number, tickMs: number): number {
  return Math.max(1, Math.round(perSecond * tickMs / MS_PER_SECOND))
}

/**
 * The host list lags by seconds in both directions: it may miss a new agent and name one that is gone. An agent that
 * still answers is therefore kept although the list does not name it.
 *
 * @param record - an agent
 * @param nowMs - time of the check
 * @param options - of the schedule
 * @returns whether to forget it
 */
export function isForgotten (record: MemberRecord, nowMs: number, options: ScheduleOptions): boolean {
  if (record.listed !== 'absent' || record.answers) return false
  return nowMs - Math.max(record.listedMs, record.view.lastHeardMs) >= options.forgetMs
}
