/** Uploads a file and creates one job from it, with retries that never create a second job. */
import { type Clock, sleep } from 'anvilarch-utils'
import { CliError, toCliError } from '../cliError'
import { fileSizeBytes } from '../files'
import { isWorthAnotherTry } from '../gateway/failures'
import type { GatewayClient } from '../gateway/gatewayClient'
import type { BatchAnswer } from '../gateway/types'
import { formatCount } from '../output/table'

/** What to submit. */
export interface SubmitRequest {
  path: string
  endpoint: string
  /** Idempotency key. If undefined, the gateway uses a hash of file content, endpoint, window and metadata. */
  key: string | undefined
}

/** A job that was created, or found by its key or content. */
export interface SubmittedJob {
  batch: BatchAnswer
  tries: number
}

/** Limits of the retries. */
export interface SubmitOptions {
  maxTries: number
  firstWaitMs: number
  /** Longest backoff of the command itself; a longer `Retry-After` of the gateway takes precedence. */
  maxWaitMs: number
  /** A longer `Retry-After` ends the retries, so that the operator doesn't wait without notice. */
  patienceMs: number
  /** Called before each wait. */
  onRetry: (error: CliError, waitMs: number) => void
}

/** Default limits: about half a minute in total, unless `Retry-After` states longer waits. */
export const DEFAULT_SUBMIT_OPTIONS: Pick<SubmitOptions, 'maxTries' | 'firstWaitMs' | 'maxWaitMs' | 'patienceMs'> = {
  maxTries: 7,
  firstWaitMs: 500,
  maxWaitMs: 8000,
  patienceMs: 60_000
}

/**
 * Submits a job. A response may be lost after the job was created, and a retry must not create a second job, which would run
 * each item twice. The gateway finds the first job by the key, or by the content if there is no key. A key generated here would
 * belong to a cancelled job forever, so the same file could not be run again.
 *
 * @param gateway - client of the gateways
 * @param clock - for the waits between attempts
 * @param request - what to submit
 * @param options - limits of the retries
 * @returns the job
 * @throws CliError when the job was rejected, or when all attempts have failed
 */
export async function submitJob (gateway: GatewayClient, clock: Clock, request: SubmitRequest, options: SubmitOptions): Promise<SubmittedJob> {
  const sizeBytes = await fileSizeBytes(request.path)
  const upload = await withRetries(clock, options, () => gateway.uploadFile(request.path, sizeBytes))
  const creation = await withRetries(clock, options, () =>
    gateway.createBatch({ inputFileId: upload.answer.id, endpoint: request.endpoint, idempotencyKey: request.key }))
  return { batch: creation.answer, tries: creation.tries }
}

async function withRetries<Answer> (clock: Clock, options: SubmitOptions, send: () => Promise<Answer>): Promise<{ answer: Answer, tries: number }> {
  for (let tries = 1; ; tries++) {
    try {
      return { answer: await send(), tries }
    } catch (thrown) {
      const error = toCliError(thrown)
      if (!isWorthAnotherTry(error)) throw error
      if (tries >= options.maxTries || (error.retryAfterMs ?? 0) > options.patienceMs) throw triesUsedUp(error, tries)
      const waitMs = waitBeforeTry(tries, error.retryAfterMs, options)
      options.onRetry(error, waitMs)
      await sleep(clock, waitMs)
    }
  }
}

function waitBeforeTry (tries: number, retryAfterMs: number | undefined, options: SubmitOptions): number {
  const backoffMs = options.firstWaitMs * 2 ** (tries - 1)
  return Math.max(Math.min(options.maxWaitMs, backoffMs), retryAfterMs ?? 0)
}

function triesUsedUp (error: CliError, tries: number): CliError {
  return new CliError(`${error.message} Given up after ${formatCount(tries, 'try', 'tries')}.`, {
    code: error.code,
    step: error.step,
    peer: error.peer,
    ran: error.ran,
    retryAfterMs: error.retryAfterMs,
    exit: error.exit,
    cause: error,
    data: error.data,
    hint: `${error.hint ?? 'Wait a little.'} Then run the same command again: the same file gives the same job, so that it is made once.`
  })
}
