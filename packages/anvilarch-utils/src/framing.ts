/** Detection of HTTP responses whose end cannot be distinguished from a lost connection. */

/** Statuses of responses without a body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304])

/**
 * A response without a length whose last transfer coding is not `chunked` ends with its connection, so a truncated one looks
 * complete. Responses to HEAD requests have no body; callers of this function handle them.
 *
 * @param status - status of the response
 * @param header - looks up a header of the response by its lower-case name
 * @returns whether the end of the response can be distinguished from a lost connection
 */
export function isFramed (status: number, header: (name: string) => string | undefined): boolean {
  if (STATUSES_WITHOUT_BODY.has(status)) return true
  const codings = header('transfer-encoding')
  if (codings === undefined) return header('content-length') !== undefined
  return codings.split(',').at(-1)?.trim().toLowerCase() === 'chunked'
}

/** How the end of a response shows: by a length or chunks, or by the end of its connection. */
export type ResponseFraming =
  | 'framed'
  /** The response is complete if its connection was closed in order. */
  | 'until_close'
  /** Its connection ends the response as well, but the body cannot be decoded. */
  | 'unknown_coding'

/**
 * @param status - status of the response
 * @param header - looks up a header of the response by its lower-case name
 * @returns how the end of the response shows; like `isFramed`, not for responses to HEAD requests
 */
export function framingOf (status: number, header: (name: string) => string | undefined): ResponseFraming {
  if (isFramed(status, header)) return 'framed'
  return header('transfer-encoding') === undefined ? 'until_close' : 'unknown_coding'
}
