import { type AdmissionCommand, type AdmissionState, admissionLoad, admissionStep, createAdmissionState } from '..'

// Guards against missed deadlines after an endpoint crash: the harmless requests that ran beside the one that caused it, and
// later requests, must complete in time while endpoints are up.

const starts = (commands: AdmissionCommand[]): string[] => commands.filter(command => command.kind === 'start').map(command => command.id)

function endpoint (slots = 4): AdmissionState {
  return createAdmissionState({ slots, maxQueuedOnline: 64, maxIsolationWaitMs: 500 })
}

function arrive (state: AdmissionState, id: string, fields: { solo?: boolean, batch?: boolean, lifetimeMs?: number } = {}): AdmissionCommand[] {
  return admissionStep(state, {
    kind: 'arrive', nowMs: 0, id, workClass: fields.batch === true ? 'batch' : 'online', deadlineMs: fields.lifetimeMs ?? 60_000, isolated: false, soloFirstToken: fields.solo
  }).commands
}

const firstToken = (state: AdmissionState, id: string): string[] => starts(admissionStep(state, { kind: 'decoding', nowMs: 10, id }).commands)

describe('an attempt whose prompt must be prefilled alone', () => {
  it('starts beside attempts that have their first token, and delays others only until its own first token', () => {
    const state = endpoint()
    arrive(state, 'a')
    firstToken(state, 'a')
    expect(starts(arrive(state, 'suspect', { solo: true }))).toEqual(['suspect'])
    expect(starts(arrive(state, 'b'))).toEqual([])
    expect(firstToken(state, 'suspect')).toEqual(['b'])
  })

  it('waits for prompts in prefill, and lets no other prompt start before it', () => {
    const state = endpoint()
    arrive(state, 'a')
    expect(starts(arrive(state, 'suspect', { solo: true }))).toEqual([])
    expect(starts(arrive(state, 'b'))).toEqual([])
    expect(firstToken(state, 'a')).toEqual(['suspect'])
  })

  it('alternates with other work, so that neither waits for all of the other', () => {
    const state = endpoint(8)
    for (const id of ['s1', 's2', 's3']) arrive(state, id, { solo: true })
    for (const id of ['a', 'b']) arrive(state, id)
    expect(firstToken(state, 's1')).toEqual(['a', 'b'])
    arrive(state, 'c')
    expect(firstToken(state, 'a')).toEqual([])
    expect(firstToken(state, 'b')).toEqual(['s2'])
    expect(firstToken(state, 's2')).toEqual(['c'])
    expect(firstToken(state, 'c')).toEqual(['s3'])
  })

  it('is followed by the next one when no other work waits', () => {
    const state = endpoint()
    for (const id of ['s1', 's2', 's3']) arrive(state, id, { solo: true })
    expect(firstToken(state, 's1')).toEqual(['s2'])
    expect(firstToken(state, 's2')).toEqual(['s3'])
  })

  it('unblocks the endpoint when it ends without a token', () => {
    const state = endpoint()
    arrive(state, 'suspect', { solo: true })
    arrive(state, 'a')
    expect(starts(admissionStep(state, { kind: 'finished', nowMs: 5, id: 'suspect', isComplete: false }).commands)).toEqual(['a'])
  })

  it('preempts a batch item for its slot, and is not preempted itself before its first token', () => {
    const state = endpoint(1)
    arrive(state, 'item', { batch: true })
    firstToken(state, 'item')
    expect(arrive(state, 'suspect', { solo: true, batch: true })).toEqual([{ kind: 'preempt', id: 'item' }])
    expect(starts(admissionStep(state, { kind: 'released', nowMs: 6, id: 'item' }).commands)).toEqual(['suspect'])
    expect(arrive(state, 'a')).toEqual([])
  })

  it('counts as waiting, is given up at its deadline, and is rejected when it cannot start in time', () => {
    const state = endpoint()
    arrive(state, 'a')
    arrive(state, 'suspect', { solo: true, lifetimeMs: 50 })
    expect(admissionLoad(state)).toMatchObject({ queued: 1, freeOnline: 2 })
    expect(admissionStep(state, { kind: 'tick', nowMs: 60 }).commands).toMatchObject([{ kind: 'giveUp', id: 'suspect', reason: 'deadline', started: false }])
    state.measures.recentFirstTokenMs = 100
    for (const id of ['s1', 's2', 's3']) arrive(state, id, { solo: true })
    expect(arrive(state, 's4', { solo: true, lifetimeMs: 500 })).toMatchObject([{ kind: 'refuse', reason: 'isolated_busy', retryAfterMs: 600 }])
  })
})

describe('the time for which crash suspects block an endpoint', () => {
  it('is one time to first token for each suspect, not one full response', () => {
    // Guards against suspects that each run alone to completion and block the endpoint for all other work.
    const state = endpoint(32)
    const FIRST_TOKEN_MS = 100
    const RESPONSE_MS = 2_000
    for (let index = 0; index < 16; index++) arrive(state, `s${index}`, { solo: true })
    let nowMs = 0
    for (let index = 0; index < 16; index++) {
      nowMs += FIRST_TOKEN_MS
      admissionStep(state, { kind: 'decoding', nowMs, id: `s${index}` })
    }
    expect(state.solo).toEqual([])
    expect(state.running.size).toBe(16)
    expect(nowMs).toBeLessThan(RESPONSE_MS)
  })
})
