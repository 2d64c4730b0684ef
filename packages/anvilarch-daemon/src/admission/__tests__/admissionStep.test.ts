import { type WorkClass } from 'anvilarch-protocol'
import { type AdmissionCommand, admissionLoad, type AdmissionOptions, type AdmissionState, admissionStep, createAdmissionState } from '..'

const POLICY = { firstTokenTargetMs: 1000, interTokenTargetMs: 26, slackSharePercent: 50 }

function endpoint (options: Partial<AdmissionOptions> = {}): AdmissionState {
  return createAdmissionState({ slots: 4, maxQueuedOnline: 4, ...options }, POLICY)
}

function arrive (state: AdmissionState, id: string, workClass: WorkClass, fields: { nowMs?: number, lifetimeMs?: number, isolated?: boolean } = {}): AdmissionCommand[] {
  const { nowMs = 0, lifetimeMs = 60_000, isolated = false } = fields
  return admissionStep(state, { kind: 'arrive', nowMs, id, workClass, deadlineMs: nowMs + lifetimeMs, isolated }).commands
}

function finish (state: AdmissionState, id: string, nowMs: number): AdmissionCommand[] {
  return admissionStep(state, { kind: 'finished', nowMs, id, isComplete: true }).commands
}

function release (state: AdmissionState, id: string, nowMs: number): AdmissionCommand[] {
  return admissionStep(state, { kind: 'released', nowMs, id }).commands
}

function tick (state: AdmissionState, nowMs: number): AdmissionCommand[] {
  return admissionStep(state, { kind: 'tick', nowMs }).commands
}

/** Fills the endpoint with batch items while it is idle. */
function fillWithBatch (state: AdmissionState, count: number): void {
  for (let id = 0; id < count; id++) arrive(state, `b${id}`, 'batch')
  tick(state, 100)
  for (let id = 0; id < count; id++) admissionStep(state, { kind: 'decoding', nowMs: 100, id: `b${id}` })
  expect(state.running.size).toBe(count)
}

describe('admissionStep', () => {
  it('starts online work immediately while slots are free, then queues it, lookups first', () => {
    const state = endpoint({ slots: 1 })
    expect(arrive(state, 'a', 'online')).toEqual([{ kind: 'start', id: 'a' }])
    expect(arrive(state, 'b', 'online')).toEqual([])
    expect(arrive(state, 'c', 'lookup')).toEqual([])
    expect(finish(state, 'a', 10)).toEqual([{ kind: 'start', id: 'c' }])
    expect(finish(state, 'c', 20)).toEqual([{ kind: 'start', id: 'b' }])
  })

  it('rejects a request that would miss its deadline by the measured service time, with a retry time', () => {
    const state = endpoint({ slots: 1 })
    arrive(state, 'a', 'online')
    finish(state, 'a', 2000)
    arrive(state, 'b', 'online', { nowMs: 2000 })
    expect(arrive(state, 'c', 'online', { nowMs: 2000, lifetimeMs: 3000 })).toEqual([{ kind: 'refuse', id: 'c', reason: 'deadline', retryAfterMs: 1600 }])
    expect(arrive(state, 'd', 'online', { nowMs: 2000, lifetimeMs: 4500 })).toEqual([{ kind: 'refuse', id: 'd', reason: 'deadline', retryAfterMs: 400 }])
    expect(arrive(state, 'e', 'online', { nowMs: 2000, lifetimeMs: 5000 })).toEqual([])
  })

  it('rejects online work when its queue is full', () => {
    const state = endpoint({ slots: 1, maxQueuedOnline: 1 })
    arrive(state, 'a', 'online')
    arrive(state, 'b', 'online')
    expect(arrive(state, 'c', 'online')).toMatchObject([{ kind: 'refuse', id: 'c', reason: 'overloaded' }])
  })

  it('gives up a waiting attempt when its deadline passes', () => {
    const state = endpoint({ slots: 1 })
    arrive(state, 'a', 'online')
    arrive(state, 'b', 'online', { lifetimeMs: 50 })
    expect(tick(state, 50)).toEqual([{ kind: 'giveUp', id: 'b', reason: 'deadline', started: false, retryAfterMs: 0 }])
  })

  // Guards against a lookup that waits for a batch item to complete.
  it('preempts batch items when online work arrives, before any latency is measured, and starts it once a slot is free', () => {
    const state = endpoint()
    fillWithBatch(state, 4)
    const preempted = arrive(state, 'a', 'online', { nowMs: 2000 })
    expect(preempted.map(command => command.kind)).toEqual(['preempt', 'preempt', 'preempt'])
    expect(release(state, preempted[0].id, 2001)).toEqual([{ kind: 'start', id: 'a' }])
  })

  // Guards against first tokens of online requests that are delayed by several engine steps, because batch prompts are prefilled first.
  it('limits the batch items in prefill, and preempts them when online work arrives', () => {
    const state = endpoint({ slots: 16 })
    for (let id = 0; id < 8; id++) arrive(state, `b${id}`, 'batch')
    expect(tick(state, 100)).toHaveLength(3)
    expect(admissionStep(state, { kind: 'decoding', nowMs: 110, id: 'b0' }).commands).toEqual([{ kind: 'start', id: 'b4' }])
    state.batchLimit.besideOnline = 16
    expect(arrive(state, 'a', 'online', { nowMs: 120 })).toEqual([
      ...['b1', 'b2', 'b3', 'b4'].map(id => ({ kind: 'preempt', id })), { kind: 'start', id: 'a' }, { kind: 'start', id: 'b5' }
    ])
    expect(release(state, 'b1', 121)).toEqual([])
    expect(admissionStep(state, { kind: 'decoding', nowMs: 130, id: 'b5' }).commands).toEqual([{ kind: 'resume', id: 'b1' }])
  })

  it('resumes preempted items before it starts new ones', () => {
    const state = endpoint({ slots: 1 })
    fillWithBatch(state, 1)
    arrive(state, 'new', 'batch', { nowMs: 1999 })
    arrive(state, 'a', 'online', { nowMs: 2000 })
    release(state, 'b0', 2001)
    expect(finish(state, 'a', 2010)).toEqual([{ kind: 'resume', id: 'b0' }])
  })

  // Guards against a batch item that is preempted repeatedly and never completes.
  it('protects an item that was preempted often until it completes', () => {
    const state = endpoint({ slots: 1, maxPreemptions: 3 })
    fillWithBatch(state, 1)
    let nowMs = 2000
    for (let round = 0; round < 3; round++) {
      expect(arrive(state, `o${round}`, 'online', { nowMs })).toEqual([{ kind: 'preempt', id: 'b0' }])
      release(state, 'b0', nowMs)
      nowMs += 1000
      expect(finish(state, `o${round}`, nowMs)).toEqual([{ kind: 'resume', id: 'b0' }])
    }
    expect(arrive(state, 'last', 'online', { nowMs })).toEqual([])
    expect(finish(state, 'b0', nowMs + 50)).toEqual([{ kind: 'start', id: 'last' }])
  })

  it('runs isolated attempts one at a time, after the running attempts, with no other attempt beside them', () => {
    const state = endpoint()
    arrive(state, 'a', 'online')
    expect(arrive(state, 'alone', 'online', { isolated: true })).toEqual([])
    expect(arrive(state, 'b', 'online')).toEqual([])
    expect(admissionLoad(state)).toMatchObject({ freeOnline: 0, freeBatch: 0 })
    expect(finish(state, 'a', 10)).toEqual([{ kind: 'start', id: 'alone' }])
    expect(arrive(state, 'c', 'online', { nowMs: 11 })).toEqual([])
    expect(arrive(state, 'second', 'online', { nowMs: 12, isolated: true })).toEqual([])
    expect(arrive(state, 'third', 'online', { nowMs: 12, isolated: true, lifetimeMs: 5 })).toMatchObject([{ kind: 'refuse', reason: 'isolated_busy' }])
    expect(state.running.get('alone')?.alone).toBe(true)
    expect(finish(state, 'alone', 20)).toEqual([{ kind: 'start', id: 'second' }])
    expect(finish(state, 'second', 30).map(command => command.kind)).toEqual(['start', 'start'])
  })

  // Guards against an endpoint that starts no work for minutes because an isolated attempt waits for it to be idle.
  it('gives up an isolated attempt that waited too long, and starts the others', () => {
    const state = endpoint({ maxIsolationWaitMs: 500 })
    arrive(state, 'a', 'online')
    arrive(state, 'alone', 'online', { isolated: true })
    arrive(state, 'b', 'online')
    expect(tick(state, 500)).toMatchObject([{ kind: 'giveUp', id: 'alone', reason: 'isolated_busy', started: false }, { kind: 'start', id: 'b' }])
  })

  it('rejects new work in a drain, gives up waiting attempts, and lets running ones finish', () => {
    const state = endpoint({ slots: 2 })
    arrive(state, 'a', 'online')
    arrive(state, 'b', 'online')
    arrive(state, 'c', 'online')
    expect(admissionStep(state, { kind: 'drain', nowMs: 1 }).commands).toMatchObject([{ kind: 'giveUp', id: 'c', reason: 'draining' }])
    expect(arrive(state, 'd', 'online', { nowMs: 2 })).toMatchObject([{ kind: 'refuse', reason: 'draining' }])
    expect([...state.running.keys()]).toEqual(['a', 'b'])
  })

  it('marks an attempt as alone only if no other attempt ran beside it at any time', () => {
    const state = endpoint()
    arrive(state, 'a', 'online')
    expect(state.running.get('a')?.alone).toBe(true)
    arrive(state, 'b', 'online')
    finish(state, 'b', 1)
    expect(state.running.get('a')?.alone).toBe(false)
  })
})

describe('the batch limit', () => {
  it('is all slots while no online work runs', () => {
    const state = endpoint({ slots: 32 })
    tick(state, 100)
    expect(admissionLoad(state).freeBatch).toBe(32)
  })

  it('decreases when a latency of online work exceeds its allowance, and increases when there is room', () => {
    const state = endpoint({ slots: 16 })
    for (let step = 1; step <= 6; step++) tick(state, step * 100)
    arrive(state, 'a', 'online', { nowMs: 1000 })
    const measure = (gapMs: number, fromMs: number): number => {
      for (let sample = 0; sample < 20; sample++) admissionStep(state, { kind: 'interToken', nowMs: fromMs, id: 'a', gapMs })
      tick(state, fromMs + 500)
      return state.batchLimit.limit
    }
    const atArrival = state.batchLimit.limit
    const afterSlow = measure(40, 1000)
    expect(afterSlow).toBeLessThan(atArrival)
    const afterFast = measure(5, 1600)
    expect(afterFast).toBeGreaterThan(afterSlow)
  })

  it('is computed from the step-time model as soon as online work arrives', () => {
    const state = endpoint({ slots: 16 })
    fillWithBatch(state, 1)
    // Steps take 10 ms plus 1 ms for each attempt: half of the slack up to 26 ms fits (26 - 11) / 2 = 7 items.
    for (let sample = 0; sample < 30; sample++) {
      admissionStep(state, { kind: 'interToken', nowMs: 1000, id: 'b0', gapMs: 11 })
    }
    for (let id = 1; id < 16; id++) {
      arrive(state, `b${id}`, 'batch', { nowMs: 1100 })
      admissionStep(state, { kind: 'decoding', nowMs: 1100, id: `b${id}` })
    }
    for (let sample = 0; sample < 30; sample++) {
      admissionStep(state, { kind: 'interToken', nowMs: 1200, id: 'b0', gapMs: 10 + state.running.size })
    }
    state.batchLimit.besideOnline = 16
    arrive(state, 'a', 'online', { nowMs: 3000 })
    expect(state.batchLimit.limit).toBe(7)
  })
})
