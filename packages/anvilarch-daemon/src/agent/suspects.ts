/**
 * Requests that were in progress at a crash of an endpoint beside this agent and had produced nothing: one of them is most
 * likely the one that the engine died of, since an engine dies when it first computes a request. Until such a request has
 * made its first token here while no other prompt was computed, it is not started like others, whichever gateway sends it. Otherwise each gateway would
 * have to see crashes of its own before it knew, and the request would take down one endpoint after another meanwhile.
 */
import { LRUCache } from 'lru-cache'
import type { Clock } from 'anvilarch-utils'
import type { AttemptEnd, LiveAttempt } from './liveAttempt'

/** Suspects of one agent. */
export interface AgentSuspects {
  /** An attempt ended: a suspect is found, or one has proved harmless. */
  recordEnd: (attempt: LiveAttempt, end: AttemptEnd) => void
  /** Whether a request may run here only so that its prompt is computed alone, or with nothing beside it. */
  mustIsolate: (fingerprint: string) => boolean
  list: () => string[]
}

const MAX_SUSPECTS = 1000
/** Long enough for callers to send a request again, short enough to forget one that nobody sends any more. */
const SUSPECT_RETENTION_MS = 120_000

/**
 * @param clock - the clock
 * @returns suspects, none at first
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
