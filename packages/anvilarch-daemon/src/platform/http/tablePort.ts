/** The table service over HTTP. */
import type { CommitResult, Row, ScanPage, TablePort } from 'anvilarch-protocol'
import type { HttpCaller } from './httpCaller'
import { JSON_HEADERS, parseJsonResponse } from './json'

/**
 * A commit whose response was lost may have taken effect. It is not retried here: its caller retries it with the same commit id to
 * determine the outcome.
 *
 * @param caller - calls the table service
 * @returns the port
 */
export function createTablePort (caller: HttpCaller): TablePort {
  const post = async <Body>(operation: string, body: unknown, signal?: AbortSignal): Promise<Body> => {
    const response = await caller.call({
      operation, method: 'POST', path: `/v1/${operation}`, headers: JSON_HEADERS, body: JSON.stringify(body), accept: [200], signal
    })
    return parseJsonResponse<Body>(response, `platform.table.${operation}`)
  }
  return {
    read: async (keys, signal) => (await post<{ rows: Array<Row | null> }>('read', { keys }, signal)).rows,
    scan: async (prefix, options, signal) => await post<ScanPage>('scan', { prefix, ...options }, signal),
    commit: async (commit, signal) => await post<CommitResult>('commit', commit, signal)
  }
}
