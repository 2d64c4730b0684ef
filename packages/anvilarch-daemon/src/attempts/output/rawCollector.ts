/** Passes an answer on as it is. A short one is held until it is whole, so that another endpoint may start again. */
import type { Headers, WorkSink } from '../types'
import type { OutputCollector } from './types'

/** Answers up to this size are held until they are whole. */
export const HELD_BYTES = 64 * 1024

/**
 * @param sink - takes the answer
 * @returns an empty collector
 */
export function createRawCollector (sink: WorkSink): OutputCollector {
  let status = 0
  let headers: Headers = {}
  let held: Uint8Array[] = []
  let heldBytes = 0
  let released = false

  const release = async (): Promise<void> => {
    if (!released) sink.onHead(status, headers)
    released = true
    const data = Buffer.concat(held)
    held = []
    heldBytes = 0
    if (data.length > 0) await sink.onOutput(data)
  }

  return {
    head: (newStatus, newHeaders) => {
      status = newStatus
      headers = newHeaders
      return undefined
    },
    output: data => {
      held.push(data)
      heldBytes += data.length
      return released || heldBytes > HELD_BYTES ? release() : undefined
    },
    continuable: () => !released,
    missing: () => undefined,
    restart: () => {
      held = []
      heldBytes = 0
      return undefined
    },
    finish: async () => {
      await release()
      return { status, headers, body: new Uint8Array(0) }
    }
  }
}
