/** Starts one process of the fleet, tracks its state, and restarts it according to its policy. */
import { type ChildProcess, spawn } from 'node:child_process'
import { closeSync, openSync } from 'node:fs'
import { type Clock, type Timer } from 'anvilarch-utils'
import type { FleetProcess, ProcessExit, ProcessSpec } from './types'

/** Options of `createSupervisor`. */
export interface SupervisorOptions {
  clock: Clock
  logFile: string
  /** @returns the delay before the process is restarted, or undefined not to restart it */
  restartDelayMs: (spec: ProcessSpec, exit: ProcessExit) => number | undefined
  /** Called on every start and exit. */
  onChange: (process: FleetProcess) => void
}

/** One process with its supervisor. */
export interface Supervisor {
  process: FleetProcess
  spawn: () => void
  kill: (signal: NodeJS.Signals) => void
  /** Disables automatic restarts. */
  disableRestart: () => void
  /** @returns a promise of the exit of the running process; resolves at once when none is running */
  exited: () => Promise<ProcessExit>
}

/** In the fleet, a daemon that detects the violation of an invariant exits immediately, so that the violation is noticed. */
const ENVIRONMENT = { ANVILARCH_EXIT_ON_VIOLATION: '1' }

const NEVER_STARTED: ProcessExit = { code: null, signal: null }

/**
 * @param spec - the process
 * @param options - log file, restart policy and listener
 * @returns its supervisor; nothing runs yet
 */
export function createSupervisor (spec: ProcessSpec, options: SupervisorOptions): Supervisor {
  const state: FleetProcess = { spec, processId: undefined, starts: 0, lastExit: undefined, logFile: options.logFile }
  let child: ChildProcess | undefined
  let restartTimer: Timer | undefined
  let restartDisabled = false
  let exitPromise: Promise<ProcessExit> = Promise.resolve(NEVER_STARTED)

  const onExit = (exit: ProcessExit): void => {
    child = undefined
    state.processId = undefined
    state.lastExit = exit
    options.onChange(state)
    const delayMs = restartDisabled ? undefined : options.restartDelayMs(spec, exit)
    if (delayMs !== undefined) restartTimer = options.clock.after(delayMs, start)
  }

  const start = (): void => {
    if (restartDisabled || child !== undefined) return
    restartTimer?.cancel()
    const log = openSync(options.logFile, 'a')
    // A separate process group: an interrupt from the terminal reaches only the fleet, which then terminates its children in order.
    const started = spawn(process.execPath, [spec.script, ...spec.arguments], { stdio: ['ignore', log, log], detached: true, env: { ...process.env, ...ENVIRONMENT } })
    closeSync(log)
    child = started
    state.processId = started.pid
    state.starts++
    exitPromise = new Promise(resolve => {
      const finish = (exit: ProcessExit): void => {
        if (child !== started) return
        onExit(exit)
        resolve(exit)
      }
      started.once('exit', (code, signal) => { finish({ code, signal }) })
      started.once('error', () => { finish({ code: 1, signal: null }) })
    })
    options.onChange(state)
  }

  return {
    process: state,
    spawn: start,
    kill: signal => { child?.kill(signal) },
    disableRestart: () => {
      restartDisabled = true
      restartTimer?.cancel()
    },
    exited: () => exitPromise
  }
}
