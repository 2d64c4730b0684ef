/** Records latency distributions in an HDR histogram: constant memory, three significant digits for any duration. */
import { build, type Histogram } from 'hdr-histogram-js'

/** Figures of a distribution for reports. */
export interface LatencySummary {
  count: number
  meanMs: number
  p50Ms: number
  p95Ms: number
  p99Ms: number
  p999Ms: number
  maxMs: number
}

/** A distribution of durations. */
export interface LatencyRecorder {
  record: (durationMs: number) => void
  /** @returns the duration that `percent` of the recorded durations do not exceed */
  percentileMs: (percent: number) => number
  count: () => number
  summary: () => LatencySummary
}

const MICROSECONDS_PER_MS = 1000
const HIGHEST_MS = 30 * 60 * 1000

/** @returns an empty distribution */
export function createLatencyRecorder (): LatencyRecorder {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS * MICROSECONDS_PER_MS,
    numberOfSignificantValueDigits: 3
  })
  const percentileMs = (percent: number): number => histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MS
  return {
    record: durationMs => { histogram.recordValue(toMicroseconds(durationMs)) },
    percentileMs,
    count: () => histogram.totalCount,
    summary: () => summarise(histogram, percentileMs)
  }
}

function toMicroseconds (durationMs: number): number {
  const boundedMs = Math.min(Math.max(durationMs, 0), HIGHEST_MS)
  return Math.round(boundedMs * MICROSECONDS_PER_MS)
}

function summarise (histogram: Histogram, percentileMs: (percent: number) => number): LatencySummary {
  const count = histogram.totalCount
  return {
    count,
    meanMs: count === 0 ? 0 : histogram.mean / MICROSECONDS_PER_MS,
    p50Ms: percentileMs(50),
    p95Ms: percentileMs(95),
    p99Ms: percentileMs(99),
    p999Ms: percentileMs(99.9),
    maxMs: histogram.maxValue / MICROSECONDS_PER_MS
  }
}
