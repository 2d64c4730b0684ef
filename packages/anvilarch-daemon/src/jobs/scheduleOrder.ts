/** The order in which jobs are given work: fair between callers, and within a caller the job that is due first. */
import type { ActiveRow } from './rows'

/** What the order depends on besides the jobs. */
export interface ScheduleInput {
  jobs: Iterable<ActiveRow>
  /** Jobs that end before this wall time get no more work. */
  wallMs: number
  /** Parts that this gateway holds for a caller. */
  leasedPartsOf: (caller: string) => number
  /** A number that grows with each part leased for a caller; 0 when none was. */
  lastServed: (caller: string) => number
  /** Differs between gateways, so that they do not all begin with the same caller. */
  callerRank: (caller: string) => number
}

/**
 * @param input - active jobs and what was served lately
 * @returns jobs in the order in which they may lease a part: one job of each caller in turn
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
