/** Collects the results of one class of work. */
import type { RequestResult, RequestOutcome } from '../clients/requestResult'
import { createLatencyRecorder, type LatencyRecorder } from '../statistics/latencyRecorder'
import type { ScheduledRequest } from './openLoop'

/** Counts and latency distributions of one class of work; only measured requests count. */
export interface Collector {
  add: (request: Pick<ScheduledRequest, 'intendedMs' | 'measured'>, result: RequestResult) => void
  outcomes: Record<RequestOutcome, number>
  /** Requests that were not completed, by error code. */
  codes: Record<string, number>
  /** Refusals without `Retry-After`. */
  refusalsWithoutRetryAfter: number
  tokens: number
  promptTokens: number
  cachedTokens: number
  /** From the intended send time. */
  firstToken: LatencyRecorder
  interToken: LatencyRecorder
  /** Completed requests, from the intended send time. */
  total: LatencyRecorder
  /** Refusals, from the intended send time. */
  refusal: LatencyRecorder
  /** Details of the first few requests that were neither completed nor refused. */
  examples: string[]
}

const MAX_EXAMPLES = 5

/** @returns a collector without results */
export function createCollector (): Collector {
  const collector: Collector = {
    add: (request, result) => { if (request.measured) addResult(collector, request.intendedMs, result) },
    outcomes: { completed: 0, refused: 0, failed: 0, incomplete: 0, wrong: 0, unreachable: 0 },
    codes: {},
    refusalsWithoutRetryAfter: 0,
    tokens: 0,
    promptTokens: 0,
    cachedTokens: 0,
    firstToken: createLatencyRecorder(),
    interToken: createLatencyRecorder(),
    total: createLatencyRecorder(),
    refusal: createLatencyRecorder(),
    examples: []
  }
  return collector
}

/** @returns the number of results of all outcomes */
export function resultCount (collector: Collector): number {
  return Object.values(collector.outcomes).reduce((sum, count) => sum + count, 0)
}

/** @returns the number of requests that were neither completed nor refused */
export function errorCount (collector: Collector): number {
  const { failed, incomplete, wrong, unreachable } = collector.outcomes
  return failed + incomplete + wrong + unreachable
}

function addResult (collector: Collector, intendedMs: number, result: RequestResult): void {
  collector.outcomes[result.outcome]++
  collector.tokens += result.tokens
  collector.promptTokens += result.promptTokens
  collector.cachedTokens += result.cachedTokens
  if (result.firstTokenAtMs !== undefined) collector.firstToken.record(result.firstTokenAtMs - intendedMs)
  for (const gapMs of result.gapsMs) collector.interToken.record(gapMs)
  if (result.outcome === 'completed') {
    collector.total.record(result.endedAtMs - intendedMs)
    return
  }
  collector.codes[result.code] = (collector.codes[result.code] ?? 0) + 1
  if (result.outcome === 'refused') {
    collector.refusal.record(result.endedAtMs - intendedMs)
    if (result.retryAfterMs === undefined) collector.refusalsWithoutRetryAfter++
    return
  }
  if (collector.examples.length < MAX_EXAMPLES) collector.examples.push(`${result.outcome} ${result.status} ${result.code}: ${result.detail}`)
}
