/** Calls the agents on behalf of one request. */
import type { AttemptFrame } from 'anvilarch-protocol'
import type { AgentClient } from '../peers/types'
import type { AttemptReader, StreamTiming } from './attemptReader'
import type { AttemptState } from './machine/types'
import { startMessage } from './messages'
import type { Continuation } from './output/types'
import type { RunnerParts } from './runnerParts'
import type { WorkRequest } from './types'

/** How long a cancel is tried; the deadline of the attempt ends it in any case. */
const CANCEL_TIMEOUT_MS = 2_000

/** Share of the remaining time in which an agent must say whether it has an attempt, and its lower bound. */
const FIRST_FRAME_SHARE = 0.25
const MIN_FIRST_FRAME_MS = 50

/** The calls of one request. */
export interface AttemptCalls {
  start: (attempt: AttemptState, continuation: Continuation | undefined) => void
  resume: (attempt: AttemptState, newConnection: boolean, delayMs: number) => void
  /** Not waited for: whether it arrives changes nothing for the caller. */
  cancel: (attempt: AttemptState, reason: string) => void
}

/**
 * @param parts - shared parts of the gateway
 * @param request - whose attempts they are
 * @param reader - reads the streams that the calls open
 * @returns its calls
 */
export function createAttemptCalls (parts: RunnerParts, request: WorkRequest, reader: AttemptReader): AttemptCalls {
  const { clients, context } = parts
  const { requestId, workClass } = request
  let client: AgentClient | undefined

  const remainingMs = (): number => request.deadlineMs - context.clock.nowMs()

  /** A short deadline leaves no time for the full bound of silence, and then for another endpoint. */
  const timing = (delayMs: number): StreamTiming => ({ delayMs, firstFrameMs: Math.max(MIN_FIRST_FRAME_MS, remainingMs() * FIRST_FRAME_SHARE) })

  return {
    start: (attempt, continuation) => {
      const message = startMessage(request, attempt, {
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
