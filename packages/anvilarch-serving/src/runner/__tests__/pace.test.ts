import { createPace } from '../pace'

describe('createPace', () => {
  it('tells the time left from events and tokens of items that have ended', () => {
    const pace = createPace()
    expect(pace.remainingMs(2000, 0)).toBe(0)
    pace.onRun(200, 4000)
    pace.onItem(2000, 200)
    expect(pace.remainingMs(2000, 0)).toBe(4000)
    expect(pace.remainingMs(2000, 150)).toBe(1000)
    expect(pace.remainingMs(2000, 300)).toBe(0)
    expect(pace.remainingMs(2000, 0, 100)).toBe(20_000)
    expect(pace.eventMs()).toBe(20)
  })

  it('learns nothing from runs of a few events', () => {
    const pace = createPace()
    pace.onRun(2, 1000)
    pace.onItem(100, 10)
    expect(pace.remainingMs(100, 0)).toBe(0)
  })
})
