import { DEFAULT_PLACEMENT_WEIGHTS, type PlacementWeights } from 'anvilarch-serving'
import { BURSTS } from '../../experiments/placement'
import { playFleetModel } from '../fleetModel'
import type { FleetModelFigures } from '../types'

const PLAYED_MS = 16_000

async function play (change: Partial<PlacementWeights>): Promise<FleetModelFigures> {
  return await playFleetModel({ ...BURSTS, seed: 3, durationMs: PLAYED_MS, weights: { ...DEFAULT_PLACEMENT_WEIGHTS, ...change } })
}

describe('a fleet with bursts of online requests beside batch items', () => {
  it('takes the same course with the same seed', async () => {
    expect(await play({})).toEqual(await play({}))
  })

  it('answers in time and does its items, whatever gives way', async () => {
    const figures = await play({})
    expect(figures.onTimeShare).toBeGreaterThan(0.995)
    expect(figures.itemsInTimeShare).toBe(1)
  })

  // Guards against this: two runs are cut for each item done, each at the price of a claim, a save and a prompt read again.
  it('cuts fewer items when a slot without an item is preferred', async () => {
    const [now, before] = [await play({}), await play({ batchItem: 0.25 })]
    expect(now.cutsPerItem).toBeLessThan(1.8)
    expect(now.cutsPerItem).toBeLessThan(0.85 * before.cutsPerItem)
  })

  // Guards against this: nearly as many connections are opened as there are requests, on a fleet of many gateways and engines.
  it('opens fewer connections when an idle one is preferred', async () => {
    const [now, before] = [await play({}), await play({ idleConnection: 0 })]
    expect(now.newConnectionsPerRequest).toBeLessThan(0.8 * before.newConnectionsPerRequest)
    expect(now.onTimeShare).toBeGreaterThan(before.onTimeShare - 0.002)
  })
})
