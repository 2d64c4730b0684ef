/** Rate and concurrency limits of each caller, and the concurrency limit of the gateway. */
import { AnvilarchError, type Bucket, type Clock, type Random, takeToken } from 'anvilarch-utils'
import { LRUCache } from 'lru-cache'
import type { Account } from './accounts'
import { type CallerTurns, countAdmitted, type DeniedRequest, noCallerTurns, planReturn } from './callerTurns'

/** Admits requests. */
export interface CallerLimiter {
  /**
   * @param account - the caller and its limits
   * @param remainingMs - time left until the deadline of the request; undefined if it has none
   * @returns a function to call when the request has ended
   * @throws AnvilarchError with code `rate_limited` or `overloaded`, and with a retry time
   */
  admit: (account: Account, remainingMs: number | undefined) => () => void
  inProgress: () => number
}

/** Options of `createCallerLimiter`. */
export interface CallerLimiterOptions {
  clock: Clock
  random: Random
  /** Maximum number of requests in progress at this gateway, over all callers. */
  maxConcurrentRequests: number
}

/** Maximum number of accounts whose state is kept. The least recently used one is evicted; its caller starts again with a full bucket. */
const MAX_ACCOUNTS = 50_000

/** Weight of the newest request in the mean time in progress. */
const SMOOTHING = 0.05

const MS_PER_SECOND = 1000

/** A limit on requests in progress, whose places become free as requests end. */
interface PlaceLimit {
  turns: CallerTurns
  /** Mean time for which requests are in progress; undefined before one has ended. */
  meanMs: number | undefined
}

interface AccountState {
  bucket: Bucket | undefined
  rateTurns: CallerTurns
  places: PlaceLimit
}

/**
 * @param options - clock, random numbers and limit
 * @returns a limiter without requests
 */
export function createCallerLimiter (options: CallerLimiterOptions): CallerLimiter {
  const { clock, maxConcurrentRequests } = options
  const states = new LRUCache<string, AccountState>({ max: MAX_ACCOUNTS })
  const concurrent = new Map<string, number>()
  const gateway: PlaceLimit = { turns: noCallerTurns(clock.nowMs()), meanMs: undefined }
  let total = 0

  const stateOf = (name: string): AccountState => {
    const nowMs = clock.nowMs()
    const state = states.get(name) ?? { bucket: undefined, rateTurns: noCallerTurns(nowMs), places: { turns: noCallerTurns(nowMs), meanMs: undefined } }
    states.set(name, state)
    return state
  }

  /** @returns the turn of a caller that finds all places taken */
  const returnToPlace = (limit: PlaceLimit, places: number, remainingMs: number | undefined): number => {
    const perSecond = limit.meanMs === undefined ? 0 : places * MS_PER_SECOND / Math.max(1, limit.meanMs)
    return plan(limit, 'turns', { perSecond, available: 0, remainingMs })
  }

  const plan = <Key extends string>(owner: Record<Key, CallerTurns>, key: Key, denied: DeniedRequest): number => {
    const { retryAfterMs, next } = planReturn(owner[key], denied, options)
    owner[key] = next
    return retryAfterMs
  }

  const takeRateToken = ({ name, limits }: Account, state: AccountState, remainingMs: number | undefined): void => {
    const take = takeToken(state.bucket, { perSecond: limits.requestsPerSecond, burst: limits.burst }, clock.nowMs())
    state.bucket = take.bucket
    if (take.taken) return
    throw new AnvilarchError(`caller "${name}" sends more than ${limits.requestsPerSecond} requests a second`, {
      code: 'rate_limited',
      step: 'callers.rate',
      retryAfterMs: plan(state, 'rateTurns', { perSecond: limits.requestsPerSecond, available: take.bucket.tokens, remainingMs })
    })
  }

  const checkPlaces = ({ name, limits }: Account, state: AccountState, remainingMs: number | undefined): void => {
    if (total >= maxConcurrentRequests) {
      throw new AnvilarchError(`this gateway has ${total} requests in progress, which is all it takes`, {
        code: 'overloaded', step: 'callers.concurrency', retryAfterMs: returnToPlace(gateway, maxConcurrentRequests, remainingMs)
      })
    }
    const running = concurrent.get(name) ?? 0
    if (running >= limits.maxConcurrent) {
      throw new AnvilarchError(`caller "${name}" has ${running} requests in progress, which is all it may have`, {
        code: 'rate_limited', step: 'callers.concurrency', retryAfterMs: returnToPlace(state.places, limits.maxConcurrent, remainingMs)
      })
    }
  }

  const onAdmitted = (name: string, state: AccountState): void => {
    const nowMs = clock.nowMs()
    total++
    concurrent.set(name, (concurrent.get(name) ?? 0) + 1)
    state.rateTurns = countAdmitted(state.rateTurns, nowMs)
    for (const limit of [state.places, gateway]) limit.turns = countAdmitted(limit.turns, nowMs)
  }

  const release = (name: string, state: AccountState, elapsedMs: number): void => {
    total--
    const remaining = (concurrent.get(name) ?? 1) - 1
    if (remaining > 0) concurrent.set(name, remaining)
    else concurrent.delete(name)
    for (const limit of [state.places, gateway]) limit.meanMs = limit.meanMs === undefined ? elapsedMs : limit.meanMs + SMOOTHING * (elapsedMs - limit.meanMs)
  }

  return {
    admit: (account, remainingMs) => {
      const state = stateOf(account.name)
      checkPlaces(account, state, remainingMs)
      takeRateToken(account, state, remainingMs)
      onAdmitted(account.name, state)
      const admittedAtMs = clock.nowMs()
      let released = false
      return () => {
        if (!released) release(account.name, state, clock.nowMs() - admittedAtMs)
        released = true
      }
    },
    inProgress: () => total
  }
}
