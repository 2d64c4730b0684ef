/** Parses the query of `/timeline`. */

/** A valid query of the timeline. */
export interface TimelineQuery {
  requestId?: string
  jobId?: string
  sinceMs?: number
  limit?: number
}

/** Maximum `limit`. */
export const MAX_LIMIT = 10_000

/**
 * @param query - `request`, `job`, `since` in milliseconds since the Unix epoch, and `limit`
 * @returns the filter, or an error that names the invalid parameter
 */
export function parseTimelineQuery (query: URLSearchParams): TimelineQuery | { error: string } {
  const since = wholeNumber(query, 'since', Number.MAX_SAFE_INTEGER)
  if (typeof since === 'string') return { error: since }
  const limit = wholeNumber(query, 'limit', MAX_LIMIT)
  if (typeof limit === 'string') return { error: limit }
  return {
    requestId: query.get('request') ?? undefined,
    jobId: query.get('job') ?? undefined,
    sinceMs: since,
    limit
  }
}

function wholeNumber (query: URLSearchParams, name: string, max: number): number | string | undefined {
  const text = query.get(name)
  if (text === null) return undefined
  const value = Number(text)
  if (text !== '' && Number.isInteger(value) && value >= 0 && value <= max) return value
  return `Query parameter "${name}" is "${text}"; expected a whole number from 0 to ${max}.`
}
