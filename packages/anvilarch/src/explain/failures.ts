/** Finds failures in logs: requests without a complete response, and items that failed or were late. */
import type { LogLine } from './readLogs'

/** A failure of a request, job or item. */
export interface LoggedFailure {
  at: string
  process: string
  /** Kind of the request, or `item`, `job` or `client bytes`. */
  kind: string
  id: string
  /** Outcome, and the reason if the line contains one. */
  outcome: string
  reason: string
}

/**
 * @param lines - of all processes
 * @returns requests, jobs and items that failed or were late, in the order of their ends
 */
export function findFailures (lines: readonly LogLine[]): LoggedFailure[] {
  const dueAtMs = readDueTimes(lines)
  return lines
    .map(line => failureOf(line, dueAtMs))
    .filter(failure => failure !== undefined)
    .sort((a, b) => Date.parse(a.at) - Date.parse(b.at))
}

function failureOf (line: LogLine, dueAtMs: ReadonlyMap<string, number>): LoggedFailure | undefined {
  const base = { at: line.at, process: line.process }
  if (line.message === 'request ended' && line.late === true) {
    return { ...base, kind: String(line.kind), id: String(line.requestId), outcome: 'late', reason: `${String(line.firstEventMs ?? line.elapsedMs)} ms` }
  }
  if (line.message === 'request ended' && line.outcome !== 'answered') {
    return { ...base, kind: String(line.kind), id: String(line.requestId), outcome: String(line.outcome), reason: String(line.reason ?? line.status ?? '') }
  }
  if (line.message === 'client bytes rejected') {
    return { ...base, kind: 'client bytes', id: String(line.requestId ?? ''), outcome: `status ${String(line.status)}`, reason: String(line.reason) }
  }
  if (line.message === 'job submitted' && line.outcome !== 'accepted') {
    return { ...base, kind: 'job', id: String(line.jobId), outcome: 'job not accepted', reason: String(line.outcome) }
  }
  return line.message === 'item settled' ? itemFailure(line, dueAtMs) : undefined
}

function itemFailure (line: LogLine, dueAtMs: ReadonlyMap<string, number>): LoggedFailure | undefined {
  const base = { at: line.at, process: line.process, kind: 'item', id: String(line.itemId) }
  if (line.end !== 'completed') return { ...base, outcome: 'item given up or failed', reason: String(line.end) }
  const lateMs = Date.parse(line.at) - (dueAtMs.get(String(line.itemId)) ?? Infinity)
  return lateMs > 0 ? { ...base, outcome: 'item late', reason: `${Math.round(lateMs)} ms` } : undefined
}

function readDueTimes (lines: readonly LogLine[]): Map<string, number> {
  const dueAtMs = new Map<string, number>()
  for (const line of lines) {
    if (line.message === 'item claimed') dueAtMs.set(String(line.itemId), Date.parse(line.at) + Number(line.dueInMs))
  }
  return dueAtMs
}
