/** Uploads a file and creates one job from it, with retries that never create a second job. */
import { type Clock, sleep } from 'anvilarch-utils'
import { CliError, toCliError } from '../cliError'
import { fileSizeBytes } from '../files'
import { isRetryable } from '../gateway/failures'
import type { GatewayClient } from '../gateway/gatewayClient'
import type { BatchResponse } from '../gateway/types'
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
  batch: BatchResponse
  tries: number
}

/** Limits of the retries. */
export interface SubmitOptions {
  maxAttempts: number
  initialBackoffMs: number
  /** Longest backoff of the command itself; a longer `Retry-After` of the gateway takes precedence. */
  maxBackoffMs: number
  /** A longer `Retry-After` ends the retries, so that the operator doesn't wait without notice. */
  maxRetryAfterMs: number
  /** Called before each wait. */
  onRetry: (error: CliError, waitMs: number) => void
}

/** Default limits: about half a minute in total, unless `Retry-After` states longer waits. */
export const DEFAULT_SUBMIT_OPTIONS: Pick<SubmitOptions, 'maxAttempts' | 'initialBackoffMs' | 'maxBackoffMs' | 'maxRetryAfterMs'> = {
  maxAttempts: 7,
  initialBackoffMs: 500,
  maxBackoffMs: 8000,
  maxRetryAfterMs: 60_000
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
    gateway.createBatch({ inputFileId: upload.response.id, endpoint: request.endpoint, idempotencyKey: request.key }))
  return { batch: creation.response, tries: creation.attempts }
}

async function withRetries<Body> (clock: Clock, options: SubmitOptions, send: () => Promise<Body>): Promise<{ response: Body, attempts: number }> {
  for (let attempt = 1; ; attempt++) {
    try {
      return { response: await send(), attempts: attempt }
    } catch (thrown) {
      const error = toCliError(thrown)
      if (!isRetryable(error)) throw error
      if (attempt >= options.maxAttempts || (error.retryAfterMs ?? 0) > options.maxRetryAfterMs) throw attemptsExhausted(error, attempt)
      const waitMs = retryDelayMs(attempt, error.retryAfterMs, options)
      options.onRetry(error, waitMs)
      await sleep(clock, waitMs)
    }
  }
}

function retryDelayMs (attempt: number, retryAfterMs: number | undefined, options: SubmitOptions): number {
  const backoffMs = options.initialBackoffMs * 2 ** (attempt - 1)
  return Math.max(Math.min(options.maxBackoffMs, backoffMs), retryAfterMs ?? 0)
}

function attemptsExhausted (error: CliError, attempts: number): CliError {
  return new CliError(`${error.message} Given up after ${formatCount(attempts, 'try', 'tries')}.`, {
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
