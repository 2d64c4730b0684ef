/** Interprets and formats the state of a job. */
import type { BatchResponse } from '../gateway/types'
import { formatTime } from '../output/table'

/** Final states of a job. */
const ENDED_STATES = new Set(['completed', 'failed', 'expired', 'cancelled'])

/** @returns whether the job is in a final state */
export function hasEnded (batch: BatchResponse): boolean {
  return ENDED_STATES.has(batch.status)
}

/** @returns numbers of items; `done` counts completed and failed ones */
export function jobCounts (batch: BatchResponse): { done: number, total: number, completed: number, failed: number } {
  const { total = 0, completed = 0, failed = 0 } = batch.request_counts ?? {}
  return { done: completed + failed, total, completed, failed }
}

/** @returns the job as lines of text */
export function formatJob (batch: BatchResponse): string {
  const { total, completed, failed } = jobCounts(batch)
  const lines = [
    `job       ${batch.id}`,
    `status    ${batch.status}`,
    `items     ${completed} completed, ${failed} failed, ${total} in all`,
    `endpoint  ${batch.endpoint}`,
    `created   ${formatTime(batch.created_at * 1000)}`
  ]
  if (typeof batch.expires_at === 'number') lines.push(`expires   ${formatTime(batch.expires_at * 1000)}`)
  const endedAt = batch.completed_at ?? batch.failed_at ?? batch.expired_at ?? batch.cancelled_at
  if (typeof endedAt === 'number') lines.push(`ended     ${formatTime(endedAt * 1000)}`)
  for (const error of batch.errors?.data ?? []) lines.push(`error     ${formatJobError(error)}`)
  return lines.join('\n')
}

function formatJobError (error: { message?: string, code?: string, line?: number | null }): string {
  const place = typeof error.line === 'number' ? `line ${error.line}: ` : ''
  return `${place}${error.message ?? error.code ?? 'unknown'}`
}
