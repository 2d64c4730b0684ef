import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import { createLoadTable, type LoadTable, MAX_SUSPECT_MS, REPORT_MAX_AGE_MS, REPORT_ROUND_TRIP_MS, INITIAL_SUSPECT_MS } from '../loadTable'

let clock: FakeClock
let table: LoadTable

beforeEach(() => {
  clock = createFakeClock(100_000)
  table = createLoadTable(clock)
})

describe('an endpoint that is gone', () => {
  // Guards against this: the memory of a gateway grows with each endpoint that is replaced.
  it('is not known again by the end of a request', () => {
    table.onSent('e')
    table.remove('e')
    table.onEnded('e')
    table.onFailure('e')
    expect(table.loadOf('e')).toEqual({ online: 0, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: Infinity })
  })
})

describe('loadOf', () => {
  it('adds what was sent after the report, and takes off what has ended since', () => {
    table.onReport({ startId: 'e', online: 4, batchRunning: 2, reachable: true })
    clock.advance(20)
    table.onSent('e')
    table.onSent('e')
    table.onEnded('e')
    expect(table.loadOf('e')).toMatchObject({ online: 5, batchRunning: 2, ownInProgress: 1, ageMs: 20 })
  })

  it('keeps what was sent just before a report, which cannot show it yet', () => {
    table.onReport({ startId: 'e', online: 0, batchRunning: 0, reachable: true })
    clock.advance(100)
    table.onSent('e')
    clock.advance(REPORT_ROUND_TRIP_MS / 2)
    table.onReport({ startId: 'e', online: 0, batchRunning: 0, reachable: true })
    expect(table.loadOf('e').online).toBe(1)
  })

  it('goes by own counts when reports are old', () => {
    table.onReport({ startId: 'e', online: 12, batchRunning: 0, reachable: true })
    table.onSent('e')
    clock.advance(REPORT_MAX_AGE_MS + 1)
    expect(table.loadOf('e').online).toBe(1)
  })

  it('suspects an endpoint that its agent cannot reach', () => {
    table.onReport({ startId: 'e', online: 0, batchRunning: 0, reachable: false })
    expect(table.loadOf('e').suspected).toBe(true)
  })

  it('passes an endpoint over for longer with each failure in a row, and not at all after a success', () => {
    table.onSent('e')
    table.onFailure('e')
    clock.advance(INITIAL_SUSPECT_MS + 1)
    expect(table.loadOf('e').suspected).toBe(false)
    for (let index = 0; index < 10; index++) table.onFailure('e')
    clock.advance(MAX_SUSPECT_MS - 1)
    expect(table.loadOf('e').suspected).toBe(true)
    table.onSuccess('e')
    expect(table.loadOf('e').suspected).toBe(false)
  })
})
