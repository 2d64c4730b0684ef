/** Decides on a new attempt: queued, or rejected immediately with a time after which to retry. */
import type { RefusalReason } from 'anvilarch-protocol'
import { limitForOnlineArrival } from './batchLimit'
import { batchLimitInput, countRunning } from './counts'
import { preemptExcessBatch, preemptPrefilling } from './scheduling'
import type { AdmissionCommand, AdmissionEvent, AdmissionState, WaitingAttempt } from './types'

/**
 * A request that must wait is accepted only if its expected completion is within this share of the time to its deadline.
 * The expectation is a mean: if the queue were planned up to the deadline itself, half of the responses would be late and
 * their work wasted.
 */
const MAX_PLANNED_DEADLINE_SHARE = 0.8

/** Each attempt that is prefilled alone is followed by one turn of other work. */
const TURNS_PER_SOLO = 2

type Arrival = Extract<AdmissionEvent, { kind: 'arrive' }>

interface Refusal {
  reason: RefusalReason
  retryAfterMs: number
}

/**
 * @param state - state of the endpoint; modified in place
 * @param event - arrival of the attempt
 * @param commands - receives the rejection, or the preemptions that make room
 */
export function admitArrival (state: AdmissionState, event: Arrival, commands: AdmissionCommand[]): void {
  const refusal = findRefusal(state, event)
  if (refusal !== undefined) {
    commands.push({ kind: 'refuse', id: event.id, ...refusal })
    return
  }
  const waiting: WaitingAttempt = { id: event.id, workClass: event.workClass, deadlineMs: event.deadlineMs, preemptions: 0, started: false, soloFirstToken: event.soloFirstToken === true }
  if (event.isolated) {
    state.isolated.push({ attempt: waiting, untilMs: Math.min(event.deadlineMs, event.nowMs + state.options.maxIsolationWaitMs) })
    preemptExcessBatch(state, 0, commands)
    return
  }
  if (waiting.soloFirstToken) {
    state.solo.push(waiting)
    return
  }
  if (event.workClass === 'batch') {
    state.batch.push(waiting)
    return
  }
  enqueueOnline(state, waiting)
  preemptPrefilling(state, commands)
  limitForOnlineArrival(state.batchLimit, batchLimitInput(state, event.nowMs))
  preemptExcessBatch(state, state.batchLimit.limit, commands)
}

function enqueueOnline (state: AdmissionState, waiting: WaitingAttempt): void {
  const firstOther = waiting.workClass === 'lookup' ? state.online.findIndex(other => other.workClass !== 'lookup') : -1
  state.online.splice(firstOther === -1 ? state.online.length : firstOther, 0, waiting)
}

function findRefusal (state: AdmissionState, event: Arrival): Refusal | undefined {
  if (state.draining) return { reason: 'draining', retryAfterMs: 0 }
  if (state.down) return { reason: 'endpoint_down', retryAfterMs: state.options.minRetryAfterMs }
  if (event.deadlineMs <= event.nowMs) return { reason: 'deadline', retryAfterMs: 0 }
  if (event.isolated) return isolatedRefusal(state, event)
  if (event.soloFirstToken === true) return soloRefusal(state, event)
  return event.workClass === 'batch' ? batchRefusal(state) : onlineRefusal(state, event)
}

function isolatedRefusal (state: AdmissionState, event: Arrival): Refusal | undefined {
  const waitMs = (countRunning(state).online > 0 ? meanServiceMs(state) : 0) + state.isolated.length * meanServiceMs(state)
  const canStart = state.isolated.length < state.options.maxQueuedIsolated && event.nowMs + waitMs < event.deadlineMs
  return canStart ? undefined : { reason: 'isolated_busy', retryAfterMs: retryAfter(state, waitMs) }
}

function soloRefusal (state: AdmissionState, event: Arrival): Refusal | undefined {
  const waitMs = soloWaitMs(state)
  const canStart = state.solo.length < state.options.maxQueuedIsolated && event.nowMs + waitMs < event.deadlineMs
  return canStart ? undefined : { reason: 'isolated_busy', retryAfterMs: retryAfter(state, waitMs) }
}

function soloWaitMs (state: AdmissionState): number {
  return state.solo.length * TURNS_PER_SOLO * state.measures.recentFirstTokenMs
}

function batchRefusal (state: AdmissionState): Refusal | undefined {
  const neverStarted = state.batch.filter(waiting => !waiting.started).length
  if (neverStarted < state.options.maxQueuedBatch) return undefined
  return { reason: 'overloaded', retryAfterMs: retryAfter(state, state.measures.serviceMs.batch / state.options.slots) }
}

// A request that would miss its deadline is rejected now: its caller can still try elsewhere, and no capacity is wasted on it.
function onlineRefusal (state: AdmissionState, event: Arrival): Refusal | undefined {
  const waitMs = expectedWaitMs(state, event)
  if (state.online.length >= state.options.maxQueuedOnline) return { reason: 'overloaded', retryAfterMs: retryAfter(state, waitMs) }
  if (waitMs === 0) return undefined
  const endMs = event.nowMs + waitMs + state.measures.serviceMs[event.workClass]
  const latestMs = event.nowMs + (event.deadlineMs - event.nowMs) * MAX_PLANNED_DEADLINE_SHARE
  return endMs > latestMs ? { reason: 'deadline', retryAfterMs: retryAfter(state, endMs - latestMs) } : undefined
}

function expectedWaitMs (state: AdmissionState, event: Arrival): number {
  const counts = countRunning(state)
  const isolatedMs = (state.isolated.length + (counts.isolated ? 1 : 0)) * meanServiceMs(state)
  const ahead = event.workClass === 'lookup' ? state.online.filter(waiting => waiting.workClass === 'lookup').length : state.online.length
  const preemptible = state.options.preemptible ? counts.batch - counts.protectedBatch : 0
  const free = state.options.slots - state.running.size + preemptible
  const turns = Math.max(0, ahead + 1 - free)
  return isolatedMs + soloWaitMs(state) + turns * meanServiceMs(state) / state.options.slots
}

function meanServiceMs (state: AdmissionState): number {
  const { lookup, online, batch } = state.measures.serviceMs
  return Math.max(lookup, online) || batch
}

function retryAfter (state: AdmissionState, waitMs: number): number {
  return Math.ceil(Math.max(state.options.minRetryAfterMs, waitMs))
}
