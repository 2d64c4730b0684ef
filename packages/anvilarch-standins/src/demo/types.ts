/** The types of the demo's steps. */
import type { Clock } from 'anvilarch-utils'
import type { Fleet } from '../fleet/types'

/** The context of every step. */
export interface DemoContext {
  fleet: Fleet
  clock: Clock
  /** Aborted when the demo exceeds its time limit. */
  signal: AbortSignal
  /** Folder for job files. */
  directory: string
  documentFile: string
}

/** One step of the demo. */
export interface DemoStep {
  title: string
  /** @returns a summary of one line; rejects when the step failed */
  run: (context: DemoContext) => Promise<string>
}

/** The result of a step. */
export interface StepReport {
  title: string
  passed: boolean
  durationMs: number
  detail: string
}

/** Thrown when an expectation of the demo is not met. */
export class DemoFailure extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'DemoFailure'
  }
}

/**
 * @param condition - must be true
 * @param message - returns the error message; called only on failure
 * @throws DemoFailure when the condition is false
 */
export function expectThat (condition: boolean, message: () => string): asserts condition {
  if (!condition) throw new DemoFailure(message())
}
