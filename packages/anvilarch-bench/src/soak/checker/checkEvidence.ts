/** Runs all checks over the evidence of a run. */
import type { Evidence } from '../types'
import { CALL_CHECKS } from './callChecks'
import { DAEMON_CHECKS } from './daemonChecks'
import { JOB_CHECKS } from './jobChecks'
import { SERVICE_CHECKS } from './serviceChecks'
import type { Check } from './types'

/** Result of one check; `count` must be 0. */
export interface CheckCount {
  name: string
  count: number
  trials: number
  examples: string[]
}

/** All checks, in the order in which they are printed. */
export const CHECKS: readonly Check[] = [...JOB_CHECKS, ...CALL_CHECKS, ...DAEMON_CHECKS, ...SERVICE_CHECKS]

const MAX_EXAMPLES = 5

/**
 * @param evidence - of a whole run
 * @returns one count for each check
 */
export function checkEvidence (evidence: Evidence): CheckCount[] {
  return CHECKS.map(({ name, run }) => {
    const { trials, wrong } = run(evidence)
    return { name, trials, count: wrong.length, examples: wrong.slice(0, MAX_EXAMPLES) }
  })
}
