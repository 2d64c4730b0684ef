/** Types for adapters, which read and write the headers of requests and responses. */
import type { IncomingHttpHeaders } from 'node:http'
import type { ForwardedCaller, Credential } from '../accounts/types'
import type { RequestMetadata } from '../model/types'

/** Data that a send to an endpoint carries in addition to the client's own headers. */
export interface SendOptions {
  /** Time limit of the endpoint, from the send. */
  deadlineMs: number
  /** Id of the endpoint that is expected at the address; another one refuses the request. */
  expectedEndpointId: string
  /** Id of the event after which the endpoint resumes the stream. */
  lastEventId: number | undefined
  caller: ForwardedCaller
}

/** Metadata in the headers of an endpoint's response. */
export interface ResponseMetadata {
  /** Id of the request that the response belongs to; undefined if the response does not state it. */
  requestId: string | undefined
  /** Whether the response carries the signature of an endpoint. */
  signed: boolean
  /** Whether the endpoint states that it has not run the request. */
  notRun: boolean
}

/** Encodes and decodes the headers of requests and responses in the adapter's wire format. */
export interface RequestWire {
  decodeRequest: (headers: IncomingHttpHeaders) => RequestMetadata
  /** @returns the credential of the client */
  decodeCredential: (rawHeaders: readonly string[]) => Credential
  /** Authentication scheme of keys, for the response to a request without a valid key. */
  credentialScheme: string
  encodeSend: (rawHeaders: readonly string[], terms: SendOptions) => string[]
  decodeResponse: (headers: ReadonlyMap<string, string>) => ResponseMetadata
}
