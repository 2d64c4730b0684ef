import { createHoldTimes } from '../holdTimes'

describe('createHoldTimes', () => {
  it('has no value until there are enough samples, and then follows the mean', () => {
    const times = createHoldTimes()
    for (let index = 0; index < 9; index++) times.onCompleted('s', 700)
    expect(times.holdMs('s')).toBeUndefined()
    times.onCompleted('s', 700)
    expect(times.holdMs('s')).toBe(700)
    for (let index = 0; index < 100; index++) times.onCompleted('s', 1400)
    expect(times.holdMs('s')).toBeGreaterThan(1350)
    expect(times.holdMs('other')).toBeUndefined()
  })
})
