/** Identifiers of files and jobs. They sort newest first, so that a scan in key order is the list that clients expect. */
import type { ResultKind } from './rows'

/** Milliseconds far enough ahead to count down from (year 2286), so that a later id sorts first. */
const COUNTDOWN_FROM_MS = 9_999_999_999_999
const COUNTDOWN_DIGITS = 13
const RANDOM_DIGITS = 12

const RESULT_FILE = /^file-(batch_[0-9a-z]+)-(output|error)$/

/** Draws a number in [0, 1). */
export type RandomSource = () => number

/**
 * @param wallMs - wall time of the upload
 * @param randomValue - random numbers
 * @returns an id for an uploaded file
 */
export function newFileId (wallMs: number, randomValue: RandomSource): string {
  return `file-${countdown(wallMs)}${randomText(randomValue)}`
}

/**
 * @param wallMs - wall time of the job's arrival
 * @param randomValue - random numbers
 * @returns an id for a job
 */
export function newJobId (wallMs: number, randomValue: RandomSource): string {
  return `batch_${countdown(wallMs)}${randomText(randomValue)}`
}

/**
 * @param jobId - of the job
 * @param kind - which of its results
 * @returns id of the file of results
 */
export function resultFileId (jobId: string, kind: ResultKind): string {
  return `file-${jobId}-${kind}`
}

/**
 * @param fileId - any file id
 * @returns job and kind when it names a file of results
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
