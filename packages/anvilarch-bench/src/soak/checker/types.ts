/** Types of checks. */
import type { Evidence } from '../types'

/** Result of one check. */
export interface Finding {
  /** Number of cases examined. */
  trials: number
  /** Descriptions of the violations, one line each. */
  wrong: string[]
}

/** Check for one kind of violation. */
export interface Check {
  name: string
  run: (evidence: Evidence) => Finding
}
