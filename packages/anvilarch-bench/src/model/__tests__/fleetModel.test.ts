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
})
