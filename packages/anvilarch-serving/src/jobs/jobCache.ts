/** Cache of the jobs that a gateway's clients have recently requested. */
import { LRUCache } from 'lru-cache'
import type { Versioned } from '../store/tableCache'
import { decodeJob, JOB_TABLE } from './jobRows'
import type { JobCache } from './jobStore'
import type { JobRecord } from './types'

/** The row of a job of ten items takes about 2 KB here. The smallest gateway has 178 MB, of which its process uses about 50 MB. */
const MAX_JOBS = 1000

/**
 * Creates the job cache of a gateway, which reads a job when a client requests it. If every gateway followed all jobs, the
 * bytes that the store sends would grow with the product of gateways and jobs.
 *
 * @returns an empty cache
 */
export function createJobCache (): JobCache {
  const jobs = new LRUCache<string, Versioned<JobRecord>>({ max: MAX_JOBS })
  return {
    job: jobId => jobs.get(jobId),
    update: row => {
      if (row.table !== JOB_TABLE) return
      const decoded = decodeJob(row)
      if (decoded.err) return
      const record = decoded.val
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
