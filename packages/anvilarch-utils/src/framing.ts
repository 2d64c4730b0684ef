/** Whether the end of an HTTP answer can be told from a break of its connection. */

/** Statuses whose answers have no body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304])

/**
 * An answer without a length whose last coding is not `chunked` ends with its connection, so that one which was broken off looks whole.
 * The answer to a HEAD has no body; the caller of this function has to know that.
 *
 * @param status - of the answer
 * @param header - looks up a header of the answer by its name in lower case
 * @returns whether the end of the answer can be told from a break
 */
export function isFramed (status: number, header: (name: string) => string | undefined): boolean {
  if (STATUSES_WITHOUT_BODY.has(status)) return true
  const codings = header('transfer-encoding')
  if (codings === undefined) return header('content-length') !== undefined
  return codings.split(',').at(-1)?.trim().toLowerCase() === 'chunked'
}
