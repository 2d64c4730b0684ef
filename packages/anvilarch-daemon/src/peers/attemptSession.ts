/**
 * Starts and resumes attempts as numbered streams of one open call, with the interface of a client that opens a call for each
 * attempt but at a lower cost; see docs/design/0003-sessions.md.
 */
import { create } from '@bufbuild/protobuf'
import {
  type AttemptFrame, type ResumeAttemptRequest, type SessionCommand, SessionCommandSchema, type SessionFrame, type SessionRequest,
  SessionRequestSchema, type StartAttemptRequest, STREAM_CREDIT_BYTES
} from 'anvilarch-protocol'
import { AnvilarchError } from 'anvilarch-utils'
import { createFrameQueue, type FrameQueue } from './frameQueue'
import { createMessageBatcher, type MessageBatcher } from './messageBatcher'
import type { AgentClient } from './types'

/** An open call that multiplexes attempts. */
export interface AttemptSession {
  /** @returns frames of the attempt; the iteration throws the error that ended the session */
  start: (request: StartAttemptRequest, signal: AbortSignal | undefined) => AsyncIterable<AttemptFrame>
  resume: (request: ResumeAttemptRequest, signal: AbortSignal | undefined) => AsyncIterable<AttemptFrame>
  /** Whether new streams may be opened; false once the call has ended. */
  isOpen: () => boolean
  /** Number of streams that have not ended. */
  size: () => number
  close: () => void
}

/** Options of `openAttemptSession`. */
export interface AttemptSessionOptions {
  client: Pick<AgentClient, 'session'>
  /** Address of the peer, for errors. */
  address: string
  /** Called when the last open stream has ended. */
  onIdle: () => void
}

/** Credit is returned in portions of this size, since each portion is a message. */
const CREDIT_PORTION_BYTES = STREAM_CREDIT_BYTES / 2

/**
 * @param options - client to open the call with, peer address and idle listener
 * @returns session whose call is opened immediately
 */
export function openAttemptSession (options: AttemptSessionOptions): AttemptSession {
  const streams = new Map<number, FrameQueue>()
  const outbox = createMessageBatcher<SessionCommand>()
  const abort = new AbortController()
  let lastStream = 0
  let ended = false

  const read = async (): Promise<void> => {
    for await (const response of options.client.session(requests(outbox), { signal: abort.signal })) {
      for (const frame of response.frames) deliver(frame)
    }
    throw new AnvilarchError('the agent ended the session', { code: 'unavailable', step: 'peers.session', peer: options.address, ran: 'unknown' })
  }

  const deliver = ({ stream, kind }: SessionFrame): void => {
    const queue = streams.get(stream)
    if (queue === undefined) return
    if (kind.case === 'frame') queue.put(kind.value)
    if (kind.case !== 'ended') return
    remove(stream)
    queue.end(kind.value === '' ? undefined : new AnvilarchError(kind.value, { code: 'internal', step: 'peers.session', peer: options.address, ran: 'unknown' }))
  }

  const remove = (stream: number): void => {
    if (streams.delete(stream) && streams.size === 0) options.onIdle()
  }

  /** Ends all streams with the error of the session; otherwise each of their readers would wait for the full timeout. */
  const onEnded = (error: unknown): void => {
    ended = true
    outbox.close()
    const open = [...streams.values()]
    streams.clear()
    for (const queue of open) queue.end(error)
  }

  const open = (kind: SessionCommand['kind'], signal: AbortSignal | undefined): AsyncIterable<AttemptFrame> => {
    const stream = ++lastStream
    let unreturnedBytes = 0
    const queue = createFrameQueue(sizeBytes => {
      unreturnedBytes += sizeBytes
      if (unreturnedBytes < CREDIT_PORTION_BYTES) return
      outbox.put(create(SessionCommandSchema, { stream, kind: { case: 'creditBytes', value: unreturnedBytes } }))
      unreturnedBytes = 0
    })
    const cancel = (): void => {
      if (!streams.has(stream)) return
      remove(stream)
      outbox.put(create(SessionCommandSchema, { stream, kind: { case: 'leave', value: {} } }))
      queue.end(undefined)
    }
    streams.set(stream, queue)
    outbox.put(create(SessionCommandSchema, { stream, kind }))
    signal?.addEventListener('abort', cancel, { once: true })
    return queue.frames(() => {
      signal?.removeEventListener('abort', cancel)
      cancel()
    })
  }

  read().catch(onEnded)
  return {
    start: (request, signal) => open({ case: 'start', value: request }, signal),
    resume: (request, signal) => open({ case: 'resume', value: request }, signal),
    isOpen: () => !ended,
    size: () => streams.size,
    close: () => {
      ended = true
      outbox.close()
    }
  }
}

async function * requests (outbox: MessageBatcher<SessionCommand>): AsyncGenerator<SessionRequest> {
  for await (const commands of outbox.batches()) yield create(SessionRequestSchema, { commands })
}
