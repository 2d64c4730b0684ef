/** Converts files and jobs to the objects of the OpenAI API. */
import { resultFileId } from './ids'
import type { FileRow, ItemCounts, JobRow, JobState, ResultKind } from './rows'

const MS_PER_SECOND = 1_000

/** A file object of the OpenAI API. */
export interface FileObject {
  id: string
  object: 'file'
  bytes: number
  created_at: number
  filename: string
  purpose: 'batch' | 'batch_output'
  status: 'processed'
}

/** Job states in responses. */
export type ShownState = JobState | 'cancelling'

/**
 * @param row - row of the file
 * @returns the file object
 */
export function toFileObject (row: FileRow): FileObject {
  return {
    id: row.id,
    object: 'file',
    bytes: row.sizeBytes,
    created_at: toSeconds(row.createdAtMs),
    filename: row.fileName,
    purpose: row.purpose,
    status: 'processed'
  }
}

/**
 * @param job - job that has ended
 * @param kind - kind of results
 * @param sizeBytes - size of the content
 * @returns the file object of the results
 */
export function toResultFileObject (job: JobRow, kind: ResultKind, sizeBytes: number): FileObject {
  return {
    id: resultFileId(job.id, kind),
    object: 'file',
    bytes: sizeBytes,
    created_at: toSeconds(job.endedAtMs ?? job.createdAtMs),
    filename: `${job.id}_${kind}.jsonl`,
    purpose: 'batch_output',
    status: 'processed'
  }
}

/**
 * @param job - row of the job
 * @param counts - number of finished items
 * @param state - state to show
 * @returns the batch object
 */
export function toBatchObject (job: JobRow, counts: ItemCounts, state: ShownState): Record<string, unknown> {
  const total = job.partItems.reduce((sum, items) => sum + items, 0)
  const endedAt = job.endedAtMs === undefined ? null : toSeconds(job.endedAtMs)
  const isEnded = job.state !== 'in_progress'
  const fileOf = (kind: ResultKind, count: number): string | null =>
    isEnded && count > 0 && !(job.removed ?? []).includes(kind) ? resultFileId(job.id, kind) : null
  return {
    id: job.id,
    object: 'batch',
    endpoint: job.endpoint,
    errors: null,
    input_file_id: job.fileId,
    completion_window: job.completionWindow,
    status: state,
    output_file_id: fileOf('output', counts.completed),
    error_file_id: fileOf('error', counts.failed),
    created_at: toSeconds(job.createdAtMs),
    in_progress_at: toSeconds(job.createdAtMs),
    expires_at: toSeconds(job.expiresAtMs),
    finalizing_at: null,
    completed_at: job.state === 'completed' ? endedAt : null,
    failed_at: null,
    expired_at: job.state === 'expired' ? endedAt : null,
    cancelling_at: job.state === 'cancelled' ? endedAt : null,
    cancelled_at: state === 'cancelled' ? endedAt : null,
    request_counts: { total, completed: counts.completed, failed: counts.failed },
    metadata: job.metadata
  }
}

/**
 * @param items - objects of one page
 * @param hasMore - whether there are further pages
 * @returns the list object
 */
export function toListObject (items: Array<Record<string, unknown> | FileObject>, hasMore: boolean): Record<string, unknown> {
  return {
    object: 'list',
    data: items,
    first_id: items[0]?.id ?? null,
    last_id: items[items.length - 1]?.id ?? null,
    has_more: hasMore
  }
}

function toSeconds (wallMs: number): number {
  return Math.floor(wallMs / MS_PER_SECOND)
}
