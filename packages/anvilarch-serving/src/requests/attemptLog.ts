/** Logs the attempts of one request. */
import { drainElapsedMs } from '../drain/drainState'
import type { Endpoint } from '../model/types'
import type { AttemptFailure } from './retryDecision'
import { type ClientRequest, type ForwardParts, placementCriteria, type RequestState } from './forwardTypes'
import { elapsedMs } from './requestLog'

/** Writes log lines about attempts. `failed` flushes the request log; the other lines are buffered there. */
export interface AttemptLog {
  chosen: (endpoint: Endpoint) => void
  responseStarted: (endpoint: Endpoint, status: number) => void
  failed: (endpoint: Endpoint, failure: AttemptFailure, reason: string) => void
  /** The endpoint has closed its connection in order after an event, which no length shows to be the last one. */
  ended: (endpoint: Endpoint) => void
  /** The endpoint sends nothing, so that the request is also sent to another one. */
  silent: (endpoint: Endpoint) => void
  processPaused: (endpoint: Endpoint, lateMs: number) => void
}

/**
 * @param parts - clock, log, loads and placement
 * @param client - the request
 * @param state - progress of the request
 * @returns the log of its attempts
 */
export function createAttemptLog (parts: ForwardParts, client: ClientRequest, state: RequestState): AttemptLog {
  const { clock } = parts
  const { requestId } = client.metadata
  const remainingMs = (): number => Math.round(state.deadlineAtMs - clock.nowMs())
  return {
    chosen: endpoint => {
      const load = parts.loads.loadOf(endpoint.startId)
      state.requestLog.note('endpoint chosen', {
        requestId,
        endpoint: endpoint.startId,
        softwareVersion: endpoint.softwareVersion,
        online: load.online,
        batchRunning: load.batchRunning,
        slots: endpoint.slots,
        suspected: load.suspected,
        eventIntervalMs: load.eventIntervalMs,
        candidateCount: state.service === undefined ? 0 : parts.placement.count(placementCriteria(client, state, state.service)),
        loadAgeMs: Number.isFinite(load.ageMs) ? Math.round(load.ageMs) : undefined,
        remainingMs: remainingMs(),
        afterMs: elapsedMs(clock, client.arrivedAtMs)
      })
    },
    responseStarted: (endpoint, status) => {
      state.requestLog.note('answer begun', { requestId, endpoint: endpoint.startId, status, afterMs: elapsedMs(clock, client.arrivedAtMs) })
    },
    failed: (endpoint, failure, reason) => {
      state.requestLog.flush()
      parts.log.info('attempt failed', {
        requestId,
        reason,
        drainMs: drainElapsedMs(clock, parts.drainState),
        failure,
        endpoint: endpoint.startId,
        lastEventId: state.lastEventId,
        remainingMs: remainingMs(),
        sharedPrefixes: client.metadata.promptPrefixes.slice(0, -1).join()
      })
    },
    ended: endpoint => {
      state.requestLog.note('stream end to be confirmed', { requestId, endpoint: endpoint.startId, lastEventId: state.lastEventId, afterMs: elapsedMs(clock, client.arrivedAtMs) })
    },
    silent: endpoint => {
      state.requestLog.note('endpoint silent', { requestId, endpoint: endpoint.startId, lastEventId: state.lastEventId, afterMs: elapsedMs(clock, client.arrivedAtMs) })
    },
    processPaused: (endpoint, lateMs) => {
      state.requestLog.note('own pause noticed', { requestId, endpoint: endpoint.startId, lateMs: Math.round(lateMs) })
    }
  }
}
