/** Counts over the admission state, and the load that is reported to gateways. */
import type { BatchLimitInput } from './batchLimit'
import type { AdmissionLoad, AdmissionState, RunningAttempt } from './types'

/** Counts of the attempts that occupy a slot. */
export interface RunningCounts {
  online: number
  batch: number
  /** Batch items that are being preempted. */
  preempting: number
  protectedBatch: number
  /** Batch items in prefill. */
  prefillingBatch: number
  /** Whether an isolated attempt is running. */
  isolated: boolean
}

/**
 * @param state - state of the endpoint
 * @returns number of attempts that occupy a slot, by type
 */
export function countRunning (state: AdmissionState): RunningCounts {
  const counts = { online: 0, batch: 0, preempting: 0, protectedBatch: 0, prefillingBatch: 0, isolated: false }
  for (const attempt of state.running.values()) {
    if (attempt.workClass === 'batch') counts.batch++
    else counts.online++
    if (attempt.phase === 'preempting') counts.preempting++
    if (attempt.isProtected) counts.protectedBatch++
    if (attempt.workClass === 'batch' && attempt.isPrefilling && attempt.phase === 'running') counts.prefillingBatch++
    if (attempt.isolated) counts.isolated = true
  }
  return counts
}

/**
 * @param state - state of the endpoint
 * @returns attempts in prefill
 */
export function prefilling (state: AdmissionState): RunningAttempt[] {
  return [...state.running.values()].filter(attempt => attempt.isPrefilling && attempt.phase === 'running')
}

/**
 * @param state - state of the endpoint
 * @param nowMs - current time
 * @returns inputs of the batch limit
 */
export function batchLimitInput (state: AdmissionState, nowMs: number): BatchLimitInput {
  return {
    nowMs,
    slots: state.options.slots,
    online: countRunning(state).online + state.online.length,
    policy: state.policy,
    measures: state.measures,
    onlineIdleMs: state.options.onlineIdleMs,
    adjustIntervalMs: state.options.adjustIntervalMs
  }
}

/**
 * @param state - state of the endpoint
 * @returns the load report that is attached to frames
 */
export function admissionLoad (state: AdmissionState): AdmissionLoad {
  const counts = countRunning(state)
  const open = !state.draining && !state.down && state.isolated.length === 0 && !counts.isolated
  const fixed = counts.online + (state.options.preemptible ? counts.protectedBatch : counts.batch)
  const freeOnline = Math.max(0, state.options.slots - fixed - state.online.length - state.solo.length)
  const batchCapacity = Math.min(state.batchLimit.limit - counts.batch, state.options.slots - state.running.size)
  return {
    runningOnline: counts.online,
    runningBatch: counts.batch,
    queued: state.online.length + state.batch.length + state.isolated.length + state.solo.length,
    freeOnline: open ? freeOnline : 0,
    freeBatch: open ? Math.max(0, batchCapacity - state.batch.length) : 0,
    firstTokenMs: state.measures.recentFirstTokenMs,
    interTokenMs: state.measures.recentInterTokenMs
  }
}
