/** Distributes jobs over partitions, since each partition has a bounded transaction rate. */
import { v3 as murmurhash } from 'murmurhash'

/** At 150 transactions per second each, the partitions exceed the 800 writes per second that the whole store accepts. */
const PARTITION_COUNT = 8

/** Names of all partitions that hold jobs. */
export const JOB_PARTITIONS: readonly string[] = Array.from({ length: PARTITION_COUNT }, (_, index) => `jobs-${index}`)

/** Partition of the daemons' heartbeat rows. */
export const MEMBER_PARTITION = 'members'

/**
 * @param jobId - id of the job
 * @returns the partition that holds its rows
 */
export function partitionOf (jobId: string): string {
  return JOB_PARTITIONS[murmurhash(jobId) % PARTITION_COUNT]
}
