/** Groups what was lost or late by kind, outcome and reason. */
import { findFailures, type LoggedFailure } from '../explain/failures'
import type { LogLine } from '../explain/readLogs'
import type { ReportLoss } from './types'

const SECOND_MS = 1000

/** Ids of one group that a report shows. */
const SHOWN_IDS = 5

/**
 * @param lines - of all processes
 * @param startMs - time of the first line
 * @returns groups, the largest first
 */
export function findLosses (lines: readonly LogLine[], startMs: number): ReportLoss[] {
  const groups = new Map<string, LoggedFailure[]>()
  for (const failure of findFailures(lines)) {
    const reason = reasonGroup(failure.reason)
    const key = [failure.kind, failure.outcome, reason].join('\n')
    groups.set(key, [...groups.get(key) ?? [], { ...failure, reason }])
  }
  return [...groups.values()].map(failures => lossOf(failures, startMs)).sort((a, b) => b.count - a.count)
}

/** Times differ from failure to failure; the same reason with another time is one group. */
function reasonGroup (reason: string): string {
  return /^\d+ ms$/.test(reason) ? '' : reason
}

function lossOf (failures: readonly LoggedFailure[], startMs: number): ReportLoss {
  const seconds = failures.map(failure => Math.floor((Date.parse(failure.at) - startMs) / SECOND_MS))
  const counts = new Map<number, number>()
  for (const second of seconds) counts.set(second, (counts.get(second) ?? 0) + 1)
  const [worstSecond, worstCount] = [...counts].reduce((worst, entry) => entry[1] > worst[1] ? entry : worst)
  const { kind, outcome, reason } = failures[0]
  return {
    kind,
    outcome,
    reason,
    count: failures.length,
    fromSecond: Math.min(...seconds),
    untilSecond: Math.max(...seconds),
    worstSecond,
    worstCount,
    ids: failures.slice(0, SHOWN_IDS).map(failure => failure.id)
  }
}
