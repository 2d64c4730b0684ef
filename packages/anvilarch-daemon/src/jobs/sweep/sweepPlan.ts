/** Pure functions that decide what may be removed, given the wall-clock time. */
import { OBJECT_NAMES } from 'anvilarch-protocol'
import type { FileRow, JobRow, PartRow, UploadRow } from '../rows'

/** What to do with a job. */
export type JobSweep = 'keep' | 'remove_unreferenced' | 'remove'

/** An upload that takes longer than this has expired, so that its chunks can be removed. */
const UPLOAD_TIMEOUT_MS = 24 * 3_600_000
/** Time after the end of a job during which a holder may still write a segment that it cannot commit. */
const LATE_WRITE_GRACE_MS = 600_000
const MS_PER_HOUR = 3_600_000

/** Times that the decisions depend on. */
export interface SweepTimes {
  wallMs: number
  retentionHours: number
}

/**
 * @param job - any job
 * @param times - current time and retention of results
 * @returns what to do with the job
 */
export function planJob (job: JobRow, { wallMs, retentionHours }: SweepTimes): JobSweep {
  if (job.state === 'in_progress' || job.endedAtMs === undefined) return 'keep'
  const ageMs = wallMs - job.endedAtMs
  if (ageMs >= retentionHours * MS_PER_HOUR) return 'remove'
  return ageMs >= LATE_WRITE_GRACE_MS && job.isSwept !== true ? 'remove_unreferenced' : 'keep'
}

/**
 * @param file - any file
 * @param hasActiveJob - whether a job on the file is active
 * @param times - current time and retention of results
 * @returns whether the file may be deleted
 */
export function isFileExpired (file: FileRow, hasActiveJob: boolean, { wallMs, retentionHours }: SweepTimes): boolean {
  return !hasActiveJob && wallMs - file.createdAtMs >= retentionHours * MS_PER_HOUR
}

/**
 * @param upload - any upload that is not a file yet
 * @param wallMs - current wall-clock time
 * @returns whether the upload has expired
 */
export function isUploadExpired (upload: UploadRow, wallMs: number): boolean {
  return wallMs - upload.startedAtMs >= UPLOAD_TIMEOUT_MS
}

/**
 * @param jobId - id of the job
 * @param part - number of the part
 * @param row - row of the part, if it was ever claimed
 * @returns names of the objects that the row references
 */
export function referencedNames (jobId: string, part: number, row: PartRow | undefined): Set<string> {
  return new Set((row?.segments ?? []).map(({ epoch, segment, kind }) => OBJECT_NAMES.result(jobId, part, epoch, segment, kind)))
}

/**
 * @param jobId - id of the job
 * @param name - name of an object with results of the job
 * @returns the part that the object belongs to
 */
export function partOfObject (jobId: string, name: string): number {
  return Number(name.slice(`results/${jobId}/`.length).split('/')[0])
}
