import { sleep } from '../clock'
import { createFakeClock } from '../fakeClock'

describe('createFakeClock', () => {
  it('fires timers in the order in which they come due', () => {
    const clock = createFakeClock()
    const fired: string[] = []
    clock.after(20, () => fired.push('late'))
    clock.after(10, () => fired.push('early'))
    clock.after(10, () => fired.push('early, set second'))
    clock.advance(20)
    expect(fired).toEqual(['early', 'early, set second', 'late'])
  })

  it('fires a timer set by another one within the same advance', () => {
    const clock = createFakeClock()
    const firedAtMs: number[] = []
    clock.after(5, () => { clock.after(5, () => firedAtMs.push(clock.nowMs())) })
    clock.advance(30)
    expect(firedAtMs).toEqual([10])
    expect(clock.nowMs()).toBe(30)
  })

  it('does not fire a cancelled timer', () => {
    const clock = createFakeClock()
    let fired = false
    clock.after(5, () => { fired = true }).cancel()
    clock.advance(10)
    expect(fired).toBe(false)
  })
})

describe('sleep', () => {
  it('ends early when its signal aborts, and cancels its timer', async () => {
    const clock = createFakeClock()
    const controller = new AbortController()
    const slept = sleep(clock, 1000, controller.signal)
    controller.abort()
    await slept
    expect(clock.pendingCount()).toBe(0)
  })
})
