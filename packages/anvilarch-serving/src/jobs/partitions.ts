/** Spreads jobs over partitions, since each partition carries a bounded rate of transactions. */
import { v3 as murmurhash } from 'murmurhash'

/** With 150 transactions a second each, these carry more than the 800 writes a second that the store takes in all. */
const PARTITION_COUNT = 8

/** Names of all partitions that hold jobs. */
export const JOB_PARTITIONS: readonly string[] = Array.from({ length: PARTITION_COUNT }, (_, index) => `jobs-${index}`)

/** Partition of the rows by which daemons tell of themselves. */
export const MEMBER_PARTITION = 'members'

/**
 * @param jobId - id of the job
 * @returns the partition that holds its rows
 */
export function partitionOf (jobId: string): string {
  return JOB_PARTITIONS[murmurhash(jobId) % PARTITION_COUNT]
}
