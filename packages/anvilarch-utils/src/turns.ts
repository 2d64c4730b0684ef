/**
 * Plans when refused callers return, where requests are served at a limited rate. Pure.
 *
 * Nothing distinguishes a caller that returns from a new one. A refused caller gets a turn, after those that were refused before it, in
 * what new requests leave if these go on at their rate.
 */
import type { Bucket } from './tokenBucket'

/** Turns that were given, and the requests that come without one. */
export interface Turns {
  /** Refused callers whose turn has not come. */
  backlog: Bucket
  /** Requests of the last second or so less the turns that came in that time, as a count that decays. */
  recentNew: Bucket
}

/** What the next turns depend on. */
export interface TurnDemand {
  /** Requests that have come since the last plan. */
  arrived: number
  /** Refused requests among them that get no turn by this plan. */
  refusedBefore: number
  /** Refused requests among them that get the next turns. */
  refused: number
  /** Requests that have to be served before the first turn, other than those of turns; negative if there is room. */
  ahead: number
}

/** Rate of service, and how late callers return. */
export interface TurnLimits {
  perSecond: number
  /** Longest time after which a refused caller returns. There are no turns after that. */
  longestReturnMs: number
}

/** Next turns. */
export interface TurnPlan {
  turns: Turns
  /** Time until the first turn; more than the longest return if there is none. */
  firstTurnMs: number
  /** Time between turns. */
  intervalMs: number
}

const MS_PER_SECOND = 1000

/** Time constant of the counts, which stand for rates per second. */
const COUNT_WINDOW_MS = 1000

/** @returns no turns, as of this time */
export function noTurns (nowMs: number): Turns {
  return { backlog: { tokens: 0, updatedMs: nowMs }, recentNew: { tokens: 0, updatedMs: nowMs } }
}

/**
 * @param turns - turns given before
 * @param demand - requests since then
 * @param limits - rate of service, and how late callers return
 * @param nowMs - current time
 * @returns the next turns
 */
export function planTurns (turns: Turns, demand: TurnDemand, limits: TurnLimits, nowMs: number): TurnPlan {
  const { longestReturnMs } = limits
  const elapsedMs = Math.max(0, nowMs - turns.backlog.updatedMs)
  const came = Math.min(turns.backlog.tokens, elapsedMs * sparePerSecond(turns, limits) / MS_PER_SECOND)
  const recentNew = { tokens: Math.max(0, decayed(turns.recentNew, nowMs) + demand.arrived - came), updatedMs: nowMs }
  const spare = sparePerSecond({ recentNew }, limits)
  const waiting = turns.backlog.tokens - came + demand.refusedBefore
  const intervalMs = MS_PER_SECOND / spare
  const toServe = demand.ahead + waiting
  const firstTurnMs = toServe > 0 ? toServe * intervalMs : 0
  if (firstTurnMs <= longestReturnMs) return { turns: { backlog: { tokens: waiting + demand.refused, updatedMs: nowMs }, recentNew }, firstTurnMs, intervalMs }
  // New requests leave no room, or turns are taken for as long as callers wait.
  const servedIntervalMs = MS_PER_SECOND / limits.perSecond
  const backlog = { tokens: Math.min(waiting, spare * longestReturnMs / MS_PER_SECOND), updatedMs: nowMs }
  return { turns: { backlog, recentNew }, firstTurnMs: longestReturnMs + servedIntervalMs, intervalMs: servedIntervalMs }
}

/**
 * @param count - a count that decays
 * @param nowMs - current time
 * @returns the count at this time
 */
export function decayed (count: Bucket, nowMs: number): number {
  return count.tokens * Math.exp(-Math.max(0, nowMs - count.updatedMs) / COUNT_WINDOW_MS)
}

/**
 * @param count - a count that decays
 * @returns the events per second for which it stands
 */
export function perSecondOf (count: number): number {
  return count * MS_PER_SECOND / COUNT_WINDOW_MS
}

/** @returns requests a second that new ones leave, 0 if they use the whole rate */
function sparePerSecond ({ recentNew }: Pick<Turns, 'recentNew'>, { perSecond }: TurnLimits): number {
  return Math.max(0, perSecond - perSecondOf(recentNew.tokens))
}
