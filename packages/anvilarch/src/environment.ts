/** Process environment of the commands, which tests replace with their own. */
import { userInfo } from 'node:os'
import { type Clock, createSystemClock } from 'anvilarch-utils'

/** Environment in which a command runs. */
export interface CliEnvironment {
  variables: Record<string, string | undefined>
  /** Results. */
  stdout: NodeJS.WritableStream
  /** Errors, notes and progress. */
  stderr: NodeJS.WritableStream
  /** Whether standard error is a terminal, so that a progress bar is shown. */
  isTerminal: boolean
  clock: Clock
  /** Recorded as the author of each configuration that is applied. */
  userName: string
}

/** @returns the environment of this process */
export function createProcessEnvironment (): CliEnvironment {
  const { env, stdout, stderr } = process
  return {
    variables: env,
    stdout,
    stderr,
    isTerminal: stderr.isTTY === true,
    clock: createKeepAliveClock(),
    userName: readUserName()
  }
}

/** Reads the user name; a process may run under a user id without a name. */
function readUserName (): string {
  try {
    return userInfo().username
  } catch {
    return 'unknown'
  }
}

/**
 * Creates a clock whose timers keep the process alive, unlike those of the system clock. While a command waits between two
 * polls, nothing else does: the process would exit during the wait with code 0 and no output.
 */
function createKeepAliveClock (): Clock {
  return {
    ...createSystemClock(),
    after: (delayMs, onFire) => {
      const handle = setTimeout(onFire, Math.max(0, delayMs))
      return { cancel: () => clearTimeout(handle) }
    }
  }
}
