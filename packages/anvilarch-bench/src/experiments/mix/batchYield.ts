/** Time that batch work takes to free slots after a burst of online work has begun, from the load reports of the engines. */
import { type Clock, sleep } from 'anvilarch-utils'
import { DEFAULT_ENGINE_OPTIONS, type EngineLoad, type Execution } from 'anvilarch-standins'
import { getJson } from '../../harness/fleetCounters'
import type { BenchFleet } from '../../harness/fleetTypes'

/** Sequences at all engines together at one time. */
export interface LoadSample {
  wallMs: number
  sequences: number
}

/** An interval of wall time. */
export interface WallRange {
  fromMs: number
  toMs: number
}

const SAMPLE_INTERVAL_MS = 25
/** Batch work has yielded when all but this share of its decrease in the burst has taken place. */
const REMAINING_SHARE = 0.1

/**
 * Load reports of the stand-in engine lag by a known time, which is subtracted from the time of each sample.
 *
 * @param fleet - fleet with the engines
 * @param clock - times the samples
 * @param signal - ends the sampling
 * @returns the samples, after the signal
 */
export async function sampleEngineLoads (fleet: BenchFleet, clock: Clock, signal: AbortSignal): Promise<LoadSample[]> {
  const samples: LoadSample[] = []
  const urls = fleet.agents.filter(agent => agent.kind === 'model').map(agent => `${agent.endpoint.url}/load`)
  while (!signal.aborted) {
    const loads = await Promise.all(urls.map(url => getJson<EngineLoad>(url).catch(() => undefined)))
    const sequences = loads.reduce((sum, load) => sum + (load === undefined ? 0 : load.running + load.waiting), 0)
    samples.push({ wallMs: clock.wallMs() - DEFAULT_ENGINE_OPTIONS.loadLagMs, sequences })
    await sleep(clock, SAMPLE_INTERVAL_MS, signal)
  }
  return samples
}

/**
 * @param bursts - bursts of online work
 * @param samples - sequences of online and batch work
 * @param online - executions of online work
 * @returns for each burst before which batch work ran, the time from its start until batch work had yielded
 */
export function yieldTimes (bursts: readonly WallRange[], samples: readonly LoadSample[], online: readonly Execution[]): number[] {
  const batch = samples.map(sample => ({ wallMs: sample.wallMs, count: Math.max(0, sample.sequences - runningAt(online, sample.wallMs)) }))
  return bursts.flatMap(burst => {
    const inBurst = batch.filter(sample => sample.wallMs >= burst.fromMs && sample.wallMs < burst.toMs)
    const before = batch.findLast(sample => sample.wallMs < burst.fromMs)
    if (before === undefined || before.count === 0 || inBurst.length === 0) return []
    const lowest = Math.min(...inBurst.map(sample => sample.count))
    if (lowest >= before.count) return []
    const threshold = lowest + (before.count - lowest) * REMAINING_SHARE
    const yielded = inBurst.find(sample => sample.count <= threshold)
    return yielded === undefined ? [] : [yielded.wallMs - burst.fromMs]
  })
}

function runningAt (executions: readonly Execution[], wallMs: number): number {
  return executions.filter(execution => execution.startedAtMs <= wallMs && (execution.endedAtMs ?? Number.POSITIVE_INFINITY) > wallMs).length
}
