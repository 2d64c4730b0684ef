import { DEFAULT_PLACEMENT_WEIGHTS, type PlacementWeights } from 'anvilarch-serving'
import { BURSTS } from '../../experiments/placement'
import { playFleetModel } from '../fleetModel'
import type { FleetModelFigures } from '../types'

const PLAYED_MS = 16_000

async function play (change: Partial<PlacementWeights>): Promise<FleetModelFigures> {
  return await playFleetModel({ ...BURSTS, seed: 3, durationMs: PLAYED_MS, weights: { ...DEFAULT_PLACEMENT_WEIGHTS, ...change } })
}

describe('a fleet with bursts of online requests beside batch items', () => {
  it('gives the same figures with the same seed', async () => {
    expect(await play({})).toEqual(await play({}))
  })

  it('serves requests and completes items in time', async () => {
    const figures = await play({})
    expect(figures.onTimeShare).toBeGreaterThan(0.995)
    expect(figures.itemsInTimeShare).toBe(1)
  })

  // Guards against two preempted runs for each completed item, each of which costs a claim, a save and another prefill.
  it('preempts fewer items when slots without an item are preferred', async () => {
    const [now, before] = [await play({}), await play({ batchItem: 0.25 })]
    expect(now.cutsPerItem).toBeLessThan(1.8)
    expect(now.cutsPerItem).toBeLessThan(0.85 * before.cutsPerItem)
  })

  // Guards against opening nearly as many connections as there are requests, on a fleet of many gateways and engines.
  it('opens fewer connections when endpoints with an idle one are preferred', async () => {
    const [now, before] = [await play({}), await play({ idleConnection: 0 })]
    expect(now.newConnectionsPerRequest).toBeLessThan(0.8 * before.newConnectionsPerRequest)
    expect(now.onTimeShare).toBeGreaterThan(before.onTimeShare - 0.002)
  })
})
