/** Plans when callers return that a limit of their account denies. */
import { type Bucket, type Clock, decayed, noTurns, planTurns, type Random, type Turns } from 'anvilarch-utils'

/** Turns of one account at one limit. */
export interface CallerTurns {
  /** Requests that were admitted since the last denial, as a count that decays. */
  admitted: Bucket
  turns: Turns
}

/** A request that a limit denies. */
export interface DeniedRequest {
  /** Requests that the limit admits in a second. */
  perSecond: number
  /** Requests that the limit could admit now; below one. */
  available: number
  /** Time left until the deadline of the request; undefined if it has none. */
  remainingMs: number | undefined
}

/** When the caller of a denied request returns, and the turns after that. */
export interface DeniedReturn {
  retryAfterMs: number
  next: CallerTurns
}

/** Clients of the OpenAI interface honor a Retry-After of up to a minute. */
const LONGEST_RETURN_MS = 60_000

/** Callers without a turn return in the later half of the time for which they wait: not all at once, and with few tries. */
const SPREAD_FRACTION = 0.5

/**
 * @param nowMs - current time
 * @returns turns of an account that no request has come for
 */
export function noCallerTurns (nowMs: number): CallerTurns {
  return { admitted: { tokens: 0, updatedMs: nowMs }, turns: noTurns(nowMs) }
}

/**
 * @param state - turns of the account
 * @param nowMs - current time
 * @returns the turns with one more admitted request
 */
export function countAdmitted ({ admitted, turns }: CallerTurns, nowMs: number): CallerTurns {
  return { turns, admitted: { tokens: decayed(admitted, nowMs) + 1, updatedMs: nowMs } }
}

/**
 * @param state - turns of the account
 * @param denied - the request and the limit
 * @param parts - clock and random numbers
 * @returns the turn of its caller, after those that were denied before it. A caller without a turn, since new requests use the whole limit or
 *   it does not wait so long, returns late in the time for which it waits
 */
export function planReturn (state: CallerTurns, { perSecond, available, remainingMs }: DeniedRequest, { clock, random }: { clock: Pick<Clock, 'nowMs'>, random: Random }): DeniedReturn {
  const nowMs = clock.nowMs()
  const longestReturnMs = Math.min(LONGEST_RETURN_MS, Math.max(0, remainingMs ?? Infinity))
  const demand = { arrived: decayed(state.admitted, nowMs) + 1, refusedBefore: 0, refused: 1, ahead: 1 - available }
  const { turns, firstTurnMs } = planTurns(state.turns, demand, { perSecond, longestReturnMs }, nowMs)
  const hasTurn = firstTurnMs <= longestReturnMs
  const retryAfterMs = hasTurn ? Math.ceil(firstTurnMs) : Math.floor(longestReturnMs * (1 - SPREAD_FRACTION * random.next()))
  return { retryAfterMs, next: { turns, admitted: { tokens: 0, updatedMs: nowMs } } }
}
