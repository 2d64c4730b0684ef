/**
 * Serves many attempts over one open stream. A stream of its own for each attempt cost an agent 4.5 ms of processor time
 * a lookup; see docs/design/0003-sessions.md.
 */
import { create } from '@bufbuild/protobuf'
import {
  AttemptFrameSchema, type SessionCommand, type SessionFrame, SessionFrameSchema, type SessionRequest, type SessionResponse,
  SessionResponseSchema, STREAM_CREDIT_BYTES
} from 'anvilarch-protocol'
import { createTurnBatch, type TurnBatch } from '../peers/turnBatch'
import type { Frame } from './attemptReader'
import type { AttemptRegistry } from './attemptRegistry'

/** What a session needs of the agent. */
export interface AttemptSessionsDeps {
  registry: Pick<AttemptRegistry, 'start' | 'resume'>
  /** Aborted when the agent stops; open sessions would otherwise hold up the end of its server. */
  stopped: AbortSignal
}

/** One attempt that is read within a session. */
interface SessionStream {
  abort: AbortController
  /** Output bytes that may still be sent. */
  creditBytes: number
  /** Ends the wait for credit. */
  onCredit: (() => void) | undefined
}

/**
 * @param deps - the attempts, and the agent's end
 * @param requests - what the gateway sends
 * @param signal - aborted when the connection is gone
 * @returns what goes to the gateway
 */
export async function * serveSession (
  deps: AttemptSessionsDeps, requests: AsyncIterable<SessionRequest>, signal: AbortSignal
): AsyncGenerator<SessionResponse> {
  const streams = new Map<number, SessionStream>()
  const outbox = createTurnBatch<SessionFrame>()
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
  deps: AttemptSessionsDeps, requests: AsyncIterable<SessionRequest>, streams: Map<number, SessionStream>, outbox: TurnBatch<SessionFrame>
): Promise<void> {
  for await (const request of requests) {
    for (const command of request.commands) executeCommand(deps, command, streams, outbox)
  }
}

function executeCommand (deps: AttemptSessionsDeps, command: SessionCommand, streams: Map<number, SessionStream>, outbox: TurnBatch<SessionFrame>): void {
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
  streams: Map<number, SessionStream>, outbox: TurnBatch<SessionFrame>, number: number, call: (signal: AbortSignal) => AsyncGenerator<Frame>
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

/** A caller that does not read holds back its own stream: without credit its frames stay in the attempt's buffer. */
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

/** One reason for all, because making an error object for each abort is costly. */
const STREAM_CLOSED = new Error('the gateway left the stream')
