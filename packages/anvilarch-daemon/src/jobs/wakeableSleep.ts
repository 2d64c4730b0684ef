/** A sleep of one task that others can end early. A `wake` between two sleeps ends the next one, so that no call is lost. */
import { type Clock, sleep } from 'anvilarch-utils'

/** The sleep of one task. */
export interface WakeableSleep {
  sleep: (delayMs: number) => Promise<void>
  wake: () => void
}

/**
 * @param clock - clock of the sleep
 * @param signal - ends the current and all later sleeps
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
