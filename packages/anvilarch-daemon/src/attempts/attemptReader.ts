/** Reads the stream of one attempt after the other, and notices silence. */
import type { AttemptFrame } from 'anvilarch-protocol'
import { type Clock, createInactivityTimeout, type InactivityTimeout, type Timer } from 'anvilarch-utils'
import { wasNeverSent } from '../peers/connectErrors'
import type { RequestEvent } from './machine/types'

/** Options of `createAttemptReader`. */
export interface AttemptReaderOptions {
  clock: Clock
  /** Time without frame or heartbeat after which a stream counts as silent. */
  silenceMs: number
  /** Takes a frame; resolves when the caller takes more. */
  onFrame: (frame: AttemptFrame, stream: number) => Promise<void> | undefined
  /** Takes silence and the end of a stream. */
  onEvent: (event: RequestEvent) => void
  /** Told when this process stood still when it should have listened to a stream. */
  onOwnPause?: (lateMs: number) => void
}

/** When a stream is opened, and how soon it must speak. */
export interface StreamTiming {
  delayMs: number
  /** An agent answers at once whether it has an attempt, so that silence before its first frame is noticed sooner. */
  firstFrameMs: number
}

/** Owns the stream that is read at present. */
export interface AttemptReader {
  /** Leaves the former stream and reads a new one. */
  open: (stream: number, call: (signal: AbortSignal) => AsyncIterable<AttemptFrame>, timing: StreamTiming) => void
  leave: () => void
}

/** The stream that is read at present. */
interface OpenStream {
  stream: number
  abort: AbortController
  /** Watches for silence from the moment of the call on. */
  silence: InactivityTimeout | undefined
  /** The caller does not take more. A stream that this side leaves unread is not silent. */
  stalled: boolean
  /** Its last frame has come; it ends by itself. */
  finished: boolean
  /** Opens the call later, or ends a finished stream that does not end by itself. */
  timer: Timer | undefined
}

/** Frames after which an agent ends the stream. */
const LAST_FRAMES = new Set<AttemptFrame['kind']['case']>(['final', 'refused'])

/**
 * @param options - clock, bound of silence and listeners
 * @returns a reader without a stream
 */
export function createAttemptReader (options: AttemptReaderOptions): AttemptReader {
  const { clock, silenceMs } = options
  let current: OpenStream | undefined

  /** A finished stream is read to its end, since an abort would reset it and cost both sides more than its end does. */
  const leave = (): void => {
    const open = current
    current = undefined
    if (open === undefined) return
    open.silence?.cancel()
    open.timer?.cancel()
    if (open.finished) open.timer = clock.after(silenceMs, () => { open.abort.abort() })
    else open.abort.abort()
  }

  const watch = (open: OpenStream, firstFrameMs: number): InactivityTimeout => createInactivityTimeout({
    clock,
    timeoutMs: Math.min(firstFrameMs, silenceMs),
    isReadingPaused: () => open.stalled,
    onTimeout: () => { options.onEvent({ kind: 'silence', stream: open.stream }) },
    onProcessPause: options.onOwnPause
  })

  const take = async (open: OpenStream, frame: AttemptFrame): Promise<void> => {
    open.silence?.recordActivity()
    open.silence?.setTimeoutMs(silenceMs)
    open.finished = LAST_FRAMES.has(frame.kind.case)
    const pending = options.onFrame(frame, open.stream)
    if (pending === undefined) return
    open.stalled = true
    await pending
    open.stalled = false
    open.silence?.recordActivity()
  }

  const read = async (open: OpenStream, frames: AsyncIterable<AttemptFrame>): Promise<void> => {
    const { stream } = open
    try {
      for await (const frame of frames) {
        if (current === open) await take(open, frame)
        if (current !== open && !open.finished) return
      }
      options.onEvent({ kind: 'stream_ended', stream, neverSent: false, message: 'the stream ended without a final frame' })
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error)
      options.onEvent({ kind: 'stream_ended', stream, neverSent: wasNeverSent(error), message })
    } finally {
      open.silence?.cancel()
      open.timer?.cancel()
    }
  }

  return {
    open: (stream, call, { delayMs, firstFrameMs }) => {
      leave()
      const open: OpenStream = {
        stream,
        abort: new AbortController(),
        silence: undefined,
        stalled: false,
        finished: false,
        timer: undefined
      }
      current = open
      const start = (): void => {
        if (current !== open) return
        open.silence = watch(open, firstFrameMs)
        read(open, call(open.abort.signal)).catch(() => {})
      }
      if (delayMs > 0) open.timer = clock.after(delayMs, start)
      else start()
    },
    leave
  }
}
