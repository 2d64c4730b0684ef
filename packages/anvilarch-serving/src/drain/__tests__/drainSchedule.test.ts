import fc from 'fast-check'
import { drainSchedule, mayBegin } from '../drainSchedule'

const TIMES = fc.record({ graceMs: fc.nat(20_000), sinceSignalMs: fc.nat(20_000), limitMs: fc.nat(10_000) })

describe('mayBegin', () => {
  it('allows everything before the stop signal', () => {
    expect(mayBegin(undefined, { nowMs: 5, limitAtMs: Infinity })).toBe(true)
  })

  it('allows work after the accepting phase only if its limit is within the drain', () => {
    fc.assert(fc.property(TIMES, ({ graceMs, sinceSignalMs, limitMs }) => {
      const schedule = drainSchedule(1000, graceMs)
      const nowMs = 1000 + sinceSignalMs
      const mayBeCut = nowMs + limitMs > schedule.endAtMs
      expect(mayBegin(schedule, { nowMs, limitAtMs: nowMs + limitMs })).toBe(nowMs < schedule.acceptUntilMs || !mayBeCut)
      expect(schedule.endAtMs).toBeLessThanOrEqual(1000 + graceMs)
      expect(schedule.acceptUntilMs).toBeLessThanOrEqual(schedule.endAtMs)
    }), { seed: 61, numRuns: 1000 })
  })
})
