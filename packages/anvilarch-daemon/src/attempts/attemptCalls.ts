/** Sends the calls of one request to agents. */
import type { AttemptFrame } from 'anvilarch-protocol'
import type { AgentClient } from '../peers/types'
import type { AttemptReader, StreamTiming } from './attemptReader'
import type { AttemptState } from './machine/types'
import { createStartMessage } from './messages'
import type { Continuation } from './output/types'
import type { RunnerParts } from './runnerParts'
import type { WorkRequest } from './types'

/** Timeout of a cancellation. The attempt ends at its deadline in any case. */
const CANCEL_TIMEOUT_MS = 2_000

/** Timeout of the first frame, by which an agent confirms that it has an attempt: share of the remaining time, and lower bound. */
const FIRST_FRAME_TIMEOUT_SHARE = 0.25
const MIN_FIRST_FRAME_TIMEOUT_MS = 50

/** Calls of one request. */
export interface AttemptCalls {
  start: (attempt: AttemptState, continuation: Continuation | undefined) => void
  resume: (attempt: AttemptState, newConnection: boolean, delayMs: number) => void
  /** Does not wait for the response, since it changes nothing for the caller. */
  cancel: (attempt: AttemptState, reason: string) => void
}

/**
 * @param parts - shared parts of the gateway
 * @param request - the request whose attempts are called
 * @param reader - reads the streams that the calls open
 * @returns the calls of the request
 */
export function createAttemptCalls (parts: RunnerParts, request: WorkRequest, reader: AttemptReader): AttemptCalls {
  const { clients, context } = parts
  const { requestId, workClass } = request
  let client: AgentClient | undefined

  const remainingMs = (): number => request.deadlineMs - context.clock.nowMs()

  /** With a short deadline, waiting for the full inactivity timeout would leave no time for another endpoint. */
  const timing = (delayMs: number): StreamTiming => ({ delayMs, firstFrameTimeoutMs: Math.max(MIN_FIRST_FRAME_TIMEOUT_MS, remainingMs() * FIRST_FRAME_TIMEOUT_SHARE) })

  return {
    start: (attempt, continuation) => {
      const message = createStartMessage(request, attempt, {
        remainingMs: Math.max(1, Math.floor(remainingMs())),
        configurationVersion: context.configuration.version(),
        continuation
      })
      const used = clients.get(attempt.target.address, workClass)
      client = used
      reader.open(attempt.stream, signal => used.startAttempt(message, { signal }), timing(0))
    },
    resume: (attempt, newConnection, delayMs) => {
      const { address, incarnation } = attempt.target
      const message = { requestId, attemptId: attempt.attemptId, offsetBytes: BigInt(attempt.receivedBytes), agentIncarnation: incarnation }
      const call = (signal: AbortSignal): AsyncIterable<AttemptFrame> => {
        client = newConnection ? clients.reconnect(address, workClass, client) : clients.get(address, workClass)
        return client.resumeAttempt(message, { signal })
      }
      reader.open(attempt.stream, call, timing(delayMs))
    },
    cancel: (attempt, reason) => {
      clients.get(attempt.target.address, workClass)
        .cancelAttempt({ attemptId: attempt.attemptId, reason }, { timeoutMs: CANCEL_TIMEOUT_MS })
        .catch(() => {})
    }
  }
}
