/** Recognizes a request that comes again. */
import { createHash } from 'node:crypto'

/** What a request is recognized by: a caller that sends it again changes its id, but not these. */
export interface RequestIdentity {
  method: string
  host: string
  path: string
  body: Buffer
}

/**
 * @param request - as the client sent it
 * @returns the same text for each attempt of the same request
 */
export function fingerprintOf (request: RequestIdentity): string {
  return createHash('sha1')
    .update(`${request.method} ${request.host} ${request.path}\n`)
    .update(request.body)
    .digest('base64url')
}
