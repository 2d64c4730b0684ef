/** Collects the answer of a request over all of its attempts, and passes it on as its output mode asks. */
import type { Headers } from '../types'

/** Text that the caller has already, for another endpoint to go on from. */
export interface Continuation {
  tokens: number
  text: string
}

/** The answer as a whole. `body` is empty when it went to a sink. */
export interface CollectedAnswer {
  status: number
  headers: Headers
  body: Uint8Array
}

/** Takes the answer of one attempt after the other. */
export interface OutputCollector {
  /** @returns why the attempt can't go on from what the caller has, or undefined */
  head: (status: number, headers: Headers) => string | undefined
  /** Resolves when more may come. */
  output: (data: Uint8Array) => Promise<void> | undefined
  /** Whether another endpoint may start again, or go on from what the caller has. */
  continuable: () => boolean
  /** @returns what the answer lacks to be whole where its endpoint has ended it, or undefined */
  missing: () => string | undefined
  /** Drops what the former attempt left unfinished. @returns what the next one goes on from, if the caller has anything */
  restart: () => Continuation | undefined
  /** Passes on what was held back. */
  finish: () => Promise<CollectedAnswer>
}
