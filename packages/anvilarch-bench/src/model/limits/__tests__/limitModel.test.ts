import fc from 'fast-check'
import { runLimitModel } from '../limitModel'
import type { LimitModelOptions, LimitFault } from '../types'

const FAULTS: LimitFault[] = ['none', 'all_killed', 'third_cut_off', 'limit_lowered']

const USUAL: LimitModelOptions = {
  seed: 1,
  algorithm: 'home',
  gateways: 29,
  ratesPerSecond: [48, 28, 20, 8, 5, 5, 5, 5],
  usualShare: 0.4,
  hotFactor: 10,
  clientsPerAccount: 4,
  lostShare: 0.005,
  fault: 'none',
  durationMs: 12_000,
  bounds: { windowMs: 5000, overrunShare: 0.1, slackRequests: 20 }
}

describe('a rate limit that one gateway counts', () => {
  // Guards against windows in which an account exceeds its limit because datagrams are lost or gateways restarted or cut off.
  it('exceeds an exact counter by no more than the tolerance', async () => {
    const options = fc.record({
      seed: fc.integer({ min: 1, max: 1_000_000 }),
      gateways: fc.integer({ min: 1, max: 40 }),
      hotFactor: fc.integer({ min: 1, max: 20 }),
      clientsPerAccount: fc.integer({ min: 1, max: 60 }),
      lostShare: fc.constantFrom(0, 0.01, 0.1),
      fault: fc.constantFrom(...FAULTS)
    })
    await fc.assert(fc.asyncProperty(options, async change => {
      expect((await runLimitModel({ ...USUAL, ...change })).overrunOfTolerance).toBeLessThanOrEqual(1)
    }), { numRuns: 12, seed: 7 })
  }, 60_000)

  it('hardly refuses requests of accounts within their limits, and decides within milliseconds', async () => {
    const figures = await runLimitModel(USUAL)
    expect(figures.wronglyRefusedShare).toBeLessThan(0.005)
    expect(figures.waitP99Ms).toBeLessThan(30)
  })

  it('sends less than twice the messages with ten times the gateways', async () => {
    const [few, many] = await Promise.all([20, 200].map(async gateways => await runLimitModel({ ...USUAL, gateways, durationMs: 5000 })))
    expect(many.messagesPerSecond).toBeLessThan(2 * few.messagesPerSecond)
  })
})
