/** Decides what a daemon does when it receives signals. Free of I/O. */

/** Signals that a daemon handles. */
export const HANDLED_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const

export type HandledSignal = typeof HANDLED_SIGNALS[number]

/** Phase of the process. */
export type Phase = 'running' | 'stopping' | 'forced'

/**
 * - `stop`: drain and exit
 * - `force`: limit the remaining time
 * - `ignore`: go on
 */
export type SignalCommand = 'stop' | 'force' | 'ignore'

type Transition = readonly [Phase, SignalCommand]

/**
 * Supervisors may repeat SIGTERM, which must not cut a drain. Only an interrupt, which a person sends, does. SIGHUP would end
 * the process by default; settings are read at the start only.
 */
const TRANSITIONS: Record<HandledSignal, Record<Phase, Transition>> = {
  SIGTERM: { running: ['stopping', 'stop'], stopping: ['stopping', 'ignore'], forced: ['forced', 'ignore'] },
  SIGINT: { running: ['stopping', 'stop'], stopping: ['forced', 'force'], forced: ['forced', 'ignore'] },
  SIGHUP: { running: ['running', 'ignore'], stopping: ['stopping', 'ignore'], forced: ['forced', 'ignore'] }
}

/**
 * @param phase - current phase
 * @param signal - the signal
 * @returns the next phase and what to do
 */
export function onSignal (phase: Phase, signal: HandledSignal): { phase: Phase, command: SignalCommand } {
  const [next, command] = TRANSITIONS[signal][phase]
  return { phase: next, command }
}
