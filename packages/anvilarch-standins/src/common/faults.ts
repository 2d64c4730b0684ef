/** The fault switches that every stand-in has, set over HTTP at `/faults` or in process. */

/** Faults of one stand-in. Each holds until it is set back. */
export interface Faults {
  /** Added to each request, half of it before the effect and half before the answer. */
  latencyMs: number
  /** Answers 503 at once. */
  outage: boolean
  /** Accepts requests and never answers; nothing takes effect and streams stand still. */
  frozen: boolean
  /** Share, from 0 to 1, of requests that take effect and whose connection is then cut. */
  loseReplies: number
  /** Setting it to true silences the connections open at that moment for good; new ones work. Reads as false again at once. */
  silence: boolean
  /** How late lists, load reports and cache events are. */
  lagMs: number
  /** Text in a request that ends the process with exit code 70 when the request runs; empty for none. */
  crashOn: string
  /** Text in a request that gives 500; empty for none. */
  failOn: string
  /** Share, from 0 to 1, of requests for work that are answered with 500 before they run; health and reports stay good. */
  failShare: number
}

/** No fault at all. */
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
   * @param changes - the faults to change; all others stay
   * @returns all faults as they stand now
   * @throws Error that names an unknown switch or a value of the wrong type
   */
  set: (changes: Partial<Faults>) => Faults
  /** Told of every change. */
  onChange: (listener: (changes: Partial<Faults>, faults: Faults) => void) => void
}

/**
 * @param initial - faults that differ from none at the start
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

/** A switch that was misspelt would leave a failure test without its failure, so it is an error. */
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
