/** Reads the complete body of a client request. */
import type { IncomingMessage } from 'node:http'
import { type BodyLimits, type Clock, type CollectedBody, collectBody } from 'anvilarch-utils'

/** Result of reading a body. `too_slow`: it was not whole in time. */
export type BodyReadResult = CollectedBody | { outcome: 'too_slow' }

/** Limits of a body. */
export interface BodyReadLimits {
  maxBytes: number
  /** Time limit for the complete body. Without it, a client that stops sending would occupy its connection indefinitely. */
  timeoutMs: number
}

/** A body that is being read or used. */
export interface BodyRead {
  result: Promise<BodyReadResult>
  /** Counts further bytes that the use of the body needs. @returns whether there is room for them */
  tryAdd: (bytes: number) => boolean
  /** Ends the use of the body. */
  release: () => void
}

/**
 * @param request - the client's request
 * @param limits - size and time
 * @param shared - limits that all bodies share
 * @param clock - local clock
 * @returns the body, which counts until it is released
 */
export function readBody (request: IncomingMessage, limits: BodyReadLimits, shared: BodyLimits, clock: Clock): BodyRead {
  const { result, upload, stop } = collectBody(request, limits.maxBytes, shared)
  const tooSlow = new Promise<BodyReadResult>(resolve => {
    const timer = clock.after(limits.timeoutMs, () => {
      stop()
      upload.release()
      resolve({ outcome: 'too_slow' })
    })
    result.finally(() => timer.cancel()).catch(() => {})
  })
  return { result: Promise.race([result, tooSlow]), tryAdd: upload.tryAdd, release: upload.release }
}
