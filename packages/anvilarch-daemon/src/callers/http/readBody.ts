/** Reads request bodies with a size limit. */
import { describeExpectedSyntax } from 'anvilarch-configuration'
import { AnvilarchError, type CollectedBody, collectBody, toAnvilarchError } from 'anvilarch-utils'
import { parse, type ParseError } from 'jsonc-parser'
import type { CallerContext } from '../types'

const STEP = 'callers.read_body'

type BodyCall = Pick<CallerContext, 'request' | 'response' | 'bodies'>

/**
 * Reads a complete body, within the limits of its size and of all bodies. The request of a body that is not taken is left open, so that the
 * caller can still receive the error. The body counts until its response is closed.
 *
 * @param call - the request
 * @param limitBytes - maximum size of the body
 * @param rejected - aborted when incomplete requests are rejected, with the error as its reason
 * @returns the body
 * @throws AnvilarchError with code `too_large`, `overloaded` if there is no room for it, or `bad_request` if the upload was truncated
 */
export async function readBody ({ request, response, bodies }: BodyCall, limitBytes: number, rejected?: AbortSignal): Promise<Buffer> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0)
  if (declaredBytes > limitBytes) throw tooLarge(limitBytes, `${declaredBytes} bytes were announced`)
  if (rejected?.aborted === true && !request.complete) throw rejectionOf(rejected)
  if (request.destroyed && !request.complete) throw truncated(0, declaredBytes)
  const { result, upload, stop } = collectBody(request, limitBytes, bodies)
  response.once('close', upload.release)
  const collected = await untilRejected(result, rejected)
  if (collected === undefined) {
    stop()
    upload.release()
    throw rejectionOf(rejected)
  }
  switch (collected.outcome) {
    case 'read': return collected.body
    case 'too_large': throw tooLarge(limitBytes, 'reading stopped there')
    case 'no_room': throw noRoom(bodies.budget.roomInMs(collected.receivedBytes))
    case 'broken_off': throw truncated(collected.receivedBytes, declaredBytes, collected.cause)
  }
}

/** @returns the result, or undefined if the signal is aborted first */
async function untilRejected (result: Promise<CollectedBody>, rejected: AbortSignal | undefined): Promise<CollectedBody | undefined> {
  if (rejected === undefined) return await result
  let onRejected = (): void => {}
  const rejection = new Promise<undefined>(resolve => { onRejected = () => { resolve(undefined) } })
  rejected.addEventListener('abort', onRejected)
  try {
    return await Promise.race([result, rejection])
  } finally {
    rejected.removeEventListener('abort', onRejected)
  }
}

function noRoom (retryAfterMs: number): AnvilarchError {
  return new AnvilarchError('the bodies of all requests take all the memory that this gateway has for them', { code: 'overloaded', step: STEP, ran: 'not_run', retryAfterMs })
}

function rejectionOf (rejected: AbortSignal | undefined): AnvilarchError {
  return toAnvilarchError(rejected?.reason, { code: 'draining', step: STEP })
}

function tooLarge (limitBytes: number, found: string): AnvilarchError {
  return new AnvilarchError(`the body is larger than the ${limitBytes} bytes that are allowed: ${found}`, { code: 'too_large', step: STEP })
}

function truncated (sizeBytes: number, declaredBytes: number, cause?: unknown): AnvilarchError {
  const expected = declaredBytes > 0 ? ` of ${declaredBytes}` : ''
  return new AnvilarchError(`the upload was cut off after ${sizeBytes}${expected} bytes`, { code: 'bad_request', step: STEP, cause })
}

/**
 * @param body - a body that should contain one JSON object
 * @returns the object
 * @throws AnvilarchError with code `bad_request` and the line and column of a syntax error
 */
export function parseJsonObject (body: Uint8Array): Record<string, unknown> {
  const text = Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('utf8')
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch {
    throw new AnvilarchError(`the body is not valid JSON: ${describeSyntaxError(text)}`, { code: 'bad_request', step: 'callers.parse_body' })
  }
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    throw new AnvilarchError('the body must be a JSON object, for example {"model": "...", "messages": [...]}', { code: 'bad_request', step: 'callers.parse_body' })
  }
  return value as Record<string, unknown>
}

/** `JSON.parse` reports no position for most syntax errors, unlike the parser used here. */
function describeSyntaxError (text: string): string {
  if (text === '') return 'it is empty'
  const errors: ParseError[] = []
  parse(text, errors, { disallowComments: true })
  const first = errors[0]
  if (first === undefined) return 'it holds something that JSON does not allow'
  const linesBefore = text.slice(0, first.offset).split('\n')
  return `expected ${describeExpectedSyntax(first)} at line ${linesBefore.length}, column ${linesBefore[linesBefore.length - 1].length + 1}`
}
