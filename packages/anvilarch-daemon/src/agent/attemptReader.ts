/**
 * Streams the frames of one attempt to one reader. Output is read from the attempt's buffer only when the transport
 * requests more, so that a slow reader delays its own stream only.
 */
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { AttemptFrameSchema, EndpointLoadSchema } from 'anvilarch-protocol'
import { invariant } from 'anvilarch-utils'
import type { Clock } from 'anvilarch-utils'
import type { FramePump, PumpedReader } from './framePump'
import type { AttemptEnd, LiveAttempt } from './liveAttempt'

/** A frame before it is encoded. */
export type Frame = MessageInitShape<typeof AttemptFrameSchema>

/** Options of `readAttempt`. */
export interface AttemptReaderOptions {
  clock: Clock
  pump: FramePump
  incarnation: string
  maxFrameBytes: number
  heartbeatMs: number
  offsetBytes: number
  /** Aborted when the peer disconnects. */
  signal: AbortSignal
  /** @returns the endpoint load to attach to a frame */
  load: () => MessageInitShape<typeof EndpointLoadSchema> | undefined
  /** Called when the first frame is requested. */
  onOpened: () => void
  /** Called when the reader ends; `delivered` is true if it received the final frame. */
  onClosed: (delivered: boolean) => void
}

/** Minimum time between two frames that carry the load. */
const LOAD_INTERVAL_MS = 500
/** The same for the final frame, which carries the load unless it was sent just before. */
const FINAL_LOAD_INTERVAL_MS = 25

/** A reader that has sent no frame for this share of the heartbeat period sends a heartbeat on the next tick. */
export const HEARTBEAT_SHARE = 0.5

/**
 * @param attempt - the attempt to read
 * @param options - offset, intervals and the signal of the peer
 * @returns the frames up to and including the final one
 */
export async function * readAttempt (attempt: LiveAttempt, options: AttemptReaderOptions): AsyncGenerator<Frame> {
  const { clock, pump, signal } = options
  const waiter = createWaiter(signal)
  const reader: PumpedReader = { lastFrameMs: clock.nowMs(), lastOutputMs: -Infinity, wake: waiter.wake }
  const listener = { onOutput: () => { pump.scheduleWake(reader) }, onEnd: waiter.wake }
  let offset = options.offsetBytes
  let headSent = false
  let delivered = false
  let lastLoadMs = -Infinity
  const frame = (kind: Frame['kind'], loadIntervalMs = LOAD_INTERVAL_MS): Frame => {
    reader.lastFrameMs = clock.nowMs()
    if (reader.lastFrameMs - lastLoadMs < loadIntervalMs) return { kind }
    lastLoadMs = reader.lastFrameMs
    return { kind, load: options.load() }
  }
  const isIdle = (): boolean => attempt.end === undefined && attempt.output.sizeBytes() <= offset && (headSent || attempt.head === undefined) && !signal.aborted
  attempt.listeners.add(listener)
  pump.add(reader)
  options.onOpened()
  try {
    yield frame({ case: 'accepted', value: { agentIncarnation: options.incarnation } })
    while (!signal.aborted) {
      if (!headSent && attempt.head !== undefined) {
        headSent = true
        yield frame(headKind(attempt.head))
        continue
      }
      const data = attempt.output.read(offset, options.maxFrameBytes)
      if (data.length > 0) {
        reader.lastOutputMs = clock.nowMs()
        yield frame({ case: 'output', value: { offsetBytes: BigInt(offset), data } })
        offset += data.length
        continue
      }
      if (attempt.end !== undefined) {
        invariant(offset >= attempt.output.sizeBytes(), 'final_after_all_output', () => `${offset} of ${attempt.output.sizeBytes()} bytes were sent`)
        yield frame(finalKind(attempt.end, attempt.output.sizeBytes()), FINAL_LOAD_INTERVAL_MS)
        delivered = true
        return
      }
      await waiter.wait()
      if (isIdle() && clock.nowMs() - reader.lastFrameMs >= options.heartbeatMs * HEARTBEAT_SHARE) {
        yield frame({ case: 'heartbeat', value: {} }, 0)
      }
    }
  } finally {
    attempt.listeners.delete(listener)
    pump.remove(reader)
    waiter.close()
    options.onClosed(delivered)
  }
}

function headKind (head: { status: number, headers: Record<string, string> }): Frame['kind'] {
  const headers = Object.entries(head.headers).map(([name, value]) => ({ name, value }))
  return { case: 'head', value: { status: head.status, headers } }
}

function finalKind (end: AttemptEnd, totalBytes: number): Frame['kind'] {
  return { case: 'final', value: { ...end, totalBytes: BigInt(totalBytes) } }
}

interface Waiter {
  wait: () => Promise<void>
  wake: () => void
  close: () => void
}

function createWaiter (signal: AbortSignal): Waiter {
  let isWoken = false
  let resolveWait: (() => void) | undefined
  const wake = (): void => {
    isWoken = true
    resolveWait?.()
  }
  signal.addEventListener('abort', wake, { once: true })
  return {
    wake,
    wait: async () => {
      if (!isWoken) await new Promise<void>(resolve => { resolveWait = resolve })
      isWoken = false
      resolveWait = undefined
    },
    close: () => { signal.removeEventListener('abort', wake) }
  }
}
