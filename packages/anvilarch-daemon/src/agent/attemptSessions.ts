/**
 * Multiplexes many attempts over one open stream. A separate HTTP/2 stream for each attempt costs an agent 4.5 ms of CPU
 * time per lookup; see docs/design/0003-sessions.md.
 */
import { create } from '@bufbuild/protobuf'
import {
  AttemptFrameSchema, type SessionCommand, type SessionFrame, SessionFrameSchema, type SessionRequest, type SessionResponse,
  SessionResponseSchema, STREAM_CREDIT_BYTES
} from 'anvilarch-protocol'
import { createMessageBatcher, type MessageBatcher } from '../peers/messageBatcher'
import type { Frame } from './attemptReader'
import type { AttemptRegistry } from './attemptRegistry'

/** Dependencies of a session. */
export interface AttemptSessionsDeps {
  registry: Pick<AttemptRegistry, 'start' | 'resume'>
  /** Aborted when the agent shuts down; open sessions would otherwise delay the shutdown of its server. */
  stopped: AbortSignal
}

/** One attempt that is streamed within a session. */
interface SessionStream {
  abort: AbortController
  /** Output bytes that may be sent before the gateway grants more credit. */
  creditBytes: number
  /** Resolves the wait for credit; undefined when nothing waits. */
  onCredit: (() => void) | undefined
}

/**
 * @param deps - the attempts, and the agent's shutdown signal
 * @param requests - commands of the gateway
 * @param signal - aborted when the connection closes
 * @returns responses to the gateway, each a batch of frames
 */
export async function * serveSession (
  deps: AttemptSessionsDeps, requests: AsyncIterable<SessionRequest>, signal: AbortSignal
): AsyncGenerator<SessionResponse> {
  const streams = new Map<number, SessionStream>()
  const outbox = createMessageBatcher<SessionFrame>()
  const end = (): void => { outbox.close() }
  signal.addEventListener('abort', end, { once: true })
  deps.stopped.addEventListener('abort', end, { once: true })
  readRequests(deps, requests, streams, outbox).then(end, end)
  try {
    for await (const frames of outbox.batches()) yield create(SessionResponseSchema, { frames })
  } finally {
    signal.removeEventListener('abort', end)
    deps.stopped.removeEventListener('abort', end)
    for (const stream of streams.values()) closeStream(stream)
  }
}

async function readRequests (
  deps: AttemptSessionsDeps, requests: AsyncIterable<SessionRequest>, streams: Map<number, SessionStream>, outbox: MessageBatcher<SessionFrame>
): Promise<void> {
  for await (const request of requests) {
    for (const command of request.commands) executeCommand(deps, command, streams, outbox)
  }
}

function executeCommand (deps: AttemptSessionsDeps, command: SessionCommand, streams: Map<number, SessionStream>, outbox: MessageBatcher<SessionFrame>): void {
  const { kind, stream: number } = command
  if (kind.case === 'start') openStream(streams, outbox, number, signal => deps.registry.start(kind.value, signal))
  if (kind.case === 'resume') openStream(streams, outbox, number, signal => deps.registry.resume(kind.value, signal))
  const stream = streams.get(number)
  if (stream === undefined) return
  if (kind.case === 'leave') closeStream(stream)
  if (kind.case === 'creditBytes') {
    stream.creditBytes += kind.value
    stream.onCredit?.()
  }
}

function openStream (
  streams: Map<number, SessionStream>, outbox: MessageBatcher<SessionFrame>, number: number, call: (signal: AbortSignal) => AsyncGenerator<Frame>
): void {
  const stream: SessionStream = { abort: new AbortController(), creditBytes: STREAM_CREDIT_BYTES, onCredit: undefined }
  streams.set(number, stream)
  const finish = (problem: string): void => {
    streams.delete(number)
    outbox.put(create(SessionFrameSchema, { stream: number, kind: { case: 'ended', value: problem } }))
  }
  forwardFrames(stream, call(stream.abort.signal), frame => {
    outbox.put(create(SessionFrameSchema, { stream: number, kind: { case: 'frame', value: create(AttemptFrameSchema, frame) } }))
  }).then(() => { finish('') }, error => { finish(error instanceof Error ? error.message : String(error)) })
}

/**
 * Forwards frames while there is credit. Without credit, output stays in the attempt's buffer, so that a caller that does
 * not read delays its own stream only.
 */
async function forwardFrames (stream: SessionStream, frames: AsyncGenerator<Frame>, put: (frame: Frame) => void): Promise<void> {
  for await (const frame of frames) {
    put(frame)
    if (frame.kind?.case === 'output') stream.creditBytes -= frame.kind.value.data?.length ?? 0
    while (stream.creditBytes <= 0 && !stream.abort.signal.aborted) {
      await new Promise<void>(resolve => { stream.onCredit = resolve })
      stream.onCredit = undefined
    }
  }
}

function closeStream (stream: SessionStream): void {
  stream.abort.abort(STREAM_CLOSED)
  stream.onCredit?.()
}

/** Shared abort reason: creating an error object for each abort is expensive. */
const STREAM_CLOSED = new Error('the gateway left the stream')
