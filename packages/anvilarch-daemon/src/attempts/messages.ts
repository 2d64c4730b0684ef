/** Builds the messages that start attempts. */
import type { AttemptState } from './machine/types'
import type { Continuation } from './output/types'
import type { EndpointCall, WorkRequest } from './types'

/** Values of a start message that vary between the attempts of a request. */
export interface StartContext {
  remainingMs: number
  configurationVersion: number
  continuation: Continuation | undefined
}

/**
 * @param request - the request
 * @param attempt - the attempt that starts
 * @param context - remaining time, configuration version and output that the caller has received
 * @returns the fields of a `StartAttemptRequest`
 */
export function createStartMessage (request: WorkRequest, attempt: AttemptState, context: StartContext) {
  return {
    requestId: request.requestId,
    attemptId: attempt.attemptId,
    fingerprint: request.fingerprint,
    workClass: request.workClass,
    service: request.service,
    endpoint: attempt.target.endpoint,
    caller: request.caller,
    remainingMs: context.remainingMs,
    idempotent: request.idempotent,
    configurationVersion: BigInt(context.configurationVersion),
    agentIncarnation: attempt.target.incarnation,
    call: createCall(request.call, context.continuation),
    outputMode: request.outputMode,
    isolated: attempt.isolated,
    soloFirstToken: attempt.soloFirstToken
  }
}

function createCall (call: EndpointCall, continuation: Continuation | undefined) {
  return {
    method: call.method,
    path: call.path,
    headers: Object.entries(call.headers).map(([name, value]) => ({ name, value })),
    body: continuation === undefined ? call.body : withContinuation(call.body, continuation)
  }
}

/** Adds the output that the caller has received, so that the endpoint continues after it instead of starting over. */
function withContinuation (body: Uint8Array, continuation: Continuation): Uint8Array {
  const parsed = JSON.parse(Buffer.from(body).toString('utf8')) as Record<string, unknown>
  return Buffer.from(JSON.stringify({ ...parsed, continuation }))
}
