/** Aborts long polls once another call shows that the store was unreachable in the meantime and responds again. */
import type { Clock } from 'anvilarch-utils'

/** A call for which the store may delay its response. */
export interface LongPoll {
  /** Aborted when the store may never have received the call. */
  signal: AbortSignal
  /** Removes the call after it has ended. */
  end: () => void
}

/** The long polls of a process. */
export interface LongPolls {
  begin: () => LongPoll
  /** Records that a call got no response. */
  onNoAnswer: (sentAtMs: number) => void
  /** Records that a call got a response. */
  onResponse: (sentAtMs: number) => void
}

/**
 * Detects long polls that were lost in an outage without connection resets. Only a timeout would reveal the loss, and long polls have
 * the longest timeout, so they would stay blocked while other calls succeed again.
 *
 * @param clock - local clock
 * @returns an empty set of long polls
 */
export function createLongPolls (clock: Clock): LongPolls {
  const open = new Map<AbortController, number>()
  let isUnreachable = false
  let lastAnsweredSentAtMs = -Infinity

  const abortSentBefore = (sentAtMs: number): void => {
    for (const [controller, startedAtMs] of [...open]) if (startedAtMs < sentAtMs) controller.abort()
  }

  return {
    begin: () => {
      const controller = new AbortController()
      open.set(controller, clock.nowMs())
      return { signal: controller.signal, end: () => { open.delete(controller) } }
    },
    onNoAnswer: sentAtMs => {
      // Ignores calls sent before the last call that got a response: they failed in an outage that is already over.
      if (sentAtMs >= lastAnsweredSentAtMs) isUnreachable = true
    },
    onResponse: sentAtMs => {
      lastAnsweredSentAtMs = Math.max(lastAnsweredSentAtMs, sentAtMs)
      if (!isUnreachable) return
      isUnreachable = false
      abortSentBefore(sentAtMs)
    }
  }
}
