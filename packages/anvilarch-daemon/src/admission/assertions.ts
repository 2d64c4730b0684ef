/** Invariants of the admission state. */
import { invariant } from 'anvilarch-utils'
import { prefilling } from './counts'
import type { AdmissionState } from './types'

/**
 * @param state - the state after a step
 * @throws InvariantViolation if the state violates an invariant
 */
export function assertAdmission (state: AdmissionState): void {
  const { running, options } = state
  invariant(running.size <= options.slots, 'running_within_slots', () => `${running.size} attempts run on ${options.slots} slots`)
  invariant(state.online.length <= options.maxQueuedOnline, 'online_queue_bounded', () => `${state.online.length} online attempts are queued, the limit is ${options.maxQueuedOnline}`)
  const inPrefill = prefilling(state)
  invariant(inPrefill.length <= 1 || !inPrefill.some(attempt => attempt.soloFirstToken), 'solo_first_token',
    () => `${inPrefill.length} prompts are in prefill, one of which must be prefilled alone`)
  for (const attempt of running.values()) {
    if (!attempt.isolated) continue
    invariant(running.size === 1, 'isolated_runs_alone', () => `${running.size - 1} attempts run beside "${attempt.id}"`)
    invariant(attempt.alone, 'isolated_is_alone', () => `"${attempt.id}" was started beside another attempt`)
  }
}
