import { DEFAULT_PLACEMENT_WEIGHTS, type PlacementWeights } from 'anvilarch-serving'
import { BURSTY_FLEET } from '../../experiments/placement'
import { runFleetModel } from '../fleetModel'
import type { FleetModelFigures } from '../types'

const SIMULATED_MS = 16_000

async function simulate (change: Partial<PlacementWeights>): Promise<FleetModelFigures> {
  return await runFleetModel({ ...BURSTY_FLEET, seed: 3, durationMs: SIMULATED_MS, weights: { ...DEFAULT_PLACEMENT_WEIGHTS, ...change } })
}

describe('a fleet with bursts of online requests beside batch items', () => {
  it('gives the same figures with the same seed', async () => {
    expect(await simulate({})).toEqual(await simulate({}))
  })

  it('serves requests and completes items in time', async () => {
    const figures = await simulate({})
    expect(figures.onTimeShare).toBeGreaterThan(0.995)
    expect(figures.itemsInTimeShare).toBe(1)
  })

  // Guards against two preempted runs for each completed item, each of which costs a claim, a save and another prefill.
  it('preempts fewer items when slots without an item are preferred', async () => {
    const [now, before] = [await simulate({}), await simulate({ batchItem: 0.25 })]
    expect(now.cutsPerItem).toBeLessThan(1.8)
    expect(now.cutsPerItem).toBeLessThan(0.85 * before.cutsPerItem)
  })

  // Guards against opening nearly as many connections as there are requests, on a fleet of many gateways and engines.
  it('opens fewer connections when endpoints with an idle one are preferred', async () => {
    const [now, before] = [await simulate({}), await simulate({ idleConnection: 0 })]
    expect(now.newConnectionsPerRequest).toBeLessThan(0.8 * before.newConnectionsPerRequest)
    expect(now.onTimeShare).toBeGreaterThan(before.onTimeShare - 0.002)
  })
})
