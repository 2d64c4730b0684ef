/** Finds requests that were lost around planned work. */
import { lossPartOf, type LossPart, runsOf } from './cutRequest'
import { cutsMoreOftenBesideChanges } from './cutRates'
import { excusedBy } from './exceptions'
import { changeAround, hasUsedMostOfItsTime, type PlannedWork, signalAround } from './plannedWork'
import type { ClientRequest, Evidence, RunEnd } from './types'

/** Times of a run after planned work; negative before it. */
export interface RunTimes {
  endpoint: string
  arrivedMs: number
  beganMs: number | undefined
  end: RunEnd
  endedMs: number | undefined
}

/** Times of a lost request after planned work; negative before it. */
export interface LossTimes {
  headSentMs: number
  lastByteSentMs: number | undefined
  responseHeadMs: number | undefined
  runs: readonly RunTimes[]
  connectionEndMs: number
}

/** A request that was lost around planned work. */
export interface Loss {
  request: ClientRequest
  work: PlannedWork
  part: LossPart
  times: LossTimes
}

/**
 * The rule LOST around planned work. Each request counts once, for the first planned work that it is around: SIGTERM, SIGHUP, configuration.
 *
 * @param evidence - observations of the run
 * @returns the lost requests, in the order of the evidence
 */
export function checkLost (evidence: Evidence): Loss[] {
  const cuts = evidence.requests.filter(request => lossPartOf(evidence, request) !== undefined && excusedBy(evidence, request) === undefined)
  return cuts.flatMap(request => {
    const part = lossPartOf(evidence, request)
    const work = signalAround(evidence, request) ?? countedChange(evidence, request, cuts)
    return part === undefined || work === undefined ? [] : [{ request, work, part, times: timesAfter(evidence, request, work.atMs) }]
  })
}

function countedChange (evidence: Evidence, request: ClientRequest, cuts: readonly ClientRequest[]): PlannedWork | undefined {
  const change = changeAround(evidence, request)
  if (change === undefined || hasUsedMostOfItsTime(request)) return undefined
  return cutsMoreOftenBesideChanges(evidence, request.gateway, cuts) ? change : undefined
}

function timesAfter (evidence: Evidence, request: ClientRequest, workAtMs: number): LossTimes {
  const after = (atMs: number | undefined): number | undefined => atMs === undefined ? undefined : atMs - workAtMs
  return {
    headSentMs: request.sendBeganAtMs - workAtMs,
    lastByteSentMs: after(request.sentAtMs),
    responseHeadMs: after(request.headAtMs),
    runs: runsOf(evidence, request).map(run => ({
      endpoint: run.endpoint,
      arrivedMs: run.arrivedAtMs - workAtMs,
      beganMs: after(run.beganAtMs),
      end: run.end,
      endedMs: after(run.endedAtMs)
    })),
    connectionEndMs: request.endedAtMs - workAtMs
  }
}
