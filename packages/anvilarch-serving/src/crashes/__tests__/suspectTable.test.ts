import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import { createSuspectTable, CRASH_CORRELATION_MS, MAX_SUSPECTS, type SuspectTable } from '../suspectTable'

let clock: FakeClock
let table: SuspectTable

beforeEach(() => {
  clock = createFakeClock(100_000)
  table = createSuspectTable(clock, () => clock.nowMs())
})

function crash (fingerprint: string, startId: string): void {
  table.onConnectionLost(fingerprint, startId)
  clock.advance(200)
  table.onEndpointLost(startId)
}

describe('createSuspectTable', () => {
  // Guards against this: engines restart one after another for as long as one caller sends the same request.
  it('quarantines a request that has been in the crashes of three starts', () => {
    crash('poison', 'e1@1')
    crash('poison', 'e2@1')
    expect(table.isQuarantined('poison')).toBe(false)
    crash('poison', 'e1@2')
    expect(table.isQuarantined('poison')).toBe(true)
  })

  it('leaves those alone that were lost beside it once', () => {
    for (const startId of ['e1@1', 'e2@1', 'e1@2']) {
      table.onConnectionLost(`harmless at ${startId}`, startId)
      crash('poison', startId)
    }
    expect(table.records().filter(record => table.isQuarantined(record.fingerprint)).map(record => record.fingerprint)).toEqual(['poison'])
  })

  it('takes a broken connection alone for no crash, however often it breaks', () => {
    for (let index = 0; index < 10; index++) table.onConnectionLost('unlucky', `e${index}`)
    clock.advance(CRASH_CORRELATION_MS + 1)
    for (let index = 0; index < 10; index++) table.onEndpointLost(`e${index}`)
    expect(table.isEmpty()).toBe(true)
  })

  it('counts a break that is noticed after the loss of the endpoint', () => {
    table.onEndpointLost('e1')
    clock.advance(100)
    expect(table.onConnectionLost('late', 'e1')).toHaveLength(1)
  })

  it('counts one start once', () => {
    for (let index = 0; index < 5; index++) crash('poison', 'e1@1')
    expect(table.records()[0].crashedStarts).toEqual(['e1@1'])
  })

  it('adds what other gateways have seen', () => {
    crash('poison', 'e1@1')
    table.merge({ fingerprint: 'poison', crashedStarts: ['e2@1', 'e3@1'], lastCrashAtMs: 5 })
    expect(table.isQuarantined('poison')).toBe(true)
  })

  it('keeps a bounded number of records', () => {
    for (let index = 0; index <= MAX_SUSPECTS; index++) table.merge({ fingerprint: `f${index}`, crashedStarts: ['e'], lastCrashAtMs: 1 })
    expect(table.records()).toHaveLength(MAX_SUSPECTS)
    expect(table.records()[0].fingerprint).toBe('f1')
  })
})
