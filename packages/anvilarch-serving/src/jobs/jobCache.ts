/** The jobs that clients of a gateway have lately asked for. */
import { LRUCache } from 'lru-cache'
import type { Versioned } from '../store/tableCache'
import { decodeRecord, JOB_TABLE } from './jobRows'
import type { JobCopy } from './jobStore'
import type { JobRecord } from './types'

/** A row of a job of ten items takes about 2 KB here. The smallest gateway has 178 MB, of which its process takes about 50. */
const MAX_JOBS = 1000

/**
 * A gateway reads a job when a client asks for it. Did each gateway follow all jobs, the bytes that the store sends would grow
 * with the product of gateways and jobs.
 *
 * @returns an empty cache
 */
export function createJobCache (): JobCopy {
  const jobs = new LRUCache<string, Versioned<JobRecord>>({ max: MAX_JOBS })
  return {
    job: jobId => jobs.get(jobId),
    update: row => {
      if (row.table !== JOB_TABLE) return
      const record = decodeRecord<JobRecord>(row)
      if (record === undefined) return
      const known = jobs.get(record.jobId)
      if (known === undefined || known.version < row.version) jobs.set(record.jobId, { record, version: row.version })
    },
    remove: (key, version) => {
      // The key of a job's row is its id.
      const known = key.table === JOB_TABLE ? jobs.get(key.key) : undefined
      if (known !== undefined && known.version <= version) jobs.delete(key.key)
    }
  }
}
