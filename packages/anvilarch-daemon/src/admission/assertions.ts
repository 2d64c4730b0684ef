/** What must always hold in the state of admission. */
import { invariant } from 'anvilarch-utils'
import { prefilling } from './counts'
import type { AdmissionState } from './types'

/**
 * @param state - the state after a step
 * @throws InvariantViolation when it breaks a promise
 */
export function assertAdmission (state: AdmissionState): void {
  const { running, options } = state
  invariant(running.size <= options.slots, 'running_within_slots', () => `${running.size} attempts run on ${options.slots} slots`)
  invariant(state.online.length <= options.maxQueuedOnline, 'online_queue_bounded', () => `${state.online.length} wait, ${options.maxQueuedOnline} may`)
  const computed = prefilling(state)
  invariant(computed.length <= 1 || !computed.some(attempt => attempt.soloFirstToken), 'solo_first_token',
    () => `${computed.length} prompts are computed, one of which must be computed alone`)
  for (const attempt of running.values()) {
    if (!attempt.isolated) continue
    invariant(running.size === 1, 'isolated_runs_alone', () => `${running.size - 1} attempts run beside "${attempt.id}"`)
    invariant(attempt.alone, 'isolated_is_alone', () => `"${attempt.id}" was started beside another attempt`)
  }
}
