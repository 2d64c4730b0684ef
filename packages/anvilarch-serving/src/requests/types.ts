/** What an adapter does for requests: it reads and writes the headers of its wire. */
import type { IncomingHttpHeaders } from 'node:http'
import type { ForwardedCaller, Credential } from '../accounts/types'
import type { RequestMetadata } from '../model/types'

/** What one send to an endpoint carries beside the client's own headers. */
export interface SendOptions {
  /** Time that the endpoint has, from the sending. */
  deadlineMs: number
  /** Incarnation that must answer; another one refuses. */
  expectedEndpointId: string
  /** The endpoint goes on after this event. */
  lastEventId: number | undefined
  caller: ForwardedCaller
}

/** What an endpoint's answer says beside its status and body. */
export interface ResponseMetadata {
  /** The request that the answer belongs to, as far as it says so. */
  requestId: string | undefined
  /** Whether the answer bears an endpoint's signature. */
  signed: boolean
  /** The endpoint states that it has not run the request. */
  notRun: boolean
}

/** Headers of requests and answers on the adapter's wire. */
export interface RequestWire {
  decodeRequest: (headers: IncomingHttpHeaders) => RequestMetadata
  /** @returns what the client shows of itself */
  decodeCredential: (rawHeaders: readonly string[]) => Credential
  /** Name of the scheme of keys, for the answer to a request without a good one. */
  credentialScheme: string
  encodeSend: (rawHeaders: readonly string[], terms: SendOptions) => string[]
  decodeResponse: (headers: ReadonlyMap<string, string>) => ResponseMetadata
}
