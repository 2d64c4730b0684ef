/** The event interval of a typical engine of the fleet, from the heartbeats of the agents. */
import type { WorkTable } from '../jobs/workTable'

/**
 * @param work - members and their event intervals
 * @param storeNowMs - current time of the store
 * @returns the median time in ms between two events over all live agents that report one; undefined if none does
 */
export function medianEventIntervalMs (work: Pick<WorkTable, 'members'>, storeNowMs: number): number | undefined {
  const intervalsMs: number[] = []
  for (const { record } of work.members()) {
    if (record.aliveUntilMs > storeNowMs && record.eventMs !== undefined) intervalsMs.push(record.eventMs)
  }
  intervalsMs.sort((a, b) => a - b)
  return intervalsMs[Math.floor(intervalsMs.length / 2)]
}
