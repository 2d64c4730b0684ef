/** Decides what may be removed: pure, wall times are passed in. */
import { OBJECT_NAMES } from 'anvilarch-protocol'
import type { FileRow, JobRow, PartRow, UploadRow } from '../rows'

/** What to do about a job. */
export type JobSweep = 'keep' | 'remove_unreferenced' | 'remove'

/** An upload that takes longer than this is given up, so that its chunks can go. */
const UPLOAD_TIMEOUT_MS = 24 * 3_600_000
/** Time after the end of a job in which a holder may still be writing a segment that it can't commit. */
const LATE_WRITE_GRACE_MS = 600_000
const MS_PER_HOUR = 3_600_000

/** Times that the plan depends on. */
export interface SweepTimes {
  wallMs: number
  retentionHours: number
}

/**
 * @param job - any job
 * @param times - now, and how long results stay
 * @returns what to do about it
 */
export function planJob (job: JobRow, { wallMs, retentionHours }: SweepTimes): JobSweep {
  if (job.state === 'in_progress' || job.endedAtMs === undefined) return 'keep'
  const ageMs = wallMs - job.endedAtMs
  if (ageMs >= retentionHours * MS_PER_HOUR) return 'remove'
  return ageMs >= LATE_WRITE_GRACE_MS && job.isSwept !== true ? 'remove_unreferenced' : 'keep'
}

/**
 * @param file - any file
 * @param hasActiveJob - whether a job on it has not ended
 * @param times - now, and how long results stay
 * @returns whether the file may go
 */
export function isFileExpired (file: FileRow, hasActiveJob: boolean, { wallMs, retentionHours }: SweepTimes): boolean {
  return !hasActiveJob && wallMs - file.createdAtMs >= retentionHours * MS_PER_HOUR
}

/**
 * @param upload - any upload that is not a file
 * @param wallMs - now
 * @returns whether it was given up
 */
export function isUploadExpired (upload: UploadRow, wallMs: number): boolean {
  return wallMs - upload.startedAtMs >= UPLOAD_TIMEOUT_MS
}

/**
 * @param jobId - of the job
 * @param part - of the job
 * @param row - of the part, if it was ever leased
 * @returns names of the objects that its results are read from
 */
export function referencedNames (jobId: string, part: number, row: PartRow | undefined): Set<string> {
  return new Set((row?.segments ?? []).map(({ epoch, segment, kind }) => OBJECT_NAMES.result(jobId, part, epoch, segment, kind)))
}

/**
 * @param jobId - of the job
 * @param name - of an object of its results
 * @returns the part that it belongs to
 */
export function partOfObject (jobId: string, name: string): number {
  return Number(name.slice(`results/${jobId}/`.length).split('/')[0])
}
