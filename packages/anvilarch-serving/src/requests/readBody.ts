/** Reads the complete body of a client request. */
import type { IncomingMessage } from 'node:http'
import type { Clock } from 'anvilarch-utils'

/** Result of reading a body. `broken_off`: the connection closed before the end of the body. */
export type BodyReadResult =
  | { outcome: 'read', body: Buffer }
  | { outcome: 'too_large' }
  | { outcome: 'too_slow' }
  | { outcome: 'broken_off' }

/** Limits of a body. */
export interface BodyLimits {
  maxBytes: number
  /** Time limit for the complete body. Without it, a client that stops sending would occupy its connection indefinitely. */
  timeoutMs: number
}

/**
 * @param request - the client's request
 * @param limits - size and time
 * @param clock - local clock
 * @returns the body, or why it could not be read
 */
export function readBody (request: IncomingMessage, limits: BodyLimits, clock: Clock): Promise<BodyReadResult> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    const timer = clock.after(limits.timeoutMs, () => stop({ outcome: 'too_slow' }))
    const end = (read: BodyReadResult): void => {
      timer.cancel()
      resolve(read)
    }
    const onData = (chunk: Buffer): void => {
      bytes += chunk.length
      if (bytes > limits.maxBytes) stop({ outcome: 'too_large' })
      else chunks.push(chunk)
    }
    const stop = (read: BodyReadResult): void => {
      request.off('data', onData)
      request.pause()
      end(read)
    }
    request.on('data', onData)
    request.on('end', () => end({ outcome: 'read', body: Buffer.concat(chunks) }))
    request.on('error', () => end({ outcome: 'broken_off' }))
    request.on('close', () => end({ outcome: 'broken_off' }))
  })
}
