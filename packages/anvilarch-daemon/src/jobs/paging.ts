/** Pagination of lists with the query parameters of the OpenAI API. */
import type { Row, TablePort } from 'anvilarch-protocol'
import { AnvilarchError } from 'anvilarch-utils'

const DEFAULT_LIMIT = 20
const MAX_LIMIT = 100

/** A requested page. */
export interface PageRequest {
  limit: number
  /** Id after which the page starts. */
  after: string | undefined
}

/** Rows of a page, newest first. */
export interface RowPage {
  rows: Row[]
  hasMore: boolean
}

/**
 * @param query - query parameters of the request
 * @returns the requested page
 * @throws AnvilarchError with code `bad_request` when a parameter is invalid
 */
export function parsePage (query: URLSearchParams): PageRequest {
  const text = query.get('limit')
  const limit = text === null ? DEFAULT_LIMIT : Number(text)
  if (!Number.isInteger(limit) || limit < 1) throw badRequest(`"limit" must be a whole number from 1 to ${MAX_LIMIT}, found "${text}".`)
  const order = query.get('order')
  if (order !== null && order !== 'desc') throw badRequest(`"order" must be "desc", found "${order}".`)
  return { limit: Math.min(limit, MAX_LIMIT), after: query.get('after') ?? undefined }
}

/**
 * @param table - table to read
 * @param prefix - prefix of the index rows, whose keys end in an id
 * @param page - page to read
 * @param rowKey - returns the key of the row with an id
 * @returns the rows of the ids on the page, without ids whose row was deleted
 */
export async function readIndexPage (
  table: TablePort, prefix: string, page: PageRequest, rowKey: (id: string) => string
): Promise<RowPage> {
  const after = page.after === undefined ? undefined : prefix + page.after
  const index = await table.scan(prefix, { after, limit: page.limit })
  if (index.rows.length === 0) return { rows: [], hasMore: false }
  const rows = await table.read(index.rows.map(row => rowKey(row.key.slice(prefix.length))))
  return { rows: rows.filter(row => row !== null), hasMore: index.next !== undefined }
}

function badRequest (message: string): AnvilarchError {
  return new AnvilarchError(message, { code: 'bad_request', step: 'jobs.list', ran: 'not_run' })
}
