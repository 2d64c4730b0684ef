import { createFakeClock } from 'anvilarch-utils'
import { createStartBackoff, MIN_BACKOFF_MS, MAX_BACKOFF_MS, backoffMs } from '../startBackoff'

describe('backoffMs', () => {
  it('doubles up to its limit', () => {
    expect([0, 1, 2, 3, 4, 5, 6].map(backoffMs)).toEqual([0, 40, 80, 160, 320, 640, 640])
  })
})

describe('createStartBackoff', () => {
  it('lets something start only after the pause', () => {
    const clock = createFakeClock()
    const refusals = createStartBackoff(clock)
    expect(refusals.mayStart()).toBe(true)
    refusals.onFailedStart()
    clock.advance(MIN_BACKOFF_MS - 1)
    expect(refusals.mayStart()).toBe(false)
    clock.advance(1)
    expect(refusals.mayStart()).toBe(true)
    for (let run = 0; run < 10; run++) {
      clock.advance(MAX_BACKOFF_MS)
      refusals.onFailedStart()
    }
    clock.advance(MAX_BACKOFF_MS - 1)
    expect(refusals.mayStart()).toBe(false)
  })

  it('counts what fails together once', () => {
    const clock = createFakeClock()
    const refusals = createStartBackoff(clock)
    for (let run = 0; run < 7; run++) refusals.onFailedStart()
    clock.advance(MIN_BACKOFF_MS)
    expect(refusals.mayStart()).toBe(true)
  })

  it('forgets refusals after an event', () => {
    const refusals = createStartBackoff(createFakeClock())
    refusals.onFailedStart()
    refusals.onEvent()
    expect(refusals.mayStart()).toBe(true)
  })
})
