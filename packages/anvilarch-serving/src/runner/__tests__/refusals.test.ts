import { createFakeClock } from 'anvilarch-utils'
import { createRefusals, FIRST_PAUSE_MS, LONGEST_PAUSE_MS, pauseAfterMs } from '../refusals'

describe('pauseAfterMs', () => {
  it('doubles up to its limit', () => {
    expect([0, 1, 2, 3, 4, 5, 6].map(pauseAfterMs)).toEqual([0, 40, 80, 160, 320, 640, 640])
  })
})

describe('createRefusals', () => {
  it('lets something start only after the pause', () => {
    const clock = createFakeClock()
    const refusals = createRefusals(clock)
    expect(refusals.mayStart()).toBe(true)
    refusals.onFruitless()
    clock.advance(FIRST_PAUSE_MS - 1)
    expect(refusals.mayStart()).toBe(false)
    clock.advance(1)
    expect(refusals.mayStart()).toBe(true)
    for (let run = 0; run < 10; run++) {
      clock.advance(LONGEST_PAUSE_MS)
      refusals.onFruitless()
    }
    clock.advance(LONGEST_PAUSE_MS - 1)
    expect(refusals.mayStart()).toBe(false)
  })

  it('counts what fails together once', () => {
    const clock = createFakeClock()
    const refusals = createRefusals(clock)
    for (let run = 0; run < 7; run++) refusals.onFruitless()
    clock.advance(FIRST_PAUSE_MS)
    expect(refusals.mayStart()).toBe(true)
  })

  it('forgets refusals after an event', () => {
    const refusals = createRefusals(createFakeClock())
    refusals.onFruitless()
    refusals.onEvent()
    expect(refusals.mayStart()).toBe(true)
  })
})
