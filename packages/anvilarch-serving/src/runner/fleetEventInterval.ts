/** The pace of an ordinary engine of the fleet, from the heartbeats of its agents. */
import type { WorkTable } from '../jobs/workTable'

/**
 * @param work - members and their pace
 * @param storeNowMs - the store's clock
 * @returns the median time between two events over all living agents that know theirs; undefined if none does
 */
export function medianEventIntervalMs (work: Pick<WorkTable, 'members'>, storeNowMs: number): number | undefined {
  const paces: number[] = []
  for (const { record } of work.members()) {
    if (record.aliveUntilMs > storeNowMs && record.eventMs !== undefined) paces.push(record.eventMs)
  }
  paces.sort((a, b) => a - b)
  return paces[Math.floor(paces.length / 2)]
}
