/** Reads bodies only from responses that show where they end. */
import type { Dispatcher } from 'undici'
import { isFramed } from 'anvilarch-utils'

/**
 * Rejects a body without length or chunks. Daemons always state one of them to clients of HTTP/1.1. Without them, a daemon or proxy that is
 * killed ends the body by a close, and undici takes a reset for one while a request is being sent: part of a body would be taken for all
 * of it.
 *
 * @param response - a response whose body has not been read
 * @returns its body
 */
export async function requireFramedBody ({ statusCode, headers, body }: Dispatcher.ResponseData): Promise<Dispatcher.ResponseData['body']> {
  if (isFramed(statusCode, name => headers[name]?.toString())) return body
  await body.dump()
  throw new Error('it has neither a content length nor chunked encoding')
}
