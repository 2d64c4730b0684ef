/** Identifiers of files and jobs. They sort newest first, so that a scan in key order yields the order that clients expect. */
import type { ResultKind } from './rows'

/** Time (year 2286) from which the creation time is subtracted, so that a later id sorts first. */
const COUNTDOWN_FROM_MS = 9_999_999_999_999
const COUNTDOWN_DIGITS = 13
const RANDOM_DIGITS = 12

const RESULT_FILE = /^file-(batch_[0-9a-z]+)-(output|error)$/

/** Returns a random number in [0, 1). */
export type RandomSource = () => number

/**
 * @param wallMs - wall-clock time of the upload
 * @param randomValue - source of random numbers
 * @returns an id for an uploaded file
 */
export function newFileId (wallMs: number, randomValue: RandomSource): string {
  return `file-${countdown(wallMs)}${randomText(randomValue)}`
}

/**
 * @param wallMs - wall-clock time at which the job was submitted
 * @param randomValue - source of random numbers
 * @returns an id for a job
 */
export function newJobId (wallMs: number, randomValue: RandomSource): string {
  return `batch_${countdown(wallMs)}${randomText(randomValue)}`
}

/**
 * @param jobId - id of the job
 * @param kind - kind of results
 * @returns id of the result file
 */
export function resultFileId (jobId: string, kind: ResultKind): string {
  return `file-${jobId}-${kind}`
}

/**
 * @param fileId - any file id
 * @returns job and kind when the id names a result file
 */
export function parseResultFileId (fileId: string): { jobId: string, kind: ResultKind } | undefined {
  const match = RESULT_FILE.exec(fileId)
  return match === null ? undefined : { jobId: match[1], kind: match[2] as ResultKind }
}

function countdown (wallMs: number): string {
  return String(COUNTDOWN_FROM_MS - Math.floor(wallMs)).padStart(COUNTDOWN_DIGITS, '0')
}

function randomText (randomValue: RandomSource): string {
  let text = ''
  for (let digit = 0; digit < RANDOM_DIGITS; digit++) text += Math.floor(randomValue() * 36).toString(36)
  return text
}
