import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import { COUNT_PERIOD_MS } from '../completionCounts'
import { createSuspectTable, CRASH_CORRELATION_MS, type LostRequest, MAX_SUSPECTS, type SuspectTable } from '../suspectTable'

let clock: FakeClock
let table: SuspectTable

beforeEach(() => {
  clock = createFakeClock(100_000)
  table = createSuspectTable(clock, () => clock.nowMs())
})

function lost (fingerprint: string, ...sharedParts: string[]): LostRequest {
  return { fingerprint, sharedParts }
}

function crash (fingerprint: string, startId: string): void {
  table.onConnectionLost(lost(fingerprint), startId)
  clock.advance(200)
  table.onEndpointLost(startId)
}

describe('createSuspectTable', () => {
  // Guards against engines that restart one after another for as long as one caller sends the same request.
  it('quarantines a request that was in progress at the crashes of three starts', () => {
    crash('poison', 'e1@1')
    crash('poison', 'e2@1')
    expect(table.isQuarantined('poison')).toBe(false)
    crash('poison', 'e1@2')
    expect(table.isQuarantined('poison')).toBe(true)
  })

  it('does not quarantine requests that were in progress at one of these crashes', () => {
    for (const startId of ['e1@1', 'e2@1', 'e1@2']) {
      table.onConnectionLost(lost(`harmless at ${startId}`), startId)
      crash('poison', startId)
    }
    expect(table.records().filter(record => table.isQuarantined(record.fingerprint)).map(record => record.fingerprint)).toEqual(['poison'])
  })

  it('does not count lost connections alone as crashes, however many there are', () => {
    for (let index = 0; index < 10; index++) table.onConnectionLost(lost('unlucky'), `e${index}`)
    clock.advance(CRASH_CORRELATION_MS + 1)
    for (let index = 0; index < 10; index++) table.onEndpointLost(`e${index}`)
    expect(table.isEmpty()).toBe(true)
  })

  it('counts a lost connection that is detected after the loss of the endpoint', () => {
    table.onEndpointLost('e1')
    clock.advance(100)
    expect(table.onConnectionLost(lost('late'), 'e1')).toHaveLength(1)
  })

  it('counts each start once', () => {
    for (let index = 0; index < 5; index++) crash('poison', 'e1@1')
    expect(table.records()[0].crashedStarts).toEqual(['e1@1'])
  })

  it('merges records of other gateways', () => {
    crash('poison', 'e1@1')
    table.merge({ fingerprint: 'poison', crashedStarts: ['e2@1', 'e3@1'], lastCrashAtMs: 5 })
    expect(table.isQuarantined('poison')).toBe(true)
  })

  it('evicts the oldest record beyond the limit', () => {
    for (let index = 0; index <= MAX_SUSPECTS; index++) table.merge({ fingerprint: `f${index}`, crashedStarts: ['e'], lastCrashAtMs: 1 })
    expect(table.records()).toHaveLength(MAX_SUSPECTS)
    expect(table.records()[0].fingerprint).toBe('f1')
  })
})

describe('a prompt part', () => {
  function crashWith (fingerprint: string, startId: string, ...parts: string[]): void {
    table.onConnectionLost(lost(fingerprint, ...parts), startId)
    clock.advance(200)
    table.onEndpointLost(startId)
  }

  function quarantined (...parts: string[]): string[] {
    return table.quarantinedParts(parts).map(record => record.fingerprint)
  }

  it('is quarantined after three crashes with different requests', () => {
    for (const index of [1, 2]) crashWith(`r${index}`, `e${index}`, 'bad')
    expect(quarantined('bad')).toEqual([])
    expect(table.hasSuspectPart(['bad'])).toBe(true)
    crashWith('r3', 'e3', 'bad')
    expect(quarantined('bad')).toEqual(['part:bad'])
  })

  // Guards against a subject that is refused because one of its requests was resumed at three engines that crashed.
  it('is not quarantined for one request that was in progress at all crashes', () => {
    for (const startId of ['e1', 'e2', 'e3']) crashWith('r1', startId, 'subject')
    expect(quarantined('subject')).toEqual([])
  })

  // Guards against the refusal of all requests that share a part with those that crash engines.
  it('is not blamed as long as endpoints complete more requests with it than crash', () => {
    for (let index = 0; index < 4; index++) table.onCompleted(['shared'], undefined)
    for (const index of [1, 2, 3]) crashWith(`r${index}`, `e${index}`, 'shared', 'bad')
    expect(quarantined('shared', 'bad')).toEqual(['part:bad'])
  })

  it('is not blamed beside a part that has been completed less', () => {
    table.onCompleted(['shared'], undefined)
    for (const index of [1, 2, 3]) crashWith(`r${index}`, `e${index}`, 'shared', 'bad')
    expect(quarantined('shared', 'bad')).toEqual(['part:bad'])
  })

  it('is no longer taken for sound once its completions are long past', () => {
    for (let index = 0; index < 4; index++) table.onCompleted(['bad'], undefined)
    clock.advance(2 * COUNT_PERIOD_MS + 1)
    for (const index of [1, 2, 3]) crashWith(`r${index}`, `e${index}`, 'bad')
    expect(quarantined('bad')).toEqual(['part:bad'])
  })

  it('is cleared when an endpoint completes a request with it', () => {
    for (const index of [1, 2, 3]) crashWith(`r${index}`, `e${index}`, 'sound')
    expect(table.onCompleted(['sound'], undefined).map(record => record.fingerprint)).toEqual(['part:sound'])
    expect(quarantined('sound')).toEqual([])
  })

  // Guards against a sound part that is refused after a lull, when its completions are long past and its crashes are not.
  it('has its crashes forgotten by a completion, also while it is known to be sound', () => {
    for (let index = 0; index < 9; index++) table.onCompleted(['shared'], undefined)
    table.merge({ fingerprint: 'part:shared', crashedStarts: ['e1', 'e2', 'e3'], lastCrashAtMs: 5, requests: ['r1', 'r2'] })
    expect(table.onCompleted(['shared'], undefined).map(record => record.fingerprint)).toEqual(['part:shared'])
    clock.advance(2 * COUNT_PERIOD_MS + 1)
    expect(quarantined('shared')).toEqual([])
  })

  it('is quarantined by the crashes that several gateways have seen together', () => {
    crashWith('r1', 'e1', 'bad')
    table.merge({ fingerprint: 'part:bad', crashedStarts: ['e2', 'e3'], lastCrashAtMs: 5, requests: ['r2'] })
    expect(quarantined('bad')).toEqual(['part:bad'])
  })
})
