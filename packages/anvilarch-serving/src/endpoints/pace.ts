/**
 * Compares the paces of endpoints. Pure.
 *
 * Load: endpoints of one service that differ in pace, some of them only for a second. A free slot of a slow endpoint is worth
 * less than one of a quick endpoint, and events that come further apart than declared make a stream late.
 */
import type { EndpointLoad } from './loadTable'

/** Paces within this factor of each other count as equal: the interval between two events also grows with the requests at an endpoint. */
export const EQUAL_PACE_FACTOR = 1.5

/**
 * @param loads - loads of endpoints of one service
 * @returns the lower median of the known event intervals, in ms; undefined if none is known
 */
export function typicalIntervalMs (loads: readonly EndpointLoad[]): number | undefined {
  const known = loads.flatMap(({ eventIntervalMs }) => eventIntervalMs === undefined ? [] : [eventIntervalMs]).sort((a, b) => a - b)
  return known[Math.floor((known.length - 1) / 2)]
}

/**
 * @param load - load of an endpoint
 * @param typicalMs - event interval of a typical endpoint
 * @returns how many times as long as at a typical endpoint a request takes; 1 if the paces count as equal or one is unknown
 */
export function paceFactor (load: EndpointLoad, typicalMs: number | undefined): number {
  if (load.eventIntervalMs === undefined || typicalMs === undefined || typicalMs <= 0) return 1
  const factor = load.eventIntervalMs / typicalMs
  return factor > EQUAL_PACE_FACTOR || factor < 1 / EQUAL_PACE_FACTOR ? factor : 1
}

/**
 * @param load - load of an endpoint
 * @param gapObjectiveMs - longest pause between two events that counts as on time; 0 if there is no such objective
 * @returns whether events of the endpoint come further apart than the objective allows
 */
export function exceedsGapObjective (load: EndpointLoad, gapObjectiveMs: number): boolean {
  return gapObjectiveMs > 0 && load.eventIntervalMs !== undefined && load.eventIntervalMs > gapObjectiveMs
}
