/** Parses and validates request headers. */
import type { IncomingHttpHeaders } from 'node:http'
import { AnvilarchError } from 'anvilarch-utils'

/** Characters that are safe in logs, headers and row keys. */
const REQUEST_ID = /^[A-Za-z0-9._:-]{1,128}$/
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/
const BEARER = /^Bearer +(\S{1,512})$/i
const WHOLE_NUMBER = /^\d{1,9}$/

/** Maximum deadline that a caller may set: one day. */
export const MAX_DEADLINE_MS = 86_400_000

/**
 * @param headers - request headers
 * @param makeId - generates an id for a request without one
 * @returns the id of the request
 */
export function requestIdOf (headers: IncomingHttpHeaders, makeId: () => string): string {
  const value = headers['x-request-id']
  if (value === undefined || value === '') return makeId()
  if (typeof value === 'string' && REQUEST_ID.test(value)) return value
  throw badHeader('X-Request-Id', String(value), '1 to 128 letters, digits, dots, colons, hyphens or underscores')
}

/**
 * @param headers - request headers
 * @returns the time until the deadline in milliseconds, or undefined
 */
export function deadlineOf (headers: IncomingHttpHeaders): number | undefined {
  const value = headers['x-deadline-ms']
  if (value === undefined) return undefined
  const durationMs = typeof value === 'string' && WHOLE_NUMBER.test(value) ? Number(value) : 0
  if (durationMs >= 1 && durationMs <= MAX_DEADLINE_MS) return durationMs
  throw badHeader('X-Deadline-Ms', String(value), `a whole number from 1 to ${MAX_DEADLINE_MS}`)
}

/**
 * @param headers - request headers
 * @returns the idempotency key, or undefined
 */
export function idempotencyKeyOf (headers: IncomingHttpHeaders): string | undefined {
  const value = headers['idempotency-key']
  if (value === undefined) return undefined
  if (typeof value === 'string' && IDEMPOTENCY_KEY.test(value)) return value
  throw badHeader('Idempotency-Key', String(value), '1 to 255 printable ASCII characters without spaces')
}

/**
 * @param headers - request headers
 * @returns the bearer key, or undefined
 */
export function bearerKeyOf (headers: IncomingHttpHeaders): string | undefined {
  const value = headers.authorization
  if (value === undefined || value === '') return undefined
  const match = BEARER.exec(value)
  if (match !== null) return match[1]
  throw new AnvilarchError('header "Authorization" must be "Bearer KEY"', { code: 'unauthorized', step: 'callers.headers' })
}

/**
 * @param headers - headers of a request to a completion route
 * @throws AnvilarchError if the request sets a work class other than online
 */
export function checkWorkClass (headers: IncomingHttpHeaders): void {
  const value = headers['x-work-class']
  if (value === undefined || value === 'online') return
  const hint = value === 'batch' ? '; batch work is sent through /v1/files and /v1/batches' : ''
  throw badHeader('X-Work-Class', String(value), `"online" on this route${hint}`)
}

function badHeader (name: string, found: string, expected: string): AnvilarchError {
  const shown = found.length > 64 ? `${found.slice(0, 64)}...` : found
  return new AnvilarchError(`header "${name}" holds ${JSON.stringify(shown)}; expected ${expected}`, { code: 'bad_request', step: 'callers.headers' })
}
