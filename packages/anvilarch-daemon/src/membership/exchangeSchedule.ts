/**
 * Selects the agents with which to exchange state next. Pure.
 *
 * One timer serves all agents: the cost of an idle peer is the wake-up, not the message, so a timer for each of 340 agents
 * would use the entire CPU share of a gateway. Agents whose state is awaited are queried soon; all others share a
 * low rate limit, since the responses to attempts report the state of agents that have work.
 */
import { isChanging, type MemberRecord } from './memberRecord'

/** Why an exchange is due. */
export type ExchangeReason = 'unknown' | 'changing' | 'routine'

/** Options of the schedule. */
export interface ScheduleOptions {
  /** Interval between two exchanges with an agent in a small fleet, or with one whose state has been changing for a long time. */
  intervalMs: number
  /** Interval between two exchanges with an agent whose state has recently started to change. */
  changingIntervalMs: number
  /** Maximum time for which an agent with a changing state is queried at the shorter interval. */
  changingMs: number
  /** Interval between two evaluations of the schedule. */
  tickMs: number
  /** Maximum of exchanges per second of this gateway, by reason. */
  maxPerSecond: Record<ExchangeReason, number>
  /** Maximum of exchanges in progress. */
  maxConcurrent: number
  /** Factor by which the interval is extended for an agent that recently responded to attempts. */
  respondingIntervalFactor: number
  /** Time without a response and without an entry in the host list after which an agent is removed. */
  removalMs: number
}

/** Defaults of the schedule. */
export const DEFAULT_OPTIONS: Omit<ScheduleOptions, 'intervalMs'> = {
  changingIntervalMs: 250,
  changingMs: 10_000,
  tickMs: 250,
  maxPerSecond: { unknown: 100, changing: 20, routine: 4 },
  maxConcurrent: 32,
  respondingIntervalFactor: 2,
  removalMs: 60_000
}

/** Input of the schedule. */
export interface ScheduleInput {
  records: MemberRecord[]
  /** Whether a service lacks endpoints, so that placement orders are likely to change the state of agents. */
  isShort: boolean
  nowMs: number
}

const MS_PER_SECOND = 1000
/** Time after an order during which its agent is queried more often, to detect the effect. */
const ORDER_EFFECT_MS = 10_000
/** Maximum exponent of the backoff for unresponsive agents. */
const MAX_BACKOFF_EXPONENT = 4

/**
 * @param agentCount - number of agents in the directory
 * @param options - options of the schedule
 * @returns interval between two exchanges with a healthy agent
 */
export function routineIntervalMs (agentCount: number, options: ScheduleOptions): number {
  return Math.max(options.intervalMs, agentCount * MS_PER_SECOND / options.maxPerSecond.routine)
}

/** The next exchange with an agent: when it is due, and why. */
interface DueExchange {
  record: MemberRecord
  reason: ExchangeReason
  dueMs: number
}

/**
 * Exchanges with an unresponsive agent back off exponentially; otherwise the agents of a failed failure domain would use up
 * the rate limit of the others.
 */
function nextExchange (record: MemberRecord, routineMs: number, isShort: boolean, options: ScheduleOptions): DueExchange {
  const { exchangeSentMs } = record
  if (record.consecutiveFailures > 0) {
    const backedOffMs = options.intervalMs * 2 ** Math.min(record.consecutiveFailures - 1, MAX_BACKOFF_EXPONENT)
    return { record, reason: 'changing', dueMs: exchangeSentMs + Math.min(backedOffMs, routineMs) }
  }
  if (!record.isResponsive) return { record, reason: 'unknown', dueMs: exchangeSentMs + options.tickMs }
  if (record.lastOrderMs >= exchangeSentMs || isRecentlyChanging(record, options)) return { record, reason: 'changing', dueMs: exchangeSentMs + options.changingIntervalMs }
  if (isChanging(record) || exchangeSentMs < record.lastOrderMs + ORDER_EFFECT_MS) return { record, reason: 'changing', dueMs: exchangeSentMs + options.intervalMs }
  if (isShort && hasModelEndpoint(record)) return { record, reason: 'changing', dueMs: exchangeSentMs + options.intervalMs }
  const idleDueMs = record.view.lastHeardMs + routineMs
  const latestDueMs = record.lastResponseMs + routineMs * options.respondingIntervalFactor
  return { record, reason: 'routine', dueMs: Math.min(idleDueMs, latestDueMs) }
}

/** A crashed endpoint recovers within seconds or stays down for a long time, so the shorter interval is limited in time. */
function isRecentlyChanging (record: MemberRecord, options: ScheduleOptions): boolean {
  return record.changingSinceMs !== undefined && record.exchangeSentMs - record.changingSinceMs < options.changingMs
}

function hasModelEndpoint (record: MemberRecord): boolean {
  return record.view.endpoints.some(endpoint => endpoint.kind === 'model')
}

/**
 * @param input - all agents, and whether a service lacks endpoints
 * @param options - options of the schedule
 * @returns agents to query now; within each reason, the longest overdue first
 */
export function selectDue (input: ScheduleInput, options: ScheduleOptions): MemberRecord[] {
  const { records, isShort, nowMs } = input
  const routineMs = routineIntervalMs(records.length, options)
  const free = Math.max(0, options.maxConcurrent - records.filter(record => record.isExchangePending).length)
  const due = records
    .filter(record => !record.isExchangePending)
    .map(record => nextExchange(record, routineMs, isShort, options))
    .filter(exchange => exchange.dueMs <= nowMs)
    .sort((left, right) => left.dueMs === right.dueMs ? 0 : left.dueMs - right.dueMs)
  const ofReason = (reason: ExchangeReason): DueExchange[] =>
    due.filter(exchange => exchange.reason === reason).slice(0, perTick(options.maxPerSecond[reason], options.tickMs))
  return [...ofReason('unknown'), ...ofReason('changing'), ...ofReason('routine')].slice(0, free).map(exchange => exchange.record)
}

function perTick (perSecond: number, tickMs: number): number {
  return Math.max(1, Math.round(perSecond * tickMs / MS_PER_SECOND))
}

/**
 * The host list lags by seconds in both directions: it may lack a new agent or still contain a removed one. An agent that
 * responds is therefore kept even if it is not on the list.
 *
 * @param record - record of the agent
 * @param nowMs - current time
 * @param options - options of the schedule
 * @returns whether to remove the agent
 */
export function isRemovable (record: MemberRecord, nowMs: number, options: ScheduleOptions): boolean {
  if (record.listed !== 'absent' || record.isResponsive) return false
  return nowMs - Math.max(record.lastListedMs, record.view.lastHeardMs) >= options.removalMs
}
