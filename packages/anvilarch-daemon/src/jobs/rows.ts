/** Values of the table rows that store files and jobs, and the row keys that only this folder uses. */
import { ROW_KEYS } from 'anvilarch-protocol'

/** Row keys besides `ROW_KEYS`. Caller names and idempotency keys are escaped, since a segment of a key must not contain a slash. */
export const JOB_KEYS = {
  callerFiles: (caller: string) => `callerfile/${encodeURIComponent(caller)}/`,
  callerFile: (caller: string, fileId: string) => `callerfile/${encodeURIComponent(caller)}/${fileId}`,
  callerJobs: (caller: string) => ROW_KEYS.callerJobs(encodeURIComponent(caller)),
  callerJob: (caller: string, jobId: string) => ROW_KEYS.callerJob(encodeURIComponent(caller), jobId),
  /** Index of the active jobs of one caller, to count them without reading its ended jobs. */
  callerActiveJobs: (caller: string) => `calleractive/${encodeURIComponent(caller)}/`,
  callerActiveJob: (caller: string, jobId: string) => `calleractive/${encodeURIComponent(caller)}/${jobId}`,
  jobByKey: (caller: string, key: string) => ROW_KEYS.jobByKey(encodeURIComponent(caller), encodeURIComponent(key)),
  /** Uploads in progress. A row that remains after its upload names chunks that belong to no file. */
  uploads: 'upload/',
  upload: (fileId: string) => `upload/${fileId}`,
  files: 'file/',
  jobs: 'job/',
  sweepLease: 'lease/sweep'
} as const

/** Value of a row `upload/<file>`. */
export interface UploadRow {
  caller: string
  startedAtMs: number
}

/** Value of a row `file/<file>`; written after all chunks are in the object store. */
export interface FileRow {
  id: string
  caller: string
  fileName: string
  purpose: 'batch'
  sizeBytes: number
  /** SHA-256 of the content, in hex. */
  sha256: string
  createdAtMs: number
  /** Number of item lines in each chunk. */
  chunkItems: number[]
  /** Distinct `url` values of the items. */
  urls: string[]
  /** Distinct models of the items; incomplete when there are many. */
  models: string[]
  /** Jobs on this file that were active when the row was last written. */
  jobIds: string[]
}

/** States of a job. All but `in_progress` are final. */
export type JobState = 'in_progress' | 'completed' | 'cancelled' | 'expired'

/** Number of finished items by kind of result. */
export interface ItemCounts {
  completed: number
  failed: number
}

/** Value of a row `job/<job>`. It changes only with the state of the job, so that part commits can be conditioned on its version. */
export interface JobRow {
  id: string
  caller: string
  key: string
  /** Hash of file content, endpoint, window and metadata; distinguishes a resend from another job under the same key. */
  contentHash: string
  fileId: string
  endpoint: string
  completionWindow: string
  metadata: Record<string, string> | null
  state: JobState
  createdAtMs: number
  /** Wall-clock time, since it is compared on every gateway. */
  expiresAtMs: number
  endedAtMs?: number
  /** Number of items in each part; a part is a chunk of the file. */
  partItems: number[]
  models: string[]
  /** Set when the job completed. */
  counts?: ItemCounts
  /** Result files that the caller deleted. */
  removed?: ResultKind[]
  /** Set after the objects that no part row references were removed, once the job has ended. */
  isSwept?: boolean
}

/** Value of a row `jobkey/<caller>/<key>`. */
export interface JobKeyRow {
  jobId: string
  contentHash: string
}

/** Value of a row `active/<job>`: what a gateway needs to choose a job. Deleted in the commit that ends the job. */
export interface ActiveRow {
  jobId: string
  caller: string
  parts: number
  models: string[]
  createdAtMs: number
  expiresAtMs: number
}

/** The two result files: responses, and errors of failed items. */
export type ResultKind = 'output' | 'error'

/** A committed object with results. */
export interface SegmentRef {
  epoch: number
  segment: number
  kind: ResultKind
  items: number
  sizeBytes: number
}

/** Value of a row `part/<job>/<n>`; absent until the part is first leased. */
export interface PartRow {
  /** Incremented by each claim; the fencing token of the part. */
  epoch: number
  /** Instance of the gateway that leases the part; empty when released. */
  holder: string
  items: number
  /** Finished items, as a bit set in base64. */
  done: string
  completed: number
  failed: number
  segments: SegmentRef[]
}

/**
 * @param row - row of a part
 * @returns whether each item of the part has a committed result
 */
export function isPartDone (row: PartRow): boolean {
  return row.completed + row.failed === row.items
}

/**
 * @param value - JSON text of a row
 * @returns its value
 */
export function parseRow<Value> (value: string): Value {
  return JSON.parse(value) as Value
}
