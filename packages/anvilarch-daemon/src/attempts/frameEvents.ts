/** Converts the frames of an attempt to events of the request state machine. */
import { ATTEMPT_OUTCOMES, type AttemptFrame, type AttemptOutcome, type Final, type HttpHeader, type RefusalReason } from 'anvilarch-protocol'
import type { RunStatus } from 'anvilarch-utils'
import { REFUSALS } from './machine/refusals'
import type { FinalReport, RequestEvent } from './machine/types'
import type { Headers } from './types'

/**
 * @param frame - received frame
 * @param stream - number of the stream that carried it
 * @returns the event, or undefined for an unknown kind of frame
 */
export function toRequestEvent (frame: AttemptFrame, stream: number): RequestEvent | undefined {
  const { kind } = frame
  switch (kind.case) {
    case 'accepted':
      return { kind: 'accepted', stream, incarnation: kind.value.agentIncarnation }
    case 'refused':
      return {
        kind: 'refused',
        stream,
        reason: knownReason(kind.value.reason),
        incarnation: kind.value.agentIncarnation,
        retryAfterMs: kind.value.retryAfterMs
      }
    case 'head':
      return { kind: 'head', stream, status: kind.value.status, headers: toHeaders(kind.value.headers) }
    case 'output':
      return { kind: 'output', stream, offsetBytes: Number(kind.value.offsetBytes), data: kind.value.data }
    case 'heartbeat':
      return { kind: 'heartbeat', stream }
    case 'final':
      return { kind: 'final', stream, final: toFinal(kind.value) }
    default:
      return undefined
  }
}

function toFinal (final: Final): FinalReport {
  return {
    outcome: knownOutcome(final.outcome),
    totalBytes: Number(final.totalBytes),
    ran: knownRan(final.ran),
    detail: final.detail,
    retryAfterMs: final.retryAfterMs,
    outputTokens: final.outputTokens,
    wasAlone: final.wasAlone,
    causeKnown: final.causeKnown
  }
}

/** A newer agent may send reasons that are unknown to this gateway; any refusal bars the attempt. */
function knownReason (reason: string): RefusalReason {
  return reason in REFUSALS ? reason as RefusalReason : 'overloaded'
}

function knownOutcome (outcome: string): AttemptOutcome {
  return (ATTEMPT_OUTCOMES as readonly string[]).includes(outcome) ? outcome as AttemptOutcome : 'lost'
}

function knownRan (ran: string): RunStatus {
  return ran === 'not_run' || ran === 'ran' ? ran : 'unknown'
}

function toHeaders (list: readonly HttpHeader[]): Headers {
  const headers: Headers = {}
  for (const { name, value } of list) headers[name.toLowerCase()] = value
  return headers
}
