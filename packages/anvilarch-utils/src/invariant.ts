/** Assertions of invariants. A violation is counted, reported and, under test, ends the process. */

/** Called with each violation. */
export type ViolationListener = (name: string, detail: string) => void

const listeners = new Set<ViolationListener>()

/**
 * @param listener - called with each violation from now on
 * @returns a function that removes the listener
 */
export function onViolation (listener: ViolationListener): () => void {
  listeners.add(listener)
  return () => { listeners.delete(listener) }
}

const lastListeners = new Set<ViolationListener>()

/**
 * For listeners that end the process: in the order of `onViolation`, the process could exit before the violation is logged and
 * counted, and the violated invariant would stay unknown.
 *
 * @param listener - called with each violation after all listeners of `onViolation`
 * @returns a function that removes the listener
 */
export function afterViolation (listener: ViolationListener): () => void {
  lastListeners.add(listener)
  return () => { lastListeners.delete(listener) }
}

/** Thrown when an invariant does not hold. */
export class InvariantViolation extends Error {
  constructor (readonly invariantName: string, detail: string) {
    super(`invariant "${invariantName}" does not hold: ${detail}`)
    this.name = 'InvariantViolation'
  }
}

/**
 * Asserts that a condition holds.
 *
 * @param condition - condition that must be true
 * @param name - short stable name, used as a metric label
 * @param detail - describes the violation; evaluated only on a violation
 * @throws InvariantViolation if the condition is false
 */
export function invariant (condition: boolean, name: string, detail: () => string): asserts condition {
  if (condition) return
  const text = detail()
  for (const listener of [...listeners, ...lastListeners]) listener(name, text)
  throw new InvariantViolation(name, text)
}
