import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import { createLongPolls, type LongPolls } from '../longPolls'

let clock: FakeClock
let waiting: LongPolls

beforeEach(() => {
  clock = createFakeClock(1000)
  waiting = createLongPolls(clock)
})

describe('createLongPolls', () => {
  it('gives up what was sent before a silence or within it, once a later call is answered', () => {
    const before = waiting.begin()
    clock.advance(500)
    waiting.onNoAnswer(1400)
    const within = waiting.begin()
    clock.advance(500)
    const after = waiting.begin()
    waiting.onAnswer(2000)
    expect([before, within, after].map(call => call.signal.aborted)).toEqual([true, true, false])
  })

  it('leaves calls alone while all others are answered', () => {
    const { signal } = waiting.begin()
    clock.advance(500)
    waiting.onAnswer(1500)
    expect(signal.aborted).toBe(false)
  })

  // Guards against giving up good calls again and again after an outage, each time that one of its calls times out.
  it('does not take the late timeout of a call from within the silence for another one', () => {
    waiting.onNoAnswer(1000)
    clock.advance(1000)
    waiting.onAnswer(2000)
    const { signal } = waiting.begin()
    clock.advance(500)
    waiting.onNoAnswer(1900)
    waiting.onAnswer(2500)
    expect(signal.aborted).toBe(false)
  })

  it('forgets calls that have ended', () => {
    const { signal, end } = waiting.begin()
    end()
    clock.advance(100)
    waiting.onNoAnswer(1000)
    waiting.onAnswer(1100)
    expect(signal.aborted).toBe(false)
  })
})
