/** Starts waiting attempts that fit on the endpoint and preempts batch items. */
import { invariant } from 'anvilarch-utils'
import { countRunning, prefilling, type RunningCounts } from './counts'
import type { AdmissionCommand, AdmissionState, RunningAttempt, WaitingAttempt } from './types'

/**
 * Starts waiting attempts: an isolated attempt once the endpoint is idle, otherwise online work before batch work.
 *
 * Attempts whose prompt must be prefilled alone (crash suspects) alternate with other work. After a crash there may be as
 * many suspects as the endpoint has slots, all but one of them harmless. Running each alone to completion would block the
 * endpoint for minutes, and most would miss their deadlines. A request that crashes an endpoint does so during its prefill,
 * so isolation until the first token is sufficient, and each suspect delays other work by one prefill only.
 *
 * @param state - state of the endpoint; modified in place
 * @param nowMs - current time
 * @param commands - receives the start and preempt commands
 */
export function startWaitingAttempts (state: AdmissionState, nowMs: number, commands: AdmissionCommand[]): void {
  if (countRunning(state).isolated || prefilling(state).some(attempt => attempt.soloFirstToken)) return
  if (state.isolated.length > 0) {
    startIsolated(state, nowMs, commands)
    return
  }
  if (state.solo.length > 0 && state.soloTurn) {
    startSolo(state, nowMs, commands)
    return
  }
  const startedBefore = state.running.size
  startOnline(state, nowMs, commands)
  startBatch(state, nowMs, commands)
  state.soloTurn = true
  if (state.solo.length > 0 && state.running.size === startedBefore) startSolo(state, nowMs, commands)
}

function startSolo (state: AdmissionState, nowMs: number, commands: AdmissionCommand[]): void {
  if (prefilling(state).length > 0) return
  if (state.running.size >= state.options.slots) {
    preemptBatch(state, 1 - countRunning(state).preempting, commands)
    return
  }
  state.soloTurn = false
  start(state, state.solo.shift() as WaitingAttempt, nowMs, false, commands)
}

function startIsolated (state: AdmissionState, nowMs: number, commands: AdmissionCommand[]): void {
  if (state.running.size > 0) return
  const first = state.isolated.shift()
  if (first !== undefined) start(state, first.attempt, nowMs, true, commands)
}

function startOnline (state: AdmissionState, nowMs: number, commands: AdmissionCommand[]): void {
  while (state.online.length > 0 && state.running.size < state.options.slots) {
    start(state, state.online.shift() as WaitingAttempt, nowMs, false, commands)
  }
  const missing = state.online.length - countRunning(state).preempting
  if (missing > 0) preemptBatch(state, missing, commands)
}

function startBatch (state: AdmissionState, nowMs: number, commands: AdmissionCommand[]): void {
  if (state.online.length > 0 || state.isReturningBatch) return
  const counts = countRunning(state)
  const capacity = Math.min(state.batchLimit.limit - counts.batch, state.options.slots - state.running.size, prefillCapacity(state, counts))
  for (const waiting of state.batch.splice(0, Math.max(0, capacity))) start(state, waiting, nowMs, false, commands)
}

// An engine prefills prompts in order of arrival. Batch items started together would delay the prefill of the next online
// request by several engine steps, and with it the first token.
function prefillCapacity (state: AdmissionState, counts: RunningCounts): number {
  if (!state.options.preemptible) return Infinity
  const { maxPrefillingBatch, maxPrefillingBesideOnline } = state.options
  return (counts.online > 0 ? maxPrefillingBesideOnline : maxPrefillingBatch) - counts.prefillingBatch
}

function start (state: AdmissionState, waiting: WaitingAttempt, nowMs: number, isolated: boolean, commands: AdmissionCommand[]): void {
  invariant(!state.draining && !state.down, 'no_start_in_drain', () => `"${waiting.id}" would start in a drain or on an endpoint that is down`)
  const alone = state.running.size === 0
  if (!alone) {
    for (const other of state.running.values()) other.alone = false
  }
  state.running.set(waiting.id, {
    id: waiting.id,
    workClass: waiting.workClass,
    startedMs: nowMs,
    deadlineMs: waiting.deadlineMs,
    phase: 'running',
    preemptions: waiting.preemptions,
    isProtected: waiting.workClass === 'batch' && mayProtect(state, waiting),
    isPrefilling: true,
    isolated,
    soloFirstToken: waiting.soloFirstToken,
    alone: alone && !waiting.started
  })
  commands.push({ kind: waiting.started ? 'resume' : 'start', id: waiting.id })
}

// An item that has been preempted often runs to completion. The number of such items is bounded, since online work waits for them.
function mayProtect (state: AdmissionState, waiting: WaitingAttempt): boolean {
  if (waiting.preemptions < state.options.maxPreemptions) return false
  const bound = Math.max(1, Math.floor(state.options.slots * state.options.protectedSharePercent / 100))
  return countRunning(state).protectedBatch < bound
}

/**
 * Preempts the batch items above a limit.
 *
 * @param state - state of the endpoint; modified in place
 * @param limit - number of items that may keep running
 * @param commands - receives the preempt commands
 */
export function preemptExcessBatch (state: AdmissionState, limit: number, commands: AdmissionCommand[]): void {
  const counts = countRunning(state)
  preemptBatch(state, counts.batch - counts.preempting - limit, commands)
}

/**
 * Preempts the batch items whose prefill would delay the prefill of an online request.
 *
 * @param state - state of the endpoint; modified in place
 * @param commands - receives the preempt commands
 */
export function preemptPrefilling (state: AdmissionState, commands: AdmissionCommand[]): void {
  if (!state.options.preemptible) return
  preempt([...state.running.values()].filter(attempt => mayPreempt(attempt) && attempt.isPrefilling), commands)
}

function preemptBatch (state: AdmissionState, count: number, commands: AdmissionCommand[]): void {
  if (count <= 0 || !state.options.preemptible) return
  preempt([...state.running.values()].filter(mayPreempt).sort(byCostOfPreemption).slice(0, count), commands)
}

function preempt (victims: RunningAttempt[], commands: AdmissionCommand[]): void {
  for (const victim of victims) {
    victim.phase = 'preempting'
    victim.preemptions++
    commands.push({ kind: 'preempt', id: victim.id })
  }
}

function mayPreempt (attempt: RunningAttempt): boolean {
  return attempt.workClass === 'batch' && attempt.phase === 'running' && !attempt.isProtected && !attempt.isolated && !(attempt.soloFirstToken && attempt.isPrefilling)
}

// Items with the fewest preemptions first, and among those the most recently started.
function byCostOfPreemption (left: RunningAttempt, right: RunningAttempt): number {
  return left.preemptions - right.preemptions || right.startedMs - left.startedMs
}
