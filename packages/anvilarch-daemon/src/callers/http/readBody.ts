/** Reads request bodies with a size limit. */
import type { IncomingMessage } from 'node:http'
import { describeExpectedSyntax } from 'anvilarch-configuration'
import { AnvilarchError, toAnvilarchError } from 'anvilarch-utils'
import { parse, type ParseError } from 'jsonc-parser'

const STEP = 'callers.read_body'

/**
 * Reads a complete body. Reading stops at the limit, so that no caller can exhaust the memory of the gateway. The request is
 * then left open, so that the caller can still receive the error.
 *
 * @param request - the request
 * @param limitBytes - maximum size of the body
 * @param rejected - aborted when incomplete requests are rejected, with the error as its reason
 * @returns the body
 * @throws AnvilarchError with code `too_large`, or `bad_request` if the upload was truncated
 */
export function readBody (request: IncomingMessage, limitBytes: number, rejected?: AbortSignal): Promise<Buffer> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0)
  if (declaredBytes > limitBytes) return Promise.reject(tooLarge(limitBytes, `${declaredBytes} bytes were announced`))
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let sizeBytes = 0

    const settle = (act: () => void): void => {
      request.off('data', onData)
      request.off('end', onEnd)
      request.off('error', onCut)
      request.off('close', onCut)
      rejected?.removeEventListener('abort', onRejected)
      act()
    }
    const onData = (chunk: Buffer): void => {
      sizeBytes += chunk.length
      chunks.push(chunk)
      if (sizeBytes <= limitBytes) return
      request.pause()
      settle(() => { reject(tooLarge(limitBytes, 'reading stopped there')) })
    }
    const onEnd = (): void => { settle(() => { resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)) }) }
    const onCut = (cause?: Error): void => { settle(() => { reject(truncated(sizeBytes, declaredBytes, cause)) }) }

    const onRejected = (): void => { settle(() => { reject(rejectionOf(rejected)) }) }

    if (rejected?.aborted === true && !request.complete) {
      reject(rejectionOf(rejected))
      return
    }
    if (request.destroyed && !request.complete) {
      reject(truncated(0, declaredBytes))
      return
    }
    request.on('data', onData)
    request.on('end', onEnd)
    request.on('error', onCut)
    request.on('close', onCut)
    rejected?.addEventListener('abort', onRejected)
  })
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
