/**
 * State machine of admission. The state passed in is modified in place and returned, because a copy for each token
 * would cost more than the decision; otherwise a step depends on its arguments alone.
 */
import { DEFAULT_ADMISSION_OPTIONS, type AdmissionCommand, type AdmissionEvent, type AdmissionOptions, type AdmissionState, type AdmissionStep } from './types'
import { type BatchPolicy, DEFAULT_BATCH_POLICY } from 'anvilarch-configuration'
import { admitArrival } from './arrivals'
import { adjustBatchLimit, createBatchLimit } from './batchLimit'
import { addSample, createMeasures, smooth } from './measures'
import { preemptExcessBatch, startWaitingAttempts } from './scheduling'
import { addStepTime } from './stepTime'
import { assertAdmission } from './assertions'
import { batchLimitInput, countRunning } from './counts'
import { expireWaiting, giveUpAll } from './waiting'

/**
 * @param options - tuning options; missing ones get their defaults
 * @param policy - how batch work shares the endpoint, until the configuration provides the policy of the service
 * @returns state of an idle endpoint
 */
export function createAdmissionState (options: Partial<AdmissionOptions>, policy: BatchPolicy = DEFAULT_BATCH_POLICY): AdmissionState {
  const all = { ...DEFAULT_ADMISSION_OPTIONS, ...options }
  return {
    options: all,
    policy,
    running: new Map(),
    online: [],
    batch: [],
    isolated: [],
    solo: [],
    soloTurn: true,
    draining: false,
    isReturningBatch: false,
    down: false,
    measures: createMeasures(),
    batchLimit: createBatchLimit(all.slots)
  }
}

type Handler<Kind extends AdmissionEvent['kind']> = (state: AdmissionState, event: Extract<AdmissionEvent, { kind: Kind }>, commands: AdmissionCommand[]) => void

const HANDLERS: { [Kind in AdmissionEvent['kind']]: Handler<Kind> } = {
  arrive: admitArrival,
  firstToken: onFirstToken,
  decoding: (state, event) => {
    const attempt = state.running.get(event.id)
    if (attempt !== undefined) attempt.isPrefilling = false
  },
  interToken: onInterToken,
  released: onReleased,
  finished: onFinished,
  cancelled: onCancelled,
  tick: onTick,
  drain: (state, event, commands) => {
    state.draining = true
    giveUpAll(state, 'draining', commands)
  },
  returnBatch: (state, event, commands) => {
    state.isReturningBatch = true
    preemptExcessBatch(state, 0, commands)
  },
  endpointDown: (state, event, commands) => {
    state.down = true
    giveUpAll(state, 'endpoint_down', commands)
  },
  endpointUp: state => { state.down = false },
  policy: (state, event) => { state.policy = event.policy }
}

/** Per-token events. They never make a waiting attempt startable, so the scheduler is not run after them. */
const PER_TOKEN_EVENTS: ReadonlySet<AdmissionEvent['kind']> = new Set(['firstToken', 'interToken'])

/**
 * @param state - state of the endpoint; modified in place
 * @param event - event to process
 * @returns the state and the commands to execute, in order
 */
export function admissionStep (state: AdmissionState, event: AdmissionEvent): AdmissionStep {
  const commands: AdmissionCommand[] = []
  const handle = HANDLERS[event.kind] as Handler<typeof event.kind>
  handle(state, event as never, commands)
  if (!PER_TOKEN_EVENTS.has(event.kind)) {
    startWaitingAttempts(state, event.nowMs, commands)
    assertAdmission(state)
  }
  return { state, commands }
}

function onFirstToken (state: AdmissionState, event: Extract<AdmissionEvent, { kind: 'firstToken' }>): void {
  const attempt = state.running.get(event.id)
  if (attempt === undefined || attempt.workClass === 'batch') return
  addSample(state.measures.firstToken, event.sinceStartMs)
  state.measures.recentFirstTokenMs = smooth(state.measures.recentFirstTokenMs, event.sinceStartMs)
  if (countRunning(state).batch === 0) state.measures.baselineFirstTokenMs = smooth(state.measures.baselineFirstTokenMs, event.sinceStartMs)
}

function onInterToken (state: AdmissionState, event: Extract<AdmissionEvent, { kind: 'interToken' }>): void {
  const attempt = state.running.get(event.id)
  if (attempt === undefined) return
  addStepTime(state.batchLimit.fit, state.running.size, event.gapMs)
  state.measures.recentInterTokenMs = smooth(state.measures.recentInterTokenMs, event.gapMs)
  if (attempt.workClass !== 'batch') addSample(state.measures.interToken, event.gapMs)
}

function onReleased (state: AdmissionState, event: Extract<AdmissionEvent, { kind: 'released' }>, commands: AdmissionCommand[]): void {
  const attempt = state.running.get(event.id)
  if (attempt === undefined || attempt.phase !== 'preempting') return
  state.running.delete(event.id)
  const waiting = { id: attempt.id, workClass: attempt.workClass, deadlineMs: attempt.deadlineMs, preemptions: attempt.preemptions, started: true, soloFirstToken: false }
  if (state.draining || state.down) {
    commands.push({ kind: 'giveUp', id: event.id, reason: state.down ? 'endpoint_down' : 'draining', started: true, retryAfterMs: 0 })
    return
  }
  // Queued after the other preempted items and before items that have not run yet.
  const firstNeverStarted = state.batch.findIndex(other => !other.started)
  state.batch.splice(firstNeverStarted === -1 ? state.batch.length : firstNeverStarted, 0, waiting)
}

function onFinished (state: AdmissionState, event: Extract<AdmissionEvent, { kind: 'finished' }>): void {
  const attempt = state.running.get(event.id)
  if (attempt === undefined) return
  state.running.delete(event.id)
  if (!event.isComplete || attempt.preemptions > 0) return
  const { serviceMs } = state.measures
  serviceMs[attempt.workClass] = smooth(serviceMs[attempt.workClass], Math.max(1, event.nowMs - attempt.startedMs))
}

function onCancelled (state: AdmissionState, event: Extract<AdmissionEvent, { kind: 'cancelled' }>): void {
  state.online = state.online.filter(waiting => waiting.id !== event.id)
  state.batch = state.batch.filter(waiting => waiting.id !== event.id)
  state.isolated = state.isolated.filter(({ attempt }) => attempt.id !== event.id)
  state.solo = state.solo.filter(waiting => waiting.id !== event.id)
}

function onTick (state: AdmissionState, event: Extract<AdmissionEvent, { kind: 'tick' }>, commands: AdmissionCommand[]): void {
  expireWaiting(state, event.nowMs, commands)
  adjustBatchLimit(state.batchLimit, batchLimitInput(state, event.nowMs))
  preemptExcessBatch(state, state.batchLimit.limit, commands)
}
