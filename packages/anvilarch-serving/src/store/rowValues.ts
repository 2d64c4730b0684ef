/**
 * Reads the values of rows in shared tables. Any program with access to the store can write them, so nothing about a value is
 * certain before it is checked here. Pure.
 */
import { isIPv4 } from 'node:net'
import { Err, Ok, type Result } from 'ts-results'

/** Longest value that is parsed, in bytes. The store accepts 64 KB, and parsing some MB delays all requests of a process. */
export const MAX_VALUE_BYTES = 1024 * 1024

/** Deepest nesting of lists and objects. Rows have up to four levels; deeper values exhaust the stack when they are encoded again. */
export const MAX_NESTING = 32

/** Longest name or id, in characters. It has to fit into a datagram of 1,400 bytes with others, into log lines and, for a key, into 200 bytes. */
export const MAX_NAME_LENGTH = 200

/** Most requests that one endpoint runs at the same time. Engines run some hundred; sums over all endpoints remain exact. */
export const MAX_SLOTS = 65_536

/** Longest duration, in milliseconds: a timer of Node.js with a longer one fires at once. */
export const MAX_DURATION_MS = 2 ** 31 - 1

/** Latest start time, in Unix milliseconds: the year 2100. A time in microseconds is later than that. */
export const MAX_WALL_MS = 4_102_444_800_000

/** Characters of a problem that are logged. The value that caused it may be as long as a row. */
const MAX_REASON_LENGTH = 200

const MAX_PORT = 65_535

/** Reason why a row cannot be used. */
export interface RowProblem {
  /** Name of the field; empty when the row as a whole cannot be read. */
  field: string
  reason: string
}

/** @returns the problem, with a reason of limited length */
export function rowProblem (field: string, reason: string): RowProblem {
  return { field, reason: reason.slice(0, MAX_REASON_LENGTH) }
}

const UTF8 = new TextDecoder('utf-8', { fatal: true })

/**
 * @param bytes - value of a row
 * @returns the parsed value, or why it is no value that a row may have
 */
export function parseRowValue (bytes: Buffer): Result<unknown, RowProblem> {
  if (bytes.length > MAX_VALUE_BYTES) return Err(rowProblem('', `has ${bytes.length} bytes, more than ${MAX_VALUE_BYTES}`))
  try {
    const text = UTF8.decode(bytes)
    if (nestingOf(text) > MAX_NESTING) return Err(rowProblem('', `is nested more than ${MAX_NESTING} levels deep`))
    return Ok(JSON.parse(text))
  } catch (error) {
    return Err(rowProblem('', `is not JSON: ${(error as Error).message}`))
  }
}

const QUOTE = 0x22
const BACKSLASH = 0x5c
const OPENING = new Set([0x5b, 0x7b])
const CLOSING = new Set([0x5d, 0x7d])

/** @returns the deepest nesting of a JSON text; of a text that is not JSON, any number */
function nestingOf (text: string): number {
  let depth = 0
  let deepest = 0
  let inString = false
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index)
    if (inString) {
      if (code === BACKSLASH) index++
      else if (code === QUOTE) inString = false
    } else if (code === QUOTE) inString = true
    else if (OPENING.has(code)) deepest = Math.max(deepest, ++depth)
    else if (CLOSING.has(code)) depth--
  }
  return deepest
}

/** Check of one field. A missing field is `undefined`. */
export type FieldCheck = (value: unknown) => boolean

/** Check of each field of a record. Other fields are kept unchecked, since a newer version may have added them. */
export type RecordChecks<Record> = { readonly [Field in keyof Record]-?: FieldCheck }

/**
 * @param bytes - value of a row
 * @param checks - check of each field
 * @returns the record, or the first field that is unusable
 */
export function decodeChecked<Record> (bytes: Buffer, checks: RecordChecks<Record>): Result<Record, RowProblem> {
  const parsed = parseRowValue(bytes)
  if (parsed.err) return parsed
  const value = parsed.val
  if (!isObject(value)) return Err(rowProblem('', 'is no object'))
  for (const [field, check] of Object.entries<FieldCheck>(checks)) {
    if (!check(ownField(value, field))) return Err(rowProblem(field, 'is missing, of another type or out of range'))
  }
  return Ok(value as Record)
}

function isObject (value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function ownField (value: object, field: string): unknown {
  return Object.prototype.hasOwnProperty.call(value, field) ? (value as Readonly<Record<string, unknown>>)[field] : undefined
}

/** Checks of fields. */
export const isString: FieldCheck = value => typeof value === 'string'
export const isName: FieldCheck = value => typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_LENGTH
export const isFlag: FieldCheck = value => typeof value === 'boolean'
export const isFiniteNumber: FieldCheck = Number.isFinite
export const isCount: FieldCheck = value => Number.isSafeInteger(value) && (value as number) >= 0
export const isDurationMs: FieldCheck = value => Number.isFinite(value) && (value as number) >= 0 && (value as number) <= MAX_DURATION_MS

/** Times on the store's clock, which may begin anywhere. */
export const isStoreTimeMs: FieldCheck = value => Number.isFinite(value) && Math.abs(value as number) <= Number.MAX_SAFE_INTEGER

/** @returns a check that also accepts a missing field */
export function optional (check: FieldCheck): FieldCheck {
  return value => value === undefined || check(value)
}

/** @returns a check of a list by a check of its entries */
export function listOf (check: FieldCheck): FieldCheck {
  return value => Array.isArray(value) && value.every(check)
}

/** @returns a check of an object by a check of the values of its fields */
export function mapOf (check: FieldCheck): FieldCheck {
  return value => isObject(value) && Object.values(value).every(check)
}

/** @returns a check that accepts some values */
export function oneOf (...values: readonly unknown[]): FieldCheck {
  return value => values.includes(value)
}

/** @returns whether the text is an IPv4 address and a port, in the form IP:PORT */
export function isSocketAddress (text: unknown): text is string {
  if (typeof text !== 'string') return false
  const [ip, port, ...rest] = text.split(':')
  return rest.length === 0 && isIPv4(ip) && isPort(port)
}

function isPort (text: string | undefined): boolean {
  return /^\d{1,5}$/.test(text ?? '') && Number(text) > 0 && Number(text) <= MAX_PORT
}

/** Key of an endpoint: it is sent in a header of each request, which may hold visible ASCII characters only. */
const ENDPOINT_ID = /^[\x21-\x7e]+$/

/** @returns whether the key of a row can be the id of an endpoint */
export function isEndpointId (key: string): boolean {
  return key.length <= MAX_NAME_LENGTH && ENDPOINT_ID.test(key)
}
