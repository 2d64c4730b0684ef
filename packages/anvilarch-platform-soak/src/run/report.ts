/** Counts what a run has yielded and describes each lost request. */
import { readFileSync } from 'node:fs'
import { type Attempt, isSuccess } from '../clients/attempt'
import { checkLost } from '../rule/checkLost'
import type { ClientRequest, EndpointRun } from '../rule/types'
import type { PlatformSoakResult } from './runPlatformSoak'

/** Lines of a log that are shown for a request. */
const MAX_LOG_LINES = 20

/** Outcome of a run. */
export interface Verdict {
  lost: number
  /** Counts of all checks, by name. */
  counts: Record<string, number>
  /** Descriptions of what was counted. */
  lines: string[]
}

/** @returns the verdict on a run */
export function judge (result: PlatformSoakResult): Verdict {
  const { evidence, attempts, problems, logPaths } = result
  const losses = checkLost(evidence)
  const runsOf = groupRuns(evidence.runs)
  const hasRun = ({ requestId }: Attempt): boolean => (runsOf.get(requestId) ?? []).some(run => run.beganAtMs !== undefined)
  const refusedButRan = attempts.filter(attempt => (attempt.status === 429 || attempt.status === 503) && hasRun(attempt))
  const unsigned = attempts.filter(attempt => isSuccess(attempt) && !attempt.isSigned)
  const notIntact = attempts.filter(attempt => isSuccess(attempt) && !attempt.isIntact)
  const replaced = attempts.filter(attempt => attempt.status === 502 && (runsOf.get(attempt.requestId) ?? []).some(run => run.end === 'complete'))
  const ranTwice = attempts.filter(({ kind, requestId }) => !kind.repeatable && (runsOf.get(requestId) ?? []).filter(run => run.beganAtMs !== undefined).length > 1)
  const describe = (title: string, request: ClientRequest, fromMs = request.sendBeganAtMs, from = 'its first byte'): string[] =>
    [title, ...describeRequest(request, fromMs, from, runsOf.get(request.requestId) ?? []), ...logLines(request, logPaths)]
  return {
    lost: losses.length,
    counts: { lost: losses.length, 'refused but ran': refusedButRan.length, 'without signature': unsigned.length, 'not intact': notIntact.length, 'ran twice': ranTwice.length, 'whole and replaced by 502': replaced.length, 'processes that ended by themselves': problems.length },
    lines: [
      ...losses.flatMap(({ request, work, part }) => describe(`lost: ${part}`, request, work.atMs, work.kind)),
      ...refusedButRan.flatMap(request => describe('refused but ran', request)),
      ...unsigned.flatMap(request => describe('success without signature', request)),
      ...notIntact.flatMap(request => describe('success that is not intact', request)),
      ...ranTwice.flatMap(request => describe('ran twice', request)),
      ...replaced.flatMap(request => describe('whole and replaced by 502', request)),
      ...problems
    ]
  }
}

/** @returns numbers of attempts by how they ended */
export function summarize (attempts: readonly Attempt[]): string {
  const counts = new Map<string, number>()
  for (const { end, status } of attempts) {
    const name = end === 'complete' ? `status ${status}` : end
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return [...counts].map(([name, count]) => `${count} ${name}`).join(', ')
}

function groupRuns (runs: readonly EndpointRun[]): Map<string, EndpointRun[]> {
  const groups = new Map<string, EndpointRun[]>()
  for (const run of runs) groups.set(run.requestId, [...groups.get(run.requestId) ?? [], run])
  return groups
}

function describeRequest (request: ClientRequest, fromMs: number, from: string, runs: readonly EndpointRun[]): string[] {
  const time = (atMs: number | undefined): string => atMs === undefined ? '-' : `${Math.round(atMs - fromMs)} ms`
  const status = request.status === undefined ? 'no status' : `status ${request.status}`
  return [
    `  ${request.requestId} ${request.route} at ${request.gateway}, ${request.form}; times after ${from}`,
    `  began ${time(request.sendBeganAtMs)}, sent ${time(request.sentAtMs)}, head ${time(request.headAtMs)}, ${status}, last byte ${time(request.lastByteAtMs)}, ${request.end} ${time(request.endedAtMs)}, deadline ${Math.round(request.deadlineMs)} ms`,
    ...runs.map(run => `  run at ${run.endpoint}: arrived ${time(run.arrivedAtMs)}, began ${time(run.beganAtMs)}, ${run.end} ${time(run.endedAtMs)}`)
  ]
}

function logLines ({ gateway, requestId }: ClientRequest, logPaths: Map<string, string>): string[] {
  const path = logPaths.get(gateway)
  if (path === undefined) return []
  return readFileSync(path, 'utf8').split('\n').filter(line => line.includes(requestId)).slice(0, MAX_LOG_LINES).map(line => `  ${line}`)
}
