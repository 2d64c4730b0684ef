/** Converts a validated completion to a request for the attempts slice. */
import { createHash } from 'node:crypto'
import type { WorkRequest } from '../../attempts/types'
import type { CompletionInput, CompletionKind } from './completionInput'

/** Paths of the routes, also at the engine. */
export const COMPLETION_PATHS: Record<CompletionKind, string> = { chat: '/v1/chat/completions', text: '/v1/completions' }

/** Length of the start of a prompt that identifies its prefix. */
const PREFIX_CHARACTERS = 512

/** Caller and deadline of a request. */
export interface CompletionOrigin {
  requestId: string
  caller: string
  deadlineMs: number
}

/**
 * @param kind - kind of the route
 * @param body - parsed body
 * @param input - validated body
 * @param origin - caller and deadline
 * @returns the request
 */
export function completionRequest (kind: CompletionKind, body: Record<string, unknown>, input: CompletionInput, origin: CompletionOrigin): WorkRequest {
  const engineBody = body['model'] === input.engineModel ? body : { ...body, model: input.engineModel }
  return {
    ...origin,
    workClass: 'online',
    service: input.service,
    call: {
      method: 'POST',
      path: COMPLETION_PATHS[kind],
      headers: { 'content-type': 'application/json', 'x-request-id': origin.requestId },
      body: Buffer.from(JSON.stringify(engineBody))
    },
    outputMode: input.stream ? 'stream' : 'whole',
    idempotent: true,
    fingerprint: completionFingerprint(input.service, body),
    affinityKey: affinityKeyOf(body)
  }
}

/**
 * Ignores the streaming options: a request that crashes an endpoint does so whether it is streamed or not.
 *
 * @param service - service that runs the request
 * @param body - parsed body
 * @returns hash of both
 */
export function completionFingerprint (service: string, body: Record<string, unknown>): string {
  const { stream, stream_options: streamOptions, ...rest } = body
  return createHash('sha256').update(service).update('\n').update(JSON.stringify(rest)).digest('hex')
}

/**
 * Requests with the same first message, which usually contains shared instructions, can share an entry of a prefix cache.
 *
 * @param body - parsed body of a completion
 * @returns hash of the start of its prompt, or an empty string if there is none
 */
export function affinityKeyOf (body: Record<string, unknown>): string {
  const { messages, prompt } = body
  const start = Array.isArray(messages) ? messages[0] as unknown : prompt
  if (start === undefined) return ''
  const text = typeof start === 'string' ? start : JSON.stringify(start)
  return createHash('sha1').update(text.slice(0, PREFIX_CHARACTERS)).digest('hex')
}
