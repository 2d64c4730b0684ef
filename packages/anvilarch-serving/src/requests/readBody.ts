/** Reads the whole body of a client's request. */
import type { IncomingMessage } from 'node:http'
import type { Clock } from 'anvilarch-utils'

/** How the reading ended. */
export type BodyReadResult =
  | { outcome: 'read', body: Buffer }
  | { outcome: 'too_large' }
  | { outcome: 'too_slow' }
  | { outcome: 'broken_off' }

/** Bounds of a body. */
export interface BodyLimits {
  maxBytes: number
  /** The whole body is to be here in this time; a client that sends no more would keep its connection for ever. */
  timeoutMs: number
}

/**
 * @param request - the client's request
 * @param bounds - size and time
 * @param clock - local clock
 * @returns the body, or why there is none
 */
export function readBody (request: IncomingMessage, bounds: BodyLimits, clock: Clock): Promise<BodyReadResult> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    const patience = clock.after(bounds.timeoutMs, () => stop({ outcome: 'too_slow' }))
    const end = (read: BodyReadResult): void => {
      patience.cancel()
      resolve(read)
    }
    const stop = (read: BodyReadResult): void => {
      request.pause()
      end(read)
    }
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > bounds.maxBytes) stop({ outcome: 'too_large' })
      else chunks.push(chunk)
    })
    request.on('end', () => end({ outcome: 'read', body: Buffer.concat(chunks) }))
    request.on('error', () => end({ outcome: 'broken_off' }))
    request.on('close', () => end({ outcome: 'broken_off' }))
  })
}
