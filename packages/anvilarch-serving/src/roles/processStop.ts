/** Stops the role of a process after a stop signal, whenever and however often the signal comes. */
import type { Clock } from 'anvilarch-utils'
import type { EventLog } from '../telemetry/events'
import type { RunningRole } from './types'

/** Dependencies of `createProcessStop`. */
export interface ProcessStopParts {
  clock: Clock
  log: EventLog
  /** Time from the first signal until the process is killed, in milliseconds. */
  graceMs: number
  /** Called once, at the first signal. */
  onStopping: () => void
  /** Ends the process. */
  exit: () => void
}

/** The stop of a process. */
export interface ProcessStop {
  /** Handles a stop signal. Only the first one takes effect. */
  onSignal: () => void
  /** Sets the role that is stopped: at once if the signal has come while the role was starting. */
  onStarted: (role: Pick<RunningRole, 'stop'>) => void
}

/** A stop that is still in progress this long before the end of the grace period is cut short. */
const EXIT_MARGIN_MS = 350

/**
 * @param parts - clock, log, grace period and end of the process
 * @returns a stop to which signals can be passed before the role has started
 */
export function createProcessStop ({ clock, log, graceMs, onStopping, exit }: ProcessStopParts): ProcessStop {
  let role: Pick<RunningRole, 'stop'> | undefined
  let isStopping = false

  const stopRole = (): void => {
    role?.stop()
      .catch(error => log.error('stop failed', { reason: (error as Error).message }))
      .finally(exit)
  }

  const onSignal = (): void => {
    if (isStopping) {
      log.info('stop signal repeated', {})
      return
    }
    isStopping = true
    log.info('stopping', { graceMs })
    // An unanswered call to the store or a slow host may delay the stop. A process that is killed at the end of the grace period logs nothing.
    clock.after(graceMs - EXIT_MARGIN_MS, () => {
      log.warn('stop cut short', { afterMs: graceMs - EXIT_MARGIN_MS })
      exit()
    })
    onStopping()
    stopRole()
  }

  return {
    onSignal,
    onStarted: started => {
      role = started
      if (isStopping) stopRole()
    }
  }
}
