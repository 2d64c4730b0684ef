/** Finds claims of a runner on items that it does not have in hand. */
import { openItems } from '../jobs/jobRecord'
import type { WorkTable } from '../jobs/workTable'
import type { RunnerIdentity } from './claims'

/** A claim that its holder does not work on, so that no runner does. */
export interface OrphanedClaim {
  jobId: string
  /** Index of the item in its job. */
  item: number
  itemId: string
}

/**
 * A claim whose write got no response may be in the store nevertheless, at once or seconds later. The comparison starts from the rows, so
 * that it finds a claim however and whenever it was written.
 *
 * @param work - jobs and claims
 * @param identity - this runner and its process
 * @param isInHand - whether this process has claimed the item, or is about to
 * @returns claims of this process on unfinished items that it does not have in hand
 */
export function orphanedClaims (work: Pick<WorkTable, 'jobs' | 'claim'>, identity: RunnerIdentity, isInHand: (jobId: string, item: number) => boolean): OrphanedClaim[] {
  const orphaned: OrphanedClaim[] = []
  for (const { record: job } of work.jobs()) {
    for (const item of openItems(job)) {
      const claim = work.claim(job.jobId, item)?.record
      const isOwn = claim?.held === true && claim.runner === identity.runner && claim.incarnation === identity.incarnation
      if (isOwn && !isInHand(job.jobId, item)) orphaned.push({ jobId: job.jobId, item, itemId: job.itemIds[item] })
    }
  }
  return orphaned
}
