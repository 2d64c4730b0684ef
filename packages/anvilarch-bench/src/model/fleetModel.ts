/** Simulates load on a fleet of modelled engines, with the placement and batch code of the daemon, on a simulated clock. */
import { type Clock, createFakeClock, createRandom, type FakeClock, type Random } from 'anvilarch-utils'
import { type Endpoint, itemSortKey } from 'anvilarch-serving'
import { createModelEngine, type ModelEngine } from './modelEngine'
import { createModelGateway, type ModelGateway } from './modelGateway'
import type { FleetModelFigures, FleetModelOptions, ModelBacklog, ModelItem } from './types'

/** Duration of an item of 172 events of 8 tokens at 3.5 ms a token. */
const ITEM_MS = 4700
const ITEM_SPREAD = 0.5

const ARRIVAL_SEED_OFFSET = 1000
const ITEM_SEED_OFFSET = 2000

/** Step of the simulated clock. */
const STEP_MS = 1

const MS_PER_SECOND = 1000

/**
 * @param options - size, load and weights
 * @returns figures of the callers and engines
 */
export async function runFleetModel (options: FleetModelOptions): Promise<FleetModelFigures> {
  const clock = createFakeClock(0)
  const random = createRandom(options.seed)
  // Arrivals have random numbers of their own, so that they are the same with all weights.
  const arrivals = createRandom(options.seed + ARRIVAL_SEED_OFFSET)
  const itemArrivals = createRandom(options.seed + ITEM_SEED_OFFSET)
  const backlog = createBacklog(clock)
  const endpoints = Array.from({ length: options.engines }, (_, index) => createEndpoint(index, options.slotsPerEngine))
  const engineById = new Map<string, ModelEngine>(endpoints.map(endpoint => [endpoint.id, createModelEngine({ clock, slots: options.slotsPerEngine, backlog })]))
  const firstEventMs: number[] = []
  const gateways = Array.from({ length: options.gateways }, () => createModelGateway({
    clock,
    random,
    endpoints,
    engineById,
    gatewayCount: options.gateways,
    weights: options.weights,
    onFirstEvent: afterMs => { firstEventMs.push(afterMs) }
  }))
  let requests = 0
  let items = 0
  scheduleArrivals(clock, arrivals, nowMs => requestRateAt(options, nowMs), options.durationMs, () => {
    requests++
    arrivals.pick(gateways).onArrival()
  })
  scheduleArrivals(clock, itemArrivals, () => options.itemsPerSecond, options.durationMs, () => {
    items++
    backlog.add({ remainingMs: itemArrivals.jitter(ITEM_MS, ITEM_SPREAD), dueAtMs: clock.nowMs() + options.itemDueMs })
  })
  for (let elapsedMs = 0; elapsedMs < options.durationMs + options.itemDueMs; elapsedMs += STEP_MS) await clock.advanceAsync(STEP_MS)

  return figuresOf({ firstEventMs, requests, items, engines: [...engineById.values()], gateways }, options.latencyObjectiveMs)
}

/** Counts of the simulation. */
interface SimulationCounts {
  firstEventMs: number[]
  requests: number
  items: number
  engines: ModelEngine[]
  gateways: ModelGateway[]
}

function figuresOf ({ firstEventMs, requests, items, engines, gateways }: SimulationCounts, latencyObjectiveMs: number): FleetModelFigures {
  const itemsDone = sum(engines.map(engine => engine.counts.itemsDone))
  return {
    requests,
    onTimeShare: firstEventMs.filter(afterMs => afterMs <= latencyObjectiveMs).length / requests,
    firstEventP99Ms: percentile(firstEventMs, 0.99),
    newConnectionsPerRequest: sum(gateways.map(gateway => gateway.counts.newConnections)) / requests,
    itemsDone,
    itemsInTimeShare: sum(engines.map(engine => engine.counts.itemsInTime)) / items,
    cutsPerItem: sum(engines.map(engine => engine.counts.preemptions)) / itemsDone
  }
}

/** Time after which late items may be given up, longer than a play. */
const GIVEN_UP_AFTER_DUE_MS = 600_000

function createBacklog (clock: Clock): ModelBacklog {
  let waiting: ModelItem[] = []
  return {
    first: count => {
      const keyed = waiting.map(item => ({ item, key: itemSortKey({ dueInMs: item.dueAtMs - clock.nowMs(), expiresInMs: item.dueAtMs + GIVEN_UP_AFTER_DUE_MS - clock.nowMs(), remainingMs: item.remainingMs }) }))
      return keyed.sort((a, b) => a.key - b.key).slice(0, count).map(({ item }) => item)
    },
    remove: item => { waiting = waiting.filter(other => other !== item) },
    add: item => { waiting.push(item) }
  }
}

function createEndpoint (index: number, slots: number): Endpoint {
  const id = `e${index}`
  return { id, startId: id, bornAtMs: undefined, service: 's', address: `10.0.${index >> 8}.${index & 255}:80`, failureDomain: `d${index % 4}`, softwareVersion: 'v1', slots, state: 'ready', coldLeftMs: 0, listedVersion: 1 }
}

function requestRateAt (options: FleetModelOptions, nowMs: number): number {
  const phaseMs = nowMs % (options.troughMs + options.peakMs)
  return phaseMs < options.troughMs ? options.troughPerSecond : options.peakPerSecond
}

/** Calls `onArrival` at the times of a Poisson process with the given rate. */
function scheduleArrivals (clock: FakeClock, random: Random, rateAt: (nowMs: number) => number, untilMs: number, onArrival: () => void): void {
  const next = (): void => {
    const gapMs = -Math.log(1 - random.next()) * MS_PER_SECOND / rateAt(clock.nowMs())
    clock.after(gapMs, () => {
      if (clock.nowMs() >= untilMs) return
      onArrival()
      next()
    })
  }
  next()
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}

function percentile (numbers: readonly number[], share: number): number {
  const sorted = [...numbers].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
}
