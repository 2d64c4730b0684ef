/**
 * Limits the number of batch items that run concurrently. Without online work the limit is all slots. When online work
 * arrives, the limit drops immediately to what the step-time model allows beside it. From then on it is adjusted by the
 * latencies of online work: multiplied by a factor below 1 when a latency exceeds its allowance, incremented by one when
 * all are well below it.
 */
import type { BatchPolicy } from 'anvilarch-configuration'
import { clearSamples, type Measures, quantile } from './measures'
import { createStepTimeFit, type StepTimeFit, stepTimeLine } from './stepTime'

/** State of the batch limit. */
export interface BatchLimit {
  /** Current limit. */
  limit: number
  /** Limit while online work runs, as of the last adjustment. */
  besideOnline: number
  lastOnlineMs: number
  lastAdjustMs: number
  fit: StepTimeFit
}

/** Inputs of the batch limit. */
export interface BatchLimitInput {
  nowMs: number
  slots: number
  /** Online attempts that run or wait for a slot. */
  online: number
  policy: BatchPolicy
  measures: Measures
  onlineIdleMs: number
  adjustIntervalMs: number
}

const TAIL_QUANTILE = 0.95
const DECREASE_FACTOR = 0.7
/** A latency below this share of its allowance leaves room for one more item. */
const HEADROOM_SHARE = 0.9
const INITIAL_SLOT_SHARE = 0.25
const MIN_SAMPLES = 5

/**
 * @param slots - slots of the endpoint
 * @returns initial state of the limit
 */
export function createBatchLimit (slots: number): BatchLimit {
  return {
    limit: 1,
    besideOnline: Math.max(1, Math.floor(slots * INITIAL_SLOT_SHARE)),
    lastOnlineMs: -Infinity,
    lastAdjustMs: -Infinity,
    fit: createStepTimeFit()
  }
}

/**
 * Lowers the limit when online work arrives, before an increased latency can be measured.
 *
 * @param state - modified in place
 * @param input - state of the endpoint including the arrival
 */
export function limitForOnlineArrival (state: BatchLimit, input: BatchLimitInput): void {
  state.lastOnlineMs = input.nowMs
  state.limit = Math.min(state.limit, allowedBesideOnline(state, input))
}

/**
 * Adjusts the limit to the measured latencies.
 *
 * @param state - modified in place
 * @param input - state of the endpoint
 */
export function adjustBatchLimit (state: BatchLimit, input: BatchLimitInput): void {
  if (input.online > 0) state.lastOnlineMs = input.nowMs
  if (input.nowMs - state.lastOnlineMs > input.onlineIdleMs) {
    // Samples of the last burst of online work do not apply to the next one.
    clearSamples(input.measures.firstToken)
    clearSamples(input.measures.interToken)
    state.limit = input.slots
    return
  }
  if (input.nowMs - state.lastAdjustMs >= input.adjustIntervalMs) adjustBesideOnline(state, input)
  state.limit = Math.min(input.slots, allowedBesideOnline(state, input))
}

function adjustBesideOnline (state: BatchLimit, input: BatchLimitInput): void {
  const { firstToken, interToken } = input.measures
  if (firstToken.count + interToken.count < MIN_SAMPLES) return
  state.lastAdjustMs = input.nowMs
  const highestRatio = Math.max(
    latencyRatio(quantile(firstToken, TAIL_QUANTILE), input.measures.baselineFirstTokenMs, input.policy.firstTokenTargetMs, input.policy),
    latencyRatio(quantile(interToken, TAIL_QUANTILE), baselineInterTokenMs(state, input), input.policy.interTokenTargetMs, input.policy)
  )
  if (highestRatio > 1) {
    state.besideOnline = Math.floor(Math.min(state.besideOnline, input.slots) * DECREASE_FACTOR)
    // The samples were taken under the previous limit; the next adjustment must only use samples of the new one.
    clearSamples(firstToken)
    clearSamples(interToken)
  } else if (highestRatio < HEADROOM_SHARE) {
    state.besideOnline = Math.min(input.slots, state.besideOnline + 1)
  }
}

// Ratio of a latency of online work to its allowance: the baseline without batch work plus a share of the slack to the target.
function latencyRatio (measuredMs: number, baselineMs: number, targetMs: number, policy: BatchPolicy): number {
  return measuredMs / allowedMs(baselineMs, targetMs, policy)
}

function allowedMs (baselineMs: number, targetMs: number, policy: BatchPolicy): number {
  const slackMs = Math.max(0, targetMs - baselineMs)
  return baselineMs + slackMs * policy.slackSharePercent / 100
}

function baselineInterTokenMs (state: BatchLimit, input: BatchLimitInput): number {
  const line = stepTimeLine(state.fit)
  return line === undefined ? 0 : line.baseMs + line.perAttemptMs * input.online
}

function allowedBesideOnline (state: BatchLimit, input: BatchLimitInput): number {
  const line = stepTimeLine(state.fit)
  if (line === undefined) return state.besideOnline
  const baselineMs = line.baseMs + line.perAttemptMs * input.online
  const headroomMs = allowedMs(baselineMs, input.policy.interTokenTargetMs, input.policy) - baselineMs
  return Math.min(state.besideOnline, Math.max(0, Math.floor(headroomMs / line.perAttemptMs)))
}
