/**
 * Frames of one attempt for one reader. The reader takes from the attempt's buffer when the transport asks for more, so
 * that a slow reader holds back its own stream and nothing else.
 */
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { AttemptFrameSchema, EndpointLoadSchema } from 'anvilarch-protocol'
import { invariant } from 'anvilarch-utils'
import type { Clock } from 'anvilarch-utils'
import type { FramePump, PumpedReader } from './framePump'
import type { AttemptEnd, LiveAttempt } from './liveAttempt'

/** A frame before it is encoded. */
export type Frame = MessageInitShape<typeof AttemptFrameSchema>

/** What a reader needs. */
export interface AttemptReaderOptions {
  clock: Clock
  pump: FramePump
  incarnation: string
  maxFrameBytes: number
  heartbeatMs: number
  offsetBytes: number
  /** Aborted when the peer went away. */
  signal: AbortSignal
  /** @returns the load that goes out with a frame */
  load: () => MessageInitShape<typeof EndpointLoadSchema> | undefined
  /** The first frame was asked for. */
  onOpened: () => void
  /** The reader left; `delivered` when it was given the final frame. */
  onClosed: (delivered: boolean) => void
}

/** Frames carry the load at most this often; the final one unless it went out just before. */
const LOAD_INTERVAL_MS = 500
const FINAL_LOAD_INTERVAL_MS = 25

/** A reader that was quiet for this share of the heartbeat period sends one on the next tick. */
export const HEARTBEAT_SHARE = 0.5

/**
 * @param attempt - the attempt to read
 * @param options - offset, timers and the peer's signal
 * @returns frames up to the final one
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
