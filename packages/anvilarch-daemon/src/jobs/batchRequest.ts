/** Parses and validates requests that create a job. */
import { createHash } from 'node:crypto'
import { AnvilarchError } from 'anvilarch-utils'
import { ITEM_URLS } from './itemLine'
import type { FileRow } from './rows'

/** A validated request. */
export interface BatchRequest {
  fileId: string
  endpoint: string
  completionWindow: string
  windowMs: number
  metadata: Record<string, string> | null
}

const STEP = 'jobs.accept'
const WINDOW = /^(\d{1,6})([smhd])$/
const UNIT_MS: Record<string, number> = { s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 }
const MIN_WINDOW_MS = 1_000
const MAX_WINDOW_MS = 7 * 86_400_000
const MAX_METADATA_FIELDS = 16
const MAX_METADATA_KEY = 64
const MAX_METADATA_VALUE = 512
const MAX_KEY_LENGTH = 255

/**
 * @param value - parsed JSON body
 * @returns the validated request
 * @throws AnvilarchError with code `bad_request` that names the invalid field
 */
export function parseBatchRequest (value: Record<string, unknown>): BatchRequest {
  const { input_file_id: fileId, endpoint, completion_window: completionWindow } = value
  if (typeof fileId !== 'string' || fileId === '') throw badRequest('"input_file_id" must name an uploaded file.')
  if (typeof endpoint !== 'string' || !ITEM_URLS.includes(endpoint)) {
    throw badRequest(`"endpoint" must be one of ${ITEM_URLS.map(url => `"${url}"`).join(', ')}, found ${JSON.stringify(endpoint)}.`)
  }
  return { fileId, endpoint, ...parseWindow(completionWindow), metadata: parseMetadata(value.metadata) }
}

function parseWindow (value: unknown): { completionWindow: string, windowMs: number } {
  const match = typeof value === 'string' ? WINDOW.exec(value) : null
  const windowMs = match === null ? Number.NaN : Number(match[1]) * UNIT_MS[match[2]]
  if (!(windowMs >= MIN_WINDOW_MS && windowMs <= MAX_WINDOW_MS)) {
    throw badRequest(`"completion_window" must be a time from "1s" to "7d", for example "24h", found ${JSON.stringify(value)}.`)
  }
  return { completionWindow: value as string, windowMs }
}

function parseMetadata (value: unknown): Record<string, string> | null {
  if (value === undefined || value === null) return null
  if (!isObject(value)) throw badRequest('"metadata" must be an object with texts as values.')
  const entries = Object.entries(value)
  if (entries.length > MAX_METADATA_FIELDS) throw badRequest(`"metadata" may have ${MAX_METADATA_FIELDS} fields, found ${entries.length}.`)
  for (const [key, text] of entries) {
    if (typeof text !== 'string') throw badRequest(`"metadata.${key}" must be a text.`)
    if (key.length > MAX_METADATA_KEY || text.length > MAX_METADATA_VALUE) throw badRequest(`"metadata.${key}" is too long.`)
  }
  return value as Record<string, string>
}

/**
 * @param request - request for a job
 * @param file - input file of the request
 * @throws AnvilarchError with code `bad_request` when items of the file use another path than the request
 */
export function checkFileFits (request: BatchRequest, file: FileRow): void {
  const others = file.urls.filter(url => url !== request.endpoint)
  if (others.length === 0) return
  throw badRequest(`"endpoint" is "${request.endpoint}", but items of file "${file.id}" have the url "${others[0]}".`)
}

/**
 * Computes the hash that identifies a resend of the same job. It covers the content of the file and not its id, so that two
 * uploads of the same content are equal.
 *
 * @param request - request for a job
 * @param file - input file of the request
 * @returns the hash in hex
 */
export function contentHash (request: BatchRequest, file: FileRow): string {
  const metadata = Object.entries(request.metadata ?? {}).sort(([left], [right]) => left < right ? -1 : 1)
  const text = JSON.stringify([file.sha256, file.sizeBytes, request.endpoint, request.windowMs, metadata])
  return createHash('sha256').update(text).digest('hex')
}

/**
 * @param header - `Idempotency-Key` header, if present
 * @returns the key, or undefined
 * @throws AnvilarchError with code `bad_request` when the key is invalid
 */
export function parseKey (header: string | string[] | undefined): string | undefined {
  if (header === undefined) return undefined
  if (Array.isArray(header) || header === '' || header.length > MAX_KEY_LENGTH) {
    throw badRequest(`The header "Idempotency-Key" must have 1 to ${MAX_KEY_LENGTH} characters.`)
  }
  return header
}

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function badRequest (message: string): AnvilarchError {
  return new AnvilarchError(message, { code: 'bad_request', step: STEP, ran: 'not_run' })
}
