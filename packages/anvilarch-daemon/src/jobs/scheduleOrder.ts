/** Orders jobs for the next claim: fair between callers, and within a caller by the earliest expiry. */
import type { ActiveRow } from './rows'

/** The jobs and what their order depends on. */
export interface ScheduleInput {
  jobs: Iterable<ActiveRow>
  /** Current wall-clock time; jobs that have expired by then are left out. */
  wallMs: number
  /** Number of parts that this gateway leases for a caller. */
  leasedPartsOf: (caller: string) => number
  /** Sequence number of the last claim for a caller; 0 when there was none. */
  lastServed: (caller: string) => number
  /** Tie-breaker that differs between gateways, so that they do not all start with the same caller. */
  callerRank: (caller: string) => number
}

/**
 * @param input - active jobs and the recent claims of each caller
 * @returns jobs in the order in which their parts are claimed, one job of each caller in turn
 */
export function scheduleOrder (input: ScheduleInput): ActiveRow[] {
  const byCaller = new Map<string, ActiveRow[]>()
  for (const job of input.jobs) {
    if (job.expiresAtMs <= input.wallMs) continue
    const callerJobs = byCaller.get(job.caller)
    if (callerJobs === undefined) byCaller.set(job.caller, [job])
    else callerJobs.push(job)
  }
  const callers = [...byCaller.keys()].sort((left, right) => compareCallers(input, left, right))
  for (const jobs of byCaller.values()) jobs.sort(compareDue)
  return interleave(callers.map(caller => byCaller.get(caller) ?? []))
}

function compareCallers (input: ScheduleInput, left: string, right: string): number {
  return input.leasedPartsOf(left) - input.leasedPartsOf(right) ||
    input.lastServed(left) - input.lastServed(right) ||
    input.callerRank(left) - input.callerRank(right)
}

function compareDue (left: ActiveRow, right: ActiveRow): number {
  return left.expiresAtMs - right.expiresAtMs || (left.jobId < right.jobId ? 1 : -1)
}

function interleave (lists: ActiveRow[][]): ActiveRow[] {
  const order: ActiveRow[] = []
  const longest = Math.max(0, ...lists.map(list => list.length))
  for (let position = 0; position < longest; position++) {
    for (const list of lists) {
      if (position < list.length) order.push(list[position])
    }
  }
  return order
}
