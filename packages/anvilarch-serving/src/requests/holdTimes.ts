/** Measures how long endpoints of a service take: how long requests hold a slot, how soon they are answered, and how far events are apart. */
import { createRecentLongest, type RecentLongest } from 'anvilarch-utils'
import type { Route } from '../model/types'

/** Times of an attempt until its first event or its plain response. */
export interface AnswerTime {
  service: string
  kind: Route['kind']
  /** Time since the send, the wait for a slot included. */
  elapsedMs: number
  /** Wait for a slot that was expected at the send. */
  expectedWaitMs: number
}

/** Times by service: moving averages, and the longest of the last ones. */
export interface HoldTimes {
  /** Counts a completed request that held a slot for some time, and the tokens that it could generate; 0 if these are not known. */
  onCompleted: (service: string, elapsedMs: number, outputTokens: number) => void
  /** Counts the first event or the plain response of an endpoint. */
  onAnswered: (time: AnswerTime) => void
  /** Counts the time between two events of a stream. */
  onEventGap: (service: string, gapMs: number) => void
  /** @returns the mean time for which requests hold a slot; undefined until there are enough samples */
  holdMs: (service: string) => number | undefined
  /** @returns the time for which a request of this size is expected to hold a slot; undefined until there are enough samples */
  workMs: (service: string, outputTokens: number) => number | undefined
  /** @returns the mean time to the first event or plain response; undefined until there are enough samples */
  answerMs: (service: string) => number | undefined
  /** @returns the mean time to the first event or plain response beyond the expected wait; undefined until there are enough samples */
  runMs: (service: string, kind: Route['kind']) => number | undefined
  /** @returns the longest of the last of these times; undefined until there are enough samples */
  longestRunMs: (service: string, kind: Route['kind']) => number | undefined
  /** @returns the longest of the last times between two events; undefined until there are enough samples */
  longestEventGapMs: (service: string) => number | undefined
  /** @returns the mean time for which a slot is taken, at most: plain responses do not show when their run began; undefined until there are enough samples */
  slotTimeMs: (service: string) => number | undefined
}

/** Fewer samples than this are too few to refuse requests by. */
const MIN_SAMPLES = 10

/** Weight of the newest sample. The mean follows a change within some twenty requests. */
const SMOOTHING = 0.05

interface HoldStats {
  meanMs: number
  meanTokens: number
  samples: number
}

type Means = Map<string, HoldStats>

type Longest = Map<string, RecentLongest>

/** @returns hold times without samples */
export function createHoldTimes (): HoldTimes {
  const held: Means = new Map()
  const answered: Means = new Map()
  const runs: Means = new Map()
  const longestRuns: Longest = new Map()
  const longestGaps: Longest = new Map()
  return {
    onCompleted: (service, elapsedMs, outputTokens) => addSample(held, service, elapsedMs, outputTokens),
    onAnswered: ({ service, kind, elapsedMs, expectedWaitMs }) => {
      const runMs = Math.max(0, elapsedMs - expectedWaitMs)
      addSample(answered, service, elapsedMs, 0)
      addSample(runs, keyOf(service, kind), runMs, 0)
      addTime(longestRuns, keyOf(service, kind), runMs)
    },
    onEventGap: (service, gapMs) => addTime(longestGaps, service, gapMs),
    holdMs: service => knownStats(held, service)?.meanMs,
    workMs: (service, outputTokens) => {
      const stats = knownStats(held, service)
      if (stats === undefined) return undefined
      return outputTokens > 0 && stats.meanTokens > 0 ? stats.meanMs * outputTokens / stats.meanTokens : stats.meanMs
    },
    answerMs: service => knownStats(answered, service)?.meanMs,
    runMs: (service, kind) => knownStats(runs, keyOf(service, kind))?.meanMs,
    longestRunMs: (service, kind) => longestRuns.get(keyOf(service, kind))?.longestMs(),
    longestEventGapMs: service => longestGaps.get(service)?.longestMs(),
    slotTimeMs: service => (knownStats(held, service) ?? knownStats(answered, service))?.meanMs
  }
}

function keyOf (service: string, kind: Route['kind']): string {
  return `${kind} ${service}`
}

function addTime (longest: Longest, key: string, elapsedMs: number): void {
  const recent = longest.get(key) ?? createRecentLongest()
  longest.set(key, recent)
  recent.add(elapsedMs)
}

function addSample (means: Means, service: string, elapsedMs: number, outputTokens: number): void {
  const stats = means.get(service)
  if (stats === undefined) {
    means.set(service, { meanMs: elapsedMs, meanTokens: outputTokens, samples: 1 })
    return
  }
  stats.samples++
  const weight = Math.max(SMOOTHING, 1 / stats.samples)
  stats.meanMs += weight * (elapsedMs - stats.meanMs)
  stats.meanTokens += weight * (outputTokens - stats.meanTokens)
}

function knownStats (means: Means, service: string): HoldStats | undefined {
  const stats = means.get(service)
  return stats === undefined || stats.samples < MIN_SAMPLES ? undefined : stats
}
