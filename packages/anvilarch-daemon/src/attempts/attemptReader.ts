/** Reads the streams of a request's attempts, one at a time, and detects inactivity timeouts. */
import type { AttemptFrame } from 'anvilarch-protocol'
import { type Clock, createInactivityTimeout, type InactivityTimeout, type Timer } from 'anvilarch-utils'
import { wasNeverSent } from '../peers/connectErrors'
import type { RequestEvent } from './machine/types'

/** Options of `createAttemptReader`. */
export interface AttemptReaderOptions {
  clock: Clock
  /** Time without frame or heartbeat after which a stream times out. */
  inactivityTimeoutMs: number
  /** Handles a frame; resolves when the caller accepts more output. */
  onFrame: (frame: AttemptFrame, stream: number) => Promise<void> | undefined
  /** Handles the inactivity timeout or the end of a stream. */
  onEvent: (event: RequestEvent) => void
  /** Called when this process was paused while it should have read a stream. */
  onProcessPause?: (lateMs: number) => void
}

/** When a stream is opened, and the timeout of its first frame. */
export interface StreamTiming {
  delayMs: number
  /** Shorter than the timeout of later frames, since an agent reports at once whether it has an attempt. */
  firstFrameTimeoutMs: number
}

/** Owns the current stream. */
export interface AttemptReader {
  /** Closes the previous stream and reads a new one. */
  open: (stream: number, call: (signal: AbortSignal) => AsyncIterable<AttemptFrame>, timing: StreamTiming) => void
  close: () => void
}

/** The current stream. */
interface OpenStream {
  stream: number
  abort: AbortController
  /** Detects inactivity from the time of the call on. */
  inactivityWatch: InactivityTimeout | undefined
  /** The caller accepts no more output. A stream that is not read for that reason does not time out. */
  backpressured: boolean
  /** The last frame was received; the agent ends the stream. */
  finished: boolean
  /** Starts a delayed call, or aborts a finished stream that its agent does not end. */
  timer: Timer | undefined
}

/** Frames after which an agent ends the stream. */
const LAST_FRAMES = new Set<AttemptFrame['kind']['case']>(['final', 'refused'])

/**
 * @param options - clock, timeout and listeners
 * @returns a reader without a stream
 */
export function createAttemptReader (options: AttemptReaderOptions): AttemptReader {
  const { clock, inactivityTimeoutMs } = options
  let current: OpenStream | undefined

  /** A finished stream is read to its end, since an abort would reset it, which costs both sides more. */
  const close = (): void => {
    const open = current
    current = undefined
    if (open === undefined) return
    open.inactivityWatch?.cancel()
    open.timer?.cancel()
    if (open.finished) open.timer = clock.after(inactivityTimeoutMs, () => { open.abort.abort() })
    else open.abort.abort()
  }

  const createWatch = (open: OpenStream, firstFrameTimeoutMs: number): InactivityTimeout => createInactivityTimeout({
    clock,
    timeoutMs: Math.min(firstFrameTimeoutMs, inactivityTimeoutMs),
    isReadingPaused: () => open.backpressured,
    onTimeout: () => { options.onEvent({ kind: 'inactivity_timeout', stream: open.stream }) },
    onProcessPause: options.onProcessPause
  })

  const handleFrame = async (open: OpenStream, frame: AttemptFrame): Promise<void> => {
    open.inactivityWatch?.recordActivity()
    open.inactivityWatch?.setTimeoutMs(inactivityTimeoutMs)
    open.finished = LAST_FRAMES.has(frame.kind.case)
    const pending = options.onFrame(frame, open.stream)
    if (pending === undefined) return
    open.backpressured = true
    await pending
    open.backpressured = false
    open.inactivityWatch?.recordActivity()
  }

  const read = async (open: OpenStream, frames: AsyncIterable<AttemptFrame>): Promise<void> => {
    const { stream } = open
    try {
      for await (const frame of frames) {
        if (current === open) await handleFrame(open, frame)
        if (current !== open && !open.finished) return
      }
      options.onEvent({ kind: 'stream_ended', stream, neverSent: false, message: 'the stream ended without a final frame' })
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error)
      options.onEvent({ kind: 'stream_ended', stream, neverSent: wasNeverSent(error), message })
    } finally {
      open.inactivityWatch?.cancel()
      open.timer?.cancel()
    }
  }

  return {
    open: (stream, call, { delayMs, firstFrameTimeoutMs }) => {
      close()
      const open: OpenStream = {
        stream,
        abort: new AbortController(),
        inactivityWatch: undefined,
        backpressured: false,
        finished: false,
        timer: undefined
      }
      current = open
      const start = (): void => {
        if (current !== open) return
        open.inactivityWatch = createWatch(open, firstFrameTimeoutMs)
        read(open, call(open.abort.signal)).catch(() => {})
      }
      if (delayMs > 0) open.timer = clock.after(delayMs, start)
      else start()
    },
    close
  }
}
