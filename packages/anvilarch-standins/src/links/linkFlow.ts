/** One direction of a connection over a link: bytes, then a half-close or a reset, in order and late. */
import type { Clock, Timer } from 'anvilarch-utils'

/** What the link delivers to. */
export interface FlowSink {
  write: (bytes: Buffer) => void
  end: () => void
  reset: () => void
}

/** One direction. */
export interface LinkFlow {
  write: (bytes: Buffer) => void
  end: () => void
  reset: () => void
  /** @returns number of bytes on their way */
  pendingBytes: () => number
  /** Discards what is on its way. */
  close: () => void
}

interface Delivery {
  atMs: number
  bytes: number
  deliver: () => void
}

/** Options of `createLinkFlow`. */
export interface LinkFlowOptions {
  clock: Clock
  /** Returns when bytes that are sent now arrive. */
  arrivalMs: (nowMs: number, bytes: number) => number
  sink: FlowSink
}

/** @returns an empty flow */
export function createLinkFlow ({ clock, arrivalMs, sink }: LinkFlowOptions): LinkFlow {
  let deliveries: Delivery[] = []
  let timer: Timer | undefined
  const schedule = (): void => {
    if (timer !== undefined || deliveries.length === 0) return
    timer = clock.after(deliveries[0].atMs - clock.nowMs(), () => {
      timer = undefined
      while (deliveries.length > 0 && deliveries[0].atMs <= clock.nowMs()) deliveries.shift()?.deliver()
      schedule()
    })
  }
  const push = (bytes: number, deliver: () => void): void => {
    deliveries.push({ atMs: arrivalMs(clock.nowMs(), bytes), bytes, deliver })
    schedule()
  }
  return {
    write: bytes => push(bytes.length, () => sink.write(bytes)),
    end: () => push(0, sink.end),
    reset: () => push(0, sink.reset),
    pendingBytes: () => deliveries.reduce((sum, { bytes }) => sum + bytes, 0),
    close: () => {
      timer?.cancel()
      deliveries = []
    }
  }
}
