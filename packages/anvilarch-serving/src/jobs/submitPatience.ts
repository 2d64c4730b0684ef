/**
 * Decides how long a gateway tries to accept a job before it gives it back.
 *
 * Answers outages of the store of some seconds. A job cannot be accepted then, and a client that is told so at once comes back
 * with most of its time left: its next attempt may be in time, while a job that is held until the store returns is late.
 */
import type { Route } from '../model/types'
import type { MetadataStore } from '../store/types'

/** What the decision depends on. */
export interface SubmitTerms {
  /** How long the client waits; undefined when it does not say. */
  deadlineMs: number | undefined
  /** The longest wait that a client of the route has named. */
  fullDeadlineMs: number
  /** Time to the answer that still counts as on time. */
  latencyObjectiveMs: number
  /** Whether no way to the store has worked lately. */
  isStoreAway: boolean
}

/** How long a job is tried, and when a client whose job was given back may come again. */
export interface SubmitPatience {
  patienceMs: number
  retryAfterMs: number
  /** Whether the client is sent away before the job has been tried for long. */
  isEarly: boolean
}

/** A gateway gives a job back this long before the client would stop waiting. */
const SUBMIT_MARGIN_MS = 500

/** Longest time that one gateway tries while the store answers others; another gateway may reach it. */
const MAX_SUBMIT_MS = 1500

/** When a job that was not accepted may come again. */
const RETRY_AFTER_MS = 400

/** Part of the objective after which a client that is sent away can still be in time with its next attempt. */
const EARLY_SHARE = 0.2

/** Clients keep to a Retry-After of up to a third of their time. */
const RETRY_AFTER_SHARE = 0.3

/** A client with less than this part of the full time has been sent away before: the job is tried for as long as it waits. */
const FRESH_SHARE = 0.9

/**
 * @param terms - times of the client, and the state of the store
 * @returns how long the job is tried
 */
export function submitPatience (terms: SubmitTerms): SubmitPatience {
  const deadlineMs = terms.deadlineMs ?? Infinity
  const untilDeadlineMs = Math.max(0, deadlineMs - SUBMIT_MARGIN_MS)
  if (!terms.isStoreAway) return { patienceMs: Math.min(MAX_SUBMIT_MS, untilDeadlineMs), retryAfterMs: RETRY_AFTER_MS, isEarly: false }
  const isFresh = deadlineMs >= FRESH_SHARE * terms.fullDeadlineMs
  if (!isFresh || deadlineMs === Infinity) return { patienceMs: Math.min(untilDeadlineMs, terms.fullDeadlineMs), retryAfterMs: RETRY_AFTER_MS, isEarly: false }
  return { patienceMs: Math.min(untilDeadlineMs, EARLY_SHARE * terms.latencyObjectiveMs), retryAfterMs: Math.round(RETRY_AFTER_SHARE * deadlineMs), isEarly: true }
}

/** How the store has lately answered this process, by any way. */
export type StoreContact = Pick<MetadataStore, 'lastFailureMs' | 'lastSuccessMs' | 'lastOutageMs'>

/** No way to the store has worked for at least this long: one failed call is ordinary. */
const AWAY_AFTER_MS = 200

/**
 * @param contact - of this process
 * @returns whether the store is away for it
 */
export function isStoreAway (contact: StoreContact): boolean {
  return (contact.lastFailureMs() ?? -Infinity) > (contact.lastSuccessMs() ?? -Infinity) && contact.lastOutageMs() >= AWAY_AFTER_MS
}

/**
 * @param contact - of this process
 * @returns the decision, which learns from its questions how long clients of a route wait
 */
export function createSubmitDecision (contact: StoreContact): (route: Route, deadlineMs: number | undefined) => SubmitPatience {
  const fullDeadlinesMs = new Map<string, number>()
  return (route, deadlineMs) => {
    const fullDeadlineMs = Math.max(fullDeadlinesMs.get(route.name) ?? 0, deadlineMs ?? 0)
    fullDeadlinesMs.set(route.name, fullDeadlineMs)
    return submitPatience({ deadlineMs, fullDeadlineMs, latencyObjectiveMs: route.latencyObjectiveMs, isStoreAway: isStoreAway(contact) })
  }
}
