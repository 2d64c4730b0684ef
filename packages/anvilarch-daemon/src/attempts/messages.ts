/** Builds the messages that start an attempt. */
import type { AttemptState } from './machine/types'
import type { Continuation } from './output/types'
import type { EndpointCall, WorkRequest } from './types'

/** Facts that go with a start. */
export interface StartFacts {
  remainingMs: number
  configurationVersion: number
  continuation: Continuation | undefined
}

/**
 * @param request - the request
 * @param attempt - the attempt that starts
 * @param facts - remaining time, configuration version and what the caller has already
 * @returns the fields of a `StartAttemptRequest`
 */
export function startMessage (request: WorkRequest, attempt: AttemptState, facts: StartFacts) {
  return {
    requestId: request.requestId,
    attemptId: attempt.attemptId,
    fingerprint: request.fingerprint,
    workClass: request.workClass,
    service: request.service,
    endpoint: attempt.target.endpoint,
    caller: request.caller,
    remainingMs: facts.remainingMs,
    idempotent: request.idempotent,
    configurationVersion: BigInt(facts.configurationVersion),
    agentIncarnation: attempt.target.incarnation,
    call: callMessage(request.call, facts.continuation),
    outputMode: request.outputMode,
    isolated: attempt.isolated,
    soloFirstToken: attempt.soloFirstToken
  }
}

function callMessage (call: EndpointCall, continuation: Continuation | undefined) {
  return {
    method: call.method,
    path: call.path,
    headers: Object.entries(call.headers).map(([name, value]) => ({ name, value })),
    body: continuation === undefined ? call.body : continuedBody(call.body, continuation)
  }
}

/** The endpoint is told what the caller has, so that it goes on after it instead of starting again. */
function continuedBody (body: Uint8Array, continuation: Continuation): Uint8Array {
  const parsed = JSON.parse(Buffer.from(body).toString('utf8')) as Record<string, unknown>
  return Buffer.from(JSON.stringify({ ...parsed, continuation }))
}
