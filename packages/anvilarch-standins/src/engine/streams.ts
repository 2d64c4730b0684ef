/** The streams of an engine. The state of a stream is independent of the connections that read it, so that it can be read again. */
import type { ServerResponse } from 'node:http'
import type { CompletionSource, EventWriter } from './sseEvents'

/** State of one stream. */
export type StreamState = 'running' | 'completed' | 'cancelled'

/** A connection that reads a stream. */
interface StreamReader {
  response: ServerResponse
  /** Index of the next token to write. */
  nextToken: number
}

/** One completion request of the engine. */
export interface EngineStream {
  attemptId: string
  requestId: string
  executionId: string
  source: CompletionSource
  writer: EventWriter
  producedTokens: number
  state: StreamState
  /** False until the ledger has recorded the execution, and again after the stream has ended. */
  submitted: boolean
  /** Whether the request crashes the engine at its first token. */
  crashesEngine: boolean
  endedMs: number
  readers: Set<StreamReader>
  /** Called when the stream ends, for responses that are not streamed. */
  onEnd: Array<() => void>
}

/** The streams of one engine by attempt id. */
export interface StreamRegistry {
  get: (attemptId: string) => EngineStream | undefined
  add: (stream: EngineStream) => void
  /** Removes ended streams whose retention period has elapsed. */
  removeExpired: (nowMs: number) => void
  size: () => number
}

/**
 * @param retentionMs - retention period of an ended stream
 * @returns an empty registry
 */
export function createStreamRegistry (retentionMs: number): StreamRegistry {
  const streams = new Map<string, EngineStream>()
  return {
    get: attemptId => streams.get(attemptId),
    add: stream => { streams.set(stream.attemptId, stream) },
    removeExpired: nowMs => {
      for (const stream of streams.values()) {
        if (stream.state !== 'running' && nowMs - stream.endedMs > retentionMs) streams.delete(stream.attemptId)
      }
    },
    size: () => streams.size
  }
}

/**
 * Attaches a connection to a stream. The tokens produced so far are sent to it, then each new token.
 *
 * @param stream - the stream to read
 * @param response - the response of the connection, with its headers already written
 * @param offsetTokens - index of the first token to send
 */
export function attachReader (stream: EngineStream, response: ServerResponse, offsetTokens: number): void {
  const reader = { response, nextToken: offsetTokens }
  stream.readers.add(reader)
  response.on('close', () => { stream.readers.delete(reader) })
  response.on('drain', () => { flushReader(stream, reader) })
  flushReader(stream, reader)
}

/** Sends new tokens to all readers, and the final events when the stream has ended. */
export function flushReaders (stream: EngineStream): void {
  for (const reader of stream.readers) flushReader(stream, reader)
}

/**
 * Ends a stream as completed or cancelled.
 *
 * @param stream - the stream
 * @param state - how it ended
 * @param nowMs - start of its retention period
 */
export function endStream (stream: EngineStream, state: 'completed' | 'cancelled', nowMs: number): void {
  stream.state = state
  stream.endedMs = nowMs
  stream.submitted = false
  flushReaders(stream)
  for (const onEnd of stream.onEnd.splice(0)) onEnd()
}

/** A slow reader delays only itself: it continues from its own position when its connection has drained. */
function flushReader (stream: EngineStream, reader: StreamReader): void {
  const { response } = reader
  if (response.writableNeedDrain) return
  let text = ''
  for (; reader.nextToken < stream.producedTokens; reader.nextToken++) text += stream.writer.token(reader.nextToken)
  if (stream.state === 'running') {
    if (text !== '') response.write(text)
    return
  }
  stream.readers.delete(reader)
  // A cancelled stream ends without the final events, so that it cannot be mistaken for a complete response.
  response.end(stream.state === 'completed' ? text + stream.writer.finalEvents() : text)
}
