/** Parses lines of input files and formats lines of result files, in the JSON Lines format of the OpenAI batch API. */
import type { ResultKind } from './rows'

/** Paths that an item may request. */
export const ITEM_URLS: readonly string[] = ['/v1/chat/completions', '/v1/completions']

/** Longest `custom_id`. */
const MAX_CUSTOM_ID_LENGTH = 512

/** One request of a job. */
export interface Item {
  customId: string
  method: 'POST'
  url: string
  body: Record<string, unknown>
}

/** The item of a line, or the reason why the line is invalid. */
export type ParsedLine = { ok: true, item: Item } | { ok: false, problem: string }

/** Response of an endpoint to an item. */
export interface ItemResponse {
  statusCode: number
  requestId: string
  body: unknown
}

/** Reason why an item has failed. */
export interface ItemError {
  code: string
  message: string
}

/**
 * @param line - bytes of a line
 * @returns whether the line is empty or white space only, and so not an item
 */
export function isBlankLine (line: Uint8Array): boolean {
  for (const byte of line) {
    if (byte !== 0x20 && byte !== 0x0a && byte !== 0x0d && byte !== 0x09) return false
  }
  return true
}

/**
 * @param line - bytes of a line
 * @returns the item, or the reason why the line is invalid
 */
export function parseItemLine (line: Buffer): ParsedLine {
  let value: unknown
  try {
    value = JSON.parse(line.toString('utf8'))
  } catch (error) {
    return problem(`it is not JSON (${error instanceof Error ? error.message : String(error)})`)
  }
  if (!isObject(value)) return problem('it is not a JSON object')
  const { custom_id: customId, method, url, body } = value
  if (typeof customId !== 'string' || customId === '') return problem('"custom_id" must be a text that is not empty')
  if (customId.length > MAX_CUSTOM_ID_LENGTH) return problem(`"custom_id" has more than ${MAX_CUSTOM_ID_LENGTH} characters`)
  if (method !== 'POST') return problem(`"method" must be "POST", found ${JSON.stringify(method)}`)
  if (typeof url !== 'string' || !ITEM_URLS.includes(url)) {
    return problem(`"url" must be one of ${ITEM_URLS.map(known => `"${known}"`).join(', ')}, found ${JSON.stringify(url)}`)
  }
  if (!isObject(body)) return problem('"body" must be an object')
  if (typeof body.model !== 'string' || body.model === '') return problem('"body.model" must name a model')
  return { ok: true, item: { customId, method, url, body } }
}

/**
 * @param id - id of the result, unique in the job
 * @param customId - `custom_id` of the item
 * @param response - response of the endpoint, if there was one
 * @param error - reason of the failure, if the item failed
 * @returns a line of a result file
 */
export function resultLine (id: string, customId: string, response: ItemResponse | null, error: ItemError | null): Buffer {
  const shown = response === null
    ? null
    : { status_code: response.statusCode, request_id: response.requestId, body: response.body }
  return Buffer.from(JSON.stringify({ id, custom_id: customId, response: shown, error }) + '\n')
}

/** Result of a finished item, formatted as a line. */
export interface ItemResult {
  kind: ResultKind
  line: Buffer
}

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function problem (text: string): ParsedLine {
  return { ok: false, problem: text }
}
