import { createFakeClock, type FakeClock, momentNow } from 'anvilarch-utils'
import { createTableFreshness, type TableFreshness } from '../tableFreshness'

const WAIT_MS = 2000

let clock: FakeClock
let freshness: TableFreshness

beforeEach(() => {
  clock = createFakeClock(1000)
  freshness = createTableFreshness(clock, WAIT_MS)
})

/** Records a response that was made some time before it is read. */
function readResponse (delayMs: number, isContinuous: boolean): void {
  const madeAt = momentNow(clock)
  clock.advance(delayMs)
  freshness.onResponse({ madeAt, isContinuous })
}

describe('the copy of a followed table', () => {
  it('has no age before the first response, and is overdue', () => {
    expect([freshness.ageMs(), freshness.answeredAtMs(), freshness.followedSinceMs(), freshness.isOverdue()]).toEqual([Infinity, undefined, undefined, true])
  })

  // Guards against old configurations and keys that are in force, or old lists that are complete, because they have just been read.
  it('is as old as the response, and overdue, when the response was read late', () => {
    readResponse(4, false)
    clock.advance(250)
    readResponse(3000, true)
    expect(freshness.ageMs()).toBe(3000)
    expect(freshness.isOverdue()).toBe(true)
  })

  it('has been followed since the last listing, missed row or overdue response', () => {
    readResponse(4, false)
    const listedAtMs = clock.nowMs()
    readResponse(WAIT_MS, true)
    expect(freshness.followedSinceMs()).toBe(listedAtMs)
    readResponse(4, false)
    expect(freshness.followedSinceMs()).toBe(clock.nowMs())
    clock.advance(10)
    freshness.onMissedRows()
    expect(freshness.followedSinceMs()).toBe(clock.nowMs())
    clock.advance(5000)
    readResponse(4, true)
    expect(freshness.followedSinceMs()).toBe(clock.nowMs())
  })
})
