/** Groups failed and late requests and items by kind, outcome and reason. */
import { findFailures, type LoggedFailure } from '../explain/failures'
import type { LogLine } from '../explain/readLogs'
import type { ReportLoss } from './types'

const SECOND_MS = 1000

/** Number of ids that a report shows for each group. */
const SHOWN_IDS = 5

/**
 * @param lines - of all processes
 * @param startMs - time of the first line
 * @returns groups, sorted by size in descending order
 */
export function findLosses (lines: readonly LogLine[], startMs: number): ReportLoss[] {
  const groups = new Map<string, LoggedFailure[]>()
  for (const failure of findFailures(lines)) {
    const reason = groupReason(failure.reason)
    const key = [failure.kind, failure.outcome, reason].join('\n')
    groups.set(key, [...groups.get(key) ?? [], { ...failure, reason }])
  }
  return [...groups.values()].map(failures => lossOf(failures, startMs)).sort((a, b) => b.count - a.count)
}

/** Reduces reasons that are only a duration to one group, as the duration differs for each failure. */
function groupReason (reason: string): string {
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
