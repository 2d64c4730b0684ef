/** Reads the whole body of a client's request. */
import type { IncomingMessage } from 'node:http'

/** How the reading ended. */
export type BodyRead =
  | { outcome: 'read', body: Buffer }
  | { outcome: 'too_large' }
  | { outcome: 'broken_off' }

/**
 * @param request - the client's request
 * @param maxBytes - limit of the configuration
 * @returns the body, or why there is none
 */
export function readBody (request: IncomingMessage, maxBytes: number): Promise<BodyRead> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > maxBytes) {
        request.pause()
        resolve({ outcome: 'too_large' })
        return
      }
      chunks.push(chunk)
    })
    request.on('end', () => resolve({ outcome: 'read', body: Buffer.concat(chunks) }))
    request.on('error', () => resolve({ outcome: 'broken_off' }))
    request.on('close', () => resolve({ outcome: 'broken_off' }))
  })
}
