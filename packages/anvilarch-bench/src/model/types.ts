/** Types of the simulation of a fleet: code of the daemon with modelled engines, network and arrivals. */
import type { PlacementWeights } from 'anvilarch-serving'

/** Size and load of the fleet. */
export interface FleetModelOptions {
  seed: number
  gateways: number
  engines: number
  slotsPerEngine: number
  /** Online requests a second between bursts, over all gateways. */
  troughPerSecond: number
  /** Online requests a second in bursts, over all gateways. */
  peakPerSecond: number
  troughMs: number
  peakMs: number
  /** Batch items that arrive each second. */
  itemsPerSecond: number
  /** Time from the arrival of an item until it is due. */
  itemDueMs: number
  durationMs: number
  latencyObjectiveMs: number
  weights: PlacementWeights
}

/** Figures of the callers and engines. */
export interface FleetModelFigures {
  requests: number
  /** Share of requests whose first event arrived within the objective. */
  onTimeShare: number
  firstEventP99Ms: number
  newConnectionsPerRequest: number
  itemsDone: number
  /** Share of items that were completed before they were due. */
  itemsInTimeShare: number
  /** Preempted runs of items, for each completed item. */
  cutsPerItem: number
}

/** A simulated online request. */
export interface ModelRequest {
  /** Time from the start in a slot until the first event. */
  promptMs: number
  /** Time that it occupies its slot after the first event. */
  eventsMs: number
  onFirstEvent: () => void
  onEnd: () => void
}

/** A simulated batch item with its remaining run time. */
export interface ModelItem {
  remainingMs: number
  dueAtMs: number
}

/** Items that wait for a slot, shared by all engines. */
export interface ModelBacklog {
  /** @returns the most urgent items, without removing them */
  first: (count: number) => ModelItem[]
  remove: (item: ModelItem) => void
  add: (item: ModelItem) => void
}
