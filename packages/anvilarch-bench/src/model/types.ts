/** A fleet in a computation: real decisions, modelled engines, network and arrivals. */
import type { PlacementWeights } from 'anvilarch-serving'

/** Size and load of the fleet. */
export interface FleetModelOptions {
  seed: number
  gateways: number
  engines: number
  slotsPerEngine: number
  /** Online requests a second between bursts, over all gateways. */
  troughPerSecond: number
  /** The same in a burst. */
  peakPerSecond: number
  troughMs: number
  peakMs: number
  /** Batch items that come each second. */
  itemsPerSecond: number
  /** Time from the arrival of an item until it is due. */
  itemDueMs: number
  durationMs: number
  latencyObjectiveMs: number
  weights: PlacementWeights
}

/** What callers and engines saw. */
export interface FleetModelFigures {
  requests: number
  /** Part of the requests whose first event came within the objective. */
  onTimeShare: number
  firstEventP99Ms: number
  newConnectionsPerRequest: number
  itemsDone: number
  /** Part of the items that were done before they were due. */
  itemsInTimeShare: number
  /** Runs of items that gave way to online requests, for each item that was done. */
  cutsPerItem: number
}

/** An online request in the model. */
export interface ModelRequest {
  /** Time until the first event once it has a slot. */
  promptMs: number
  /** Time that it holds its slot after its first event. */
  eventsMs: number
  onFirstEvent: () => void
  onEnd: () => void
}

/** A batch item: what is left of it. */
export interface ModelItem {
  remainingMs: number
  dueAtMs: number
}

/** Items that wait for a slot, shared by all engines. */
export interface ModelBacklog {
  /** @returns the most urgent items, which stay in the backlog */
  first: (count: number) => ModelItem[]
  take: (item: ModelItem) => void
  add: (item: ModelItem) => void
}
