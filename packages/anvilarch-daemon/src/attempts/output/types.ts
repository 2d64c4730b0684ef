/** Collects the response of a request over all of its attempts and forwards it according to the output mode. */
import type { Headers } from '../types'

/** Text that the caller has received, from which another endpoint continues. */
export interface Continuation {
  tokens: number
  text: string
}

/** A complete response. `body` is empty when the response was forwarded to a sink. */
export interface CollectedResponse {
  status: number
  headers: Headers
  body: Uint8Array
}

/** Receives the output of a request's attempts in turn. */
export interface OutputCollector {
  /** @returns why the attempt can't continue the response that the caller has received, or undefined */
  head: (status: number, headers: Headers) => string | undefined
  /** Resolves when more output is accepted. */
  output: (data: Uint8Array) => Promise<void> | undefined
  /** Whether another endpoint may start over, or continue what the caller has received. */
  continuable: () => boolean
  /** @returns what is missing from a response that its endpoint has ended, or undefined */
  missing: () => string | undefined
  /** Discards incomplete output of the previous attempt. @returns what the next one continues, if the caller has received anything */
  restart: () => Continuation | undefined
  /** Forwards buffered output. */
  finish: () => Promise<CollectedResponse>
}
