/** Effect of the placement weights: the placement code of the daemon in a simulation of engines and bursts. */
import { DEFAULT_PLACEMENT_WEIGHTS, type PlacementWeights } from 'anvilarch-serving'
import type { Experiment, RunContext, Variant, VariantRun } from '../harness/types'
import { runFleetModel } from '../model/fleetModel'
import type { FleetModelOptions } from '../model/types'
import { barsByFigure } from '../plots/resultPlots'

/** A fleet in which bursts take nearly all slots, with batch work for a third of the slots. */
export const BURSTY_FLEET: Omit<FleetModelOptions, 'seed' | 'weights' | 'durationMs'> = {
  gateways: 9,
  engines: 13,
  slotsPerEngine: 8,
  troughPerSecond: 22,
  peakPerSecond: 108,
  troughMs: 3000,
  peakMs: 2200,
  itemsPerSecond: 7,
  itemDueMs: 18_000,
  latencyObjectiveMs: 300
}

export const placement: Experiment = {
  name: 'placement',
  question: 'What are the weights of the placement worth, for requests, items and connections?',
  defaults: { runs: 7, seconds: 31 },
  warmUpMs: 0,
  variants: () => [
    variant('as built', {}),
    variant('items cost a quarter', { batchItem: 0.25 }),
    variant('no idle connections', { idleConnection: 0 }),
    variant('no shared parts', { cachedPrefix: 0 }),
    variant('no own domain', { sameDomain: 0 })
  ],
  aims: [
    { text: 'no more than 1.6 runs of items are cut for each one done', variant: 'as built', figure: 'cutsPerItem', compare: 'value', bound: 'at_most', limit: 1.6 },
    { text: 'no more than 0.3 connections are opened for each request', variant: 'as built', figure: 'newConnectionsPerRequest', compare: 'value', bound: 'at_most', limit: 0.3 }
  ],
  summary: ['onTimeShare', 'firstEventP99Ms', 'cutsPerItem', 'newConnectionsPerRequest', 'itemsInTimeShare'],
  plots: result => [
    barsByFigure(result, { cutsPerItem: 'cuts for each item', newConnectionsPerRequest: 'connections for each request' }, { name: 'placement', title: 'Placement by weights', yLabel: 'count' })
  ]
}

function variant (name: string, change: Partial<PlacementWeights>): Variant {
  return { name, settings: { ...change }, run: context => simulate(context, { ...DEFAULT_PLACEMENT_WEIGHTS, ...change }) }
}

async function simulate ({ round, durationMs }: RunContext, weights: PlacementWeights): Promise<VariantRun> {
  const figures = await runFleetModel({ ...BURSTY_FLEET, seed: round + 1, durationMs, weights })
  return { figures: { ...figures } }
}
