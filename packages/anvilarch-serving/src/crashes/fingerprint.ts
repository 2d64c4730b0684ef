/** Recognizes a request that is sent again. */
import { createHash } from 'node:crypto'

/** Properties by which a request is recognized. A caller that sends it again may change its id, but not these. */
export interface RequestIdentity {
  method: string
  host: string
  path: string
  body: Buffer
  /** Prompt parts that other requests share, outermost first. */
  sharedParts: readonly string[]
}

/**
 * @param request - the request as the client sent it
 * @returns a hash that is the same each time a client sends the request
 */
export function fingerprintOf (request: RequestIdentity): string {
  return createHash('sha1')
    .update(`${request.method} ${request.host} ${request.path}\n`)
    .update(request.body)
    .digest('base64url')
}

/** Longest part id that is used as it is; the store limits the length of keys, and clients may send any text. */
const MAX_PLAIN_PART_LENGTH = 64

/** @returns key of the record about a prompt part; no fingerprint of a request has this form */
export function partKeyOf (part: string): string {
  const isPlain = part.length <= MAX_PLAIN_PART_LENGTH && /^[\w.-]*$/.test(part)
  return `part:${isPlain ? part : createHash('sha1').update(part).digest('base64url')}`
}
