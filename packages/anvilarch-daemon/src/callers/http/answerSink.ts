/** Writes an answer to a caller as it comes, at the pace at which the caller reads. */
import type { ServerResponse } from 'node:http'
import { type Clock, abortResponse } from 'anvilarch-utils'
import type { Headers, WorkSink } from '../../attempts/types'
import { toCaller } from './forwardedHeaders'

/** Options of `createAnswerSink`. */
export interface AnswerSinkOptions {
  clock: Clock
  /** A caller that takes nothing for this long is dropped, so that it does not hold a slot of an endpoint for ever. */
  stallMs: number
}

/** A sink that knows whether anything was sent. */
export interface AnswerSink extends WorkSink {
  started: () => boolean
  /** Whether what was sent is a stream of events. */
  isEvents: () => boolean
  /** Sends the header if no output did. */
  flushHead: () => void
}

/**
 * The header goes out with the first output, so that a failure before it is still told by its status.
 *
 * @param response - to answer with
 * @param options - clock and bound
 * @returns a sink
 */
export function createAnswerSink (response: ServerResponse, options: AnswerSinkOptions): AnswerSink {
  let head: { status: number, headers: Headers } | undefined
  let started = false

  const flushHead = (): void => {
    if (started || head === undefined) return
    started = true
    response.writeHead(head.status, toCaller(head.headers))
  }

  return {
    onHead: (status, headers) => { head = { status, headers } },
    onOutput: data => {
      if (response.destroyed) return undefined
      flushHead()
      return response.write(data) ? undefined : waitForDrain(response, options)
    },
    started: () => started,
    isEvents: () => head?.headers['content-type']?.startsWith('text/event-stream') === true,
    flushHead
  }
}

/** Resolves when the caller has read on, or is gone; drops it after the bound. */
function waitForDrain (response: ServerResponse, { clock, stallMs }: AnswerSinkOptions): Promise<void> {
  return new Promise(resolve => {
    const finish = (): void => {
      timer.cancel()
      response.off('drain', finish)
      response.off('close', finish)
      resolve()
    }
    const timer = clock.after(stallMs, () => {
      abortResponse(response)
      finish()
    })
    response.once('drain', finish)
    response.once('close', finish)
  })
}
