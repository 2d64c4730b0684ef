/** Recent latencies on one endpoint: time to first token, time between tokens, and service time of complete responses. */
import type { WorkClass } from 'anvilarch-protocol'

/** Ring buffer with the most recent samples of one quantity. */
export interface SampleRing {
  values: Float64Array
  count: number
  next: number
}

/** Measured latencies of one endpoint. */
export interface Measures {
  firstToken: SampleRing
  interToken: SampleRing
  /** Smoothed service time of complete responses by work class; 0 before the first one. */
  serviceMs: Record<WorkClass, number>
  /** Smoothed time to first token of online work while no batch item ran; 0 before the first sample. */
  baselineFirstTokenMs: number
  /** Smoothed latencies that are reported to gateways. */
  recentFirstTokenMs: number
  recentInterTokenMs: number
}

const RING_SIZE = 64
const SMOOTHING_FACTOR = 0.1

/** @returns measurements without samples */
export function createMeasures (): Measures {
  return {
    firstToken: createRing(),
    interToken: createRing(),
    serviceMs: { lookup: 0, online: 0, batch: 0 },
    baselineFirstTokenMs: 0,
    recentFirstTokenMs: 0,
    recentInterTokenMs: 0
  }
}

function createRing (): SampleRing {
  return { values: new Float64Array(RING_SIZE), count: 0, next: 0 }
}

/**
 * @param ring - receives the sample; a full ring overwrites the oldest
 * @param value - the sample
 */
export function addSample (ring: SampleRing, value: number): void {
  ring.values[ring.next] = value
  ring.next = (ring.next + 1) % RING_SIZE
  ring.count = Math.min(RING_SIZE, ring.count + 1)
}

/** @param ring - emptied, because the conditions under which its samples were taken no longer hold */
export function clearSamples (ring: SampleRing): void {
  ring.count = 0
  ring.next = 0
}

/**
 * @param ring - samples
 * @param fraction - quantile, between 0 and 1
 * @returns value at the quantile, 0 without samples
 */
export function quantile (ring: SampleRing, fraction: number): number {
  if (ring.count === 0) return 0
  const sorted = ring.values.slice(0, ring.count).sort()
  return sorted[Math.min(ring.count - 1, Math.floor(fraction * ring.count))]
}

/**
 * @param previous - last smoothed value, 0 if there is none
 * @param sample - the new sample
 * @returns exponentially smoothed value
 */
export function smooth (previous: number, sample: number): number {
  return previous === 0 ? sample : previous + SMOOTHING_FACTOR * (sample - previous)
}
