import { createFakeClock } from 'anvilarch-utils'
import { createStartBackoff, MIN_BACKOFF_MS, MAX_BACKOFF_MS, backoffMs } from '../startBackoff'

describe('backoffMs', () => {
  it('doubles up to its limit', () => {
    expect([0, 1, 2, 3, 4, 5, 6].map(backoffMs)).toEqual([0, 40, 80, 160, 320, 640, 640])
  })
})

describe('createStartBackoff', () => {
  it('allows a start only after the backoff', () => {
    const clock = createFakeClock()
    const backoff = createStartBackoff(clock)
    expect(backoff.mayStart()).toBe(true)
    backoff.onFailedStart()
    clock.advance(MIN_BACKOFF_MS - 1)
    expect(backoff.mayStart()).toBe(false)
    clock.advance(1)
    expect(backoff.mayStart()).toBe(true)
    for (let run = 0; run < 10; run++) {
      clock.advance(MAX_BACKOFF_MS)
      backoff.onFailedStart()
    }
    clock.advance(MAX_BACKOFF_MS - 1)
    expect(backoff.mayStart()).toBe(false)
  })

  it('counts starts that fail together once', () => {
    const clock = createFakeClock()
    const backoff = createStartBackoff(clock)
    for (let run = 0; run < 7; run++) backoff.onFailedStart()
    clock.advance(MIN_BACKOFF_MS)
    expect(backoff.mayStart()).toBe(true)
  })

  it('resets after an event', () => {
    const backoff = createStartBackoff(createFakeClock())
    backoff.onFailedStart()
    backoff.onEvent()
    expect(backoff.mayStart()).toBe(true)
  })
})
