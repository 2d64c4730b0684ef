/** Writes output to a response as it arrives, with backpressure from the caller. */
import type { ServerResponse } from 'node:http'
import { type Clock, abortResponse } from 'anvilarch-utils'
import type { Headers, WorkSink } from '../../attempts/types'
import { toCallerHeaders } from './forwardedHeaders'

/** Options of `createResponseSink`. */
export interface ResponseSinkOptions {
  clock: Clock
  /** Time after which a caller that reads nothing is disconnected, so that it does not occupy a slot of an endpoint forever. */
  stallMs: number
}

/** A sink that writes to a response. */
export interface ResponseSink extends WorkSink {
  /** @returns whether the head was sent */
  started: () => boolean
  /** @returns whether the response is a stream of events */
  isEvents: () => boolean
  /** Sends the head if it was not sent yet. */
  flushHead: () => void
}

/**
 * The head is sent with the first output, so that an earlier failure can still be reported by its status.
 *
 * @param response - the response to write to
 * @param options - clock and timeout
 * @returns a sink
 */
export function createResponseSink (response: ServerResponse, options: ResponseSinkOptions): ResponseSink {
  let head: { status: number, headers: Headers } | undefined
  let started = false

  const flushHead = (): void => {
    if (started || head === undefined) return
    started = true
    response.writeHead(head.status, toCallerHeaders(head.headers))
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

/** Resolves when the caller has continued to read or disconnected; aborts the response after `stallMs`. */
function waitForDrain (response: ServerResponse, { clock, stallMs }: ResponseSinkOptions): Promise<void> {
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
