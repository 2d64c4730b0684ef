import * as fc from 'fast-check'
import { createFakeClock } from 'anvilarch-utils'
import { createDrainGate, drainTimes, isRun } from '../drainGate'

const optionsOf = fc.record({ readinessLeadMs: fc.nat(3_000), drainTimeoutMs: fc.nat(60_000) })

describe('the gate of a drain', () => {
  it('lets every request pass while there is no drain', () => {
    expect(isRun(undefined, 5_000, Infinity)).toBe(true)
  })

  // Guards against requests that are read late in a drain, run, and cut at its end.
  it('runs a request after the readiness lead only if it is answered before the drain ends', () => {
    fc.assert(fc.property(optionsOf, fc.nat(70_000), fc.nat(70_000), (options, completeAtMs, timeoutMs) => {
      const times = drainTimes(0, options)
      const deadlineMs = completeAtMs + timeoutMs
      const runs = isRun(times, completeAtMs, deadlineMs)
      if (completeAtMs < options.readinessLeadMs) expect(runs).toBe(true)
      else expect(runs).toBe(deadlineMs < times.cutAtMs - 999)
    }), { seed: 61, numRuns: 300 })
  })

  it('rejects incomplete requests before it cuts, and no request that may still be run unconditionally', () => {
    fc.assert(fc.property(optionsOf, options => {
      const times = drainTimes(0, options)
      expect(times.rejectUnreadAtMs).toBeGreaterThanOrEqual(times.acceptUntilMs)
      expect(times.rejectUnreadAtMs).toBeLessThanOrEqual(times.cutAtMs)
    }), { seed: 61 })
  })

  it('says that a rejected request was not run, and when to send it again', () => {
    const clock = createFakeClock()
    const gate = createDrainGate(clock)
    gate.check(Infinity)
    gate.startDrain({ readinessLeadMs: 1_000, drainTimeoutMs: 5_000 })
    gate.check(Infinity)
    clock.advance(1_000)
    gate.check(clock.nowMs() + 4_000)
    expect(() => { gate.check(clock.nowMs() + 4_001) }).toThrow(expect.objectContaining({ code: 'draining', ran: 'not_run', retryAfterMs: 1_000 }))
    expect(gate.unreadRejected.aborted).toBe(false)
    clock.advance(4_000)
    expect(gate.unreadRejected.reason).toMatchObject({ code: 'draining', ran: 'not_run' })
    gate.close()
  })
})
