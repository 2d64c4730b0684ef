import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import { createLongPolls, type LongPolls } from '../longPolls'

let clock: FakeClock
let longPolls: LongPolls

beforeEach(() => {
  clock = createFakeClock(1000)
  longPolls = createLongPolls(clock)
})

describe('createLongPolls', () => {
  it('aborts long polls sent before or during an outage once a later call gets a response', () => {
    const before = longPolls.begin()
    clock.advance(500)
    longPolls.onNoAnswer(1400)
    const during = longPolls.begin()
    clock.advance(500)
    const after = longPolls.begin()
    longPolls.onResponse(2000)
    expect([before, during, after].map(call => call.signal.aborted)).toEqual([true, true, false])
  })

  it('aborts no long poll while all other calls get responses', () => {
    const { signal } = longPolls.begin()
    clock.advance(500)
    longPolls.onResponse(1500)
    expect(signal.aborted).toBe(false)
  })

  // Guards against repeatedly aborting healthy long polls after an outage, each time that a call from the outage times out.
  it('does not treat the late timeout of a call from an outage as another outage', () => {
    longPolls.onNoAnswer(1000)
    clock.advance(1000)
    longPolls.onResponse(2000)
    const { signal } = longPolls.begin()
    clock.advance(500)
    longPolls.onNoAnswer(1900)
    longPolls.onResponse(2500)
    expect(signal.aborted).toBe(false)
  })

  it('does not abort calls that have ended', () => {
    const { signal, end } = longPolls.begin()
    end()
    clock.advance(100)
    longPolls.onNoAnswer(1000)
    longPolls.onResponse(1100)
    expect(signal.aborted).toBe(false)
  })
})
