/** A sleep of one task that others can end early. A call between two sleeps ends the next one, so that none is lost. */
import { type Clock, sleep } from 'anvilarch-utils'

/** Sleeps and wakes. */
export interface WakeableSleep {
  sleep: (delayMs: number) => Promise<void>
  wake: () => void
}

/**
 * @param clock - to sleep on
 * @param signal - ends each sleep at once
 * @returns the sleep of one task
 */
export function createWakeableSleep (clock: Clock, signal: AbortSignal): WakeableSleep {
  let isWoken = false
  let current: AbortController | undefined
  const wake = (): void => {
    isWoken = true
    current?.abort()
  }
  signal.addEventListener('abort', wake, { once: true })
  return {
    sleep: async delayMs => {
      current = new AbortController()
      if (!isWoken) await sleep(clock, delayMs, current.signal)
      isWoken = signal.aborted
      current = undefined
    },
    wake
  }
}
