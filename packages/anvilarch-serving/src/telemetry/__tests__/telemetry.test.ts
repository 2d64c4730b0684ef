import { Writable } from 'node:stream'
import { createFakeClock } from 'anvilarch-utils'
import { createBoundedLog } from '../boundedLog'
import { createLogRateLimiter } from '../logRateLimiter'
import { createServingMetrics } from '../metrics'

describe('createLogRateLimiter', () => {
  it('bounds the lines of each second', () => {
    const clock = createFakeClock()
    const budget = createLogRateLimiter(clock, 3)
    const taken = (): number => Array.from({ length: 10 }, () => budget.tryAcquire()).filter(Boolean).length
    expect(taken()).toBe(3)
    clock.advance(999)
    expect(taken()).toBe(0)
    clock.advance(1)
    expect(taken()).toBe(3)
  })
})

describe('createBoundedLog', () => {
  // Guards against this: all requests of a process stand still.
  it('drops and counts lines while their reader stalls, and never waits', async () => {
    const metrics = createServingMetrics()
    const stalled = new Writable({ write: () => {} })
    const write = createBoundedLog(stalled, metrics.logLinesDropped)
    for (let index = 0; index < 3000; index++) write('x'.repeat(1000))
    expect(stalled.writableLength).toBeLessThan(1.1 * 1024 * 1024)
    const [dropped] = (await metrics.logLinesDropped.get()).values
    expect(dropped.value).toBeGreaterThan(1900)
  })
})
