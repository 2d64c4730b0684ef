/** The fault switches of every stand-in, set over HTTP at `/faults` or within the process. */

/** Faults of one stand-in. Each stays in effect until it is reset. */
export interface Faults {
  /** Delay added to each request, half of it before the request takes effect and half before the response. */
  latencyMs: number
  /** Responds with 503 to every request without processing it. */
  outage: boolean
  /** Accepts requests without ever responding; nothing takes effect and streams are paused. */
  frozen: boolean
  /** Share, from 0 to 1, of requests that take effect and whose connection is then closed without a response. */
  loseReplies: number
  /** Setting it to true permanently silences the connections that are open; new connections work. The field then reads as false again. */
  silence: boolean
  /** Delay with which lists, load reports and cache events become visible. */
  lagMs: number
  /** A request that contains this text ends the process with exit code 70 when it runs; empty for none. */
  crashOn: string
  /** A request that contains this text fails with 500; empty for none. */
  failOn: string
  /** Share, from 0 to 1, of work requests that fail with 500 before they run; health checks and reports still succeed. */
  failShare: number
}

/** All faults switched off. */
export const DEFAULT_FAULTS: Faults = {
  latencyMs: 0,
  outage: false,
  frozen: false,
  loseReplies: 0,
  silence: false,
  lagMs: 0,
  crashOn: '',
  failOn: '',
  failShare: 0
}

/** The switches of one stand-in. */
export interface FaultSwitches {
  get: () => Faults
  /**
   * @param changes - the faults to change; all others keep their values
   * @returns all faults after the change
   * @throws Error that names an unknown switch or a value of the wrong type
   */
  set: (changes: Partial<Faults>) => Faults
  /** Registers a listener that is called on every change. */
  onChange: (listener: (changes: Partial<Faults>, faults: Faults) => void) => void
}

/**
 * @param initial - faults that are switched on at the start
 * @returns the switches
 */
export function createFaultSwitches (initial: Partial<Faults> = {}): FaultSwitches {
  let current: Faults = { ...DEFAULT_FAULTS, ...initial }
  const listeners: Array<(changes: Partial<Faults>, faults: Faults) => void> = []
  return {
    get: () => current,
    set: changes => {
      validateFaults(changes)
      current = { ...current, ...changes, silence: false }
      for (const listener of listeners) listener(changes, current)
      return current
    },
    onChange: listener => { listeners.push(listener) }
  }
}

/** Rejects unknown switches: with a misspelt one, a failure test would run without its failure. */
function validateFaults (changes: Partial<Faults>): void {
  for (const [name, value] of Object.entries(changes)) {
    if (!Object.hasOwn(DEFAULT_FAULTS, name)) {
      throw new Error(`unknown fault "${name}"; known are ${Object.keys(DEFAULT_FAULTS).join(', ')}`)
    }
    const expected: string = typeof DEFAULT_FAULTS[name as keyof Faults]
    const found: string = typeof value
    if (found !== expected) throw new Error(`fault "${name}" takes a ${expected}, found ${JSON.stringify(value)}`)
  }
}
