/** Derives what the clients of a process may occupy from what the process itself may use. Free of I/O. */

const MEBIBYTE = 1024 * 1024

/** What a process may use. */
export interface ProcessResources {
  /** Resident memory, and what the kernel has received for the process. */
  memoryBytes: number
  /** Heap limit of the runtime, which is part of the memory. */
  heapBytes: number
  /** Open descriptors. */
  descriptors: number
}

/** What all clients of a process may occupy together. */
export interface ClientShares {
  /** Bodies of requests, from their first byte until their last use. */
  bodyBytes: number
  /** Heads of requests and what the process keeps for each of them, until the response is complete. */
  requestBytes: number
  /** Responses of endpoints that are buffered or that clients have not read. */
  responseBytes: number
  /** Open connections. */
  connections: number
}

/** Memory of a process that serves no clients, with its heap at work. */
const OWN_MEMORY_BYTES = 80 * MEBIBYTE

/** Buffers that are no longer used, until the runtime collects them. */
const UNCOLLECTED_BYTES = 64 * MEBIBYTE

/** Share of the memory that clients may use at least, if the process itself needs most of it. */
const MIN_CLIENT_SHARE = 1 / 8

/** Shares of the memory for clients. */
const BODY_SHARE = 0.35
const RESPONSE_SHARE = 0.2
const REQUEST_SHARE = 0.15
const CONNECTION_SHARE = 0.3

/** The largest response that is buffered, and what its client may leave unread. */
const MIN_RESPONSE_BYTES = 24 * MEBIBYTE

/** Share of the heap for the heads and objects of requests, which are in the heap unlike bodies and responses. */
const REQUEST_HEAP_SHARE = 1 / 4

/** Descriptors for files, which no socket uses. */
const FILE_DESCRIPTORS = 200

/** Share of the other descriptors for connections to endpoints, daemons and the store. */
const OWN_CONNECTION_SHARE = 1 / 4

/** Memory of an open connection, in the process and in the kernel. */
const CONNECTION_BYTES = 32 * 1024

/**
 * @param resources - what the process may use
 * @returns what its clients may occupy
 */
export function clientSharesOf ({ memoryBytes, heapBytes, descriptors }: ProcessResources): ClientShares {
  const clientBytes = Math.max(memoryBytes - OWN_MEMORY_BYTES - UNCOLLECTED_BYTES, memoryBytes * MIN_CLIENT_SHARE)
  const socketDescriptors = Math.max(descriptors - FILE_DESCRIPTORS, descriptors / 2)
  return {
    bodyBytes: Math.floor(clientBytes * BODY_SHARE),
    requestBytes: Math.floor(Math.min(heapBytes * REQUEST_HEAP_SHARE, clientBytes * REQUEST_SHARE)),
    responseBytes: Math.max(Math.floor(clientBytes * RESPONSE_SHARE), MIN_RESPONSE_BYTES),
    connections: Math.floor(Math.min(socketDescriptors * (1 - OWN_CONNECTION_SHARE), clientBytes * CONNECTION_SHARE / CONNECTION_BYTES))
  }
}
