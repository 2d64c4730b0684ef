/**
 * Suspects are requests that were in progress without any output when an endpoint of this agent crashed. One of them most
 * likely caused the crash, since an engine crashes when it first computes a request. Until a suspect has produced its
 * first token here while no other prompt was computed, the agent refuses to start it like other requests, whichever
 * gateway sends it. Otherwise each gateway would have to observe crashes itself, and the request would crash one endpoint
 * after another in the meantime.
 */
import { LRUCache } from 'lru-cache'
import type { Clock } from 'anvilarch-utils'
import type { AttemptEnd, LiveAttempt } from './liveAttempt'

/** Records the suspects of one agent. */
export interface AgentSuspects {
  /** Adds a suspect after a crash, or removes one that has completed alone. */
  recordEnd: (attempt: LiveAttempt, end: AttemptEnd) => void
  /** Whether a request may run here only isolated, or with no other prompt computed before its first token. */
  mustIsolate: (fingerprint: string) => boolean
  list: () => string[]
}

const MAX_SUSPECTS = 1000
/** Long enough for callers to retry a request, short enough to remove those that are no longer sent. */
const SUSPECT_RETENTION_MS = 120_000

/**
 * @param clock - the clock
 * @returns an empty set of suspects
 */
export function createAgentSuspects (clock: Clock): AgentSuspects {
  const sinceMs = new LRUCache<string, number>({ max: MAX_SUSPECTS })

  const mustIsolate = (fingerprint: string): boolean => {
    const foundMs = sinceMs.get(fingerprint)
    if (foundMs === undefined) return false
    if (clock.nowMs() - foundMs < SUSPECT_RETENTION_MS) return true
    sinceMs.delete(fingerprint)
    return false
  }

  return {
    recordEnd: (attempt, end) => {
      if (end.outcome === 'endpoint_crashed' && end.ran !== 'not_run' && end.outputTokens === 0) sinceMs.set(attempt.fingerprint, clock.nowMs())
      else if (end.outcome === 'completed' && end.wasAlone) sinceMs.delete(attempt.fingerprint)
    },
    mustIsolate,
    list: () => [...sinceMs.keys()].filter(mustIsolate)
  }
}
