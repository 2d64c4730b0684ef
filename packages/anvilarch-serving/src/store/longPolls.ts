/** Gives up calls that wait at the store once another call shows that the store was silent meanwhile and is back. */
import type { Clock } from 'anvilarch-utils'

/** A call that asks the store to wait. */
export interface LongPoll {
  /** Aborted when the store may never have got the call. */
  signal: AbortSignal
  /** The call has ended. */
  end: () => void
}

/** The waiting calls of a process. */
export interface LongPolls {
  begin: () => LongPoll
  /** A call got no answer. */
  onNoAnswer: (sentAtMs: number) => void
  /** A call was answered. */
  onAnswer: (sentAtMs: number) => void
}

/**
 * Answers an outage without a reset: what was sent within it is lost, and only a timeout would tell. Calls that wait have the
 * longest one, while others are answered again.
 *
 * @param clock - local clock
 * @returns a register without calls
 */
export function createLongPolls (clock: Clock): LongPolls {
  const open = new Map<AbortController, number>()
  let silent = false
  let answeredSentAtMs = -Infinity

  const giveUpBefore = (sentAtMs: number): void => {
    for (const [controller, begunAtMs] of [...open]) if (begunAtMs < sentAtMs) controller.abort()
  }

  return {
    begin: () => {
      const controller = new AbortController()
      open.set(controller, clock.nowMs())
      return { signal: controller.signal, end: () => { open.delete(controller) } }
    },
    onNoAnswer: sentAtMs => {
      // One that was sent before an answered call tells of the time before that answer.
      if (sentAtMs >= answeredSentAtMs) silent = true
    },
    onAnswer: sentAtMs => {
      answeredSentAtMs = Math.max(answeredSentAtMs, sentAtMs)
      if (!silent) return
      silent = false
      giveUpBefore(sentAtMs)
    }
  }
}
