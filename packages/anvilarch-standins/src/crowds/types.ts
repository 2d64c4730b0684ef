/** Types of crowds of clients that do not keep to the protocol or never finish what they send. */

/** What each client of a crowd sends. Bodies stop one byte, or one last chunk, short of their end unless the form says otherwise. */
export type CrowdForm =
  /** Bodies with a stated length, written at once. */
  | 'stated_bodies'
  /** Bodies with a stated length, written in pieces. */
  | 'gradual_bodies'
  /** Bodies in large chunks. */
  | 'chunked_bodies'
  /** Bodies in chunks of one byte. */
  | 'tiny_chunks'
  /** Chunks whose extensions do not end. */
  | 'chunk_extensions'
  /** Bodies whose trailers do not end. */
  | 'trailers'
  /** Heads of a certain size without their end. */
  | 'unfinished_heads'
  /** Heads that go on for as long as the connection is open. */
  | 'endless_heads'
  /** Empty lines without end on a new connection. */
  | 'empty_lines'
  /** Empty lines without end on a connection whose first request has been answered. */
  | 'empty_lines_after_response'
  /** Many requests at once, whose responses are not read. */
  | 'pipelines'
  /** One request whose response is not read. */
  | 'unread_responses'
  /** Connections on which nothing is sent. */
  | 'silent_connections'
  /** Connections on which the bytes of a head arrive one by one. */
  | 'slow_heads'

/** Gateway under test, and the requests that it takes. */
export interface CrowdTarget {
  ip: string
  port: number
  /** Lines of the head of a request with a body, without the length and the final empty line. */
  postHead: string
  /** Request without a body. */
  getRequest: string
}

/** Options of `openCrowd`. */
export interface CrowdOptions {
  form: CrowdForm
  clients: number
  /** Bytes of the body or head of each client, if its form has an end. */
  bytesPerClient?: number
  /** Requests of each client that sends several. */
  requestsPerClient?: number
  target: CrowdTarget
}

/** Open crowd. */
export interface Crowd {
  /** @returns clients that have sent all that they mean to send, or whose connection the gateway has closed */
  settledCount: () => number
  /** @returns clients whose connection is open */
  openCount: () => number
  /** @returns the status of the first response to each client that has received one */
  statuses: () => number[]
  /** Closes all connections. */
  close: () => void
}
