/**
 * Limits the waiting tokens of an account on a route, over all gateways.
 *
 * Each acceptance adds its job to the account's row under the version of that row, so two gateways cannot both reserve the
 * last free tokens.
 */
import { v3 as murmurhash } from 'murmurhash'
import type { RowKey } from '../store/types'
import { waitingTokens } from './jobRecord'
import { QUOTA_TABLE } from './jobRows'
import type { JobRecord } from './types'

/** Tokens that a job reserves under the limit. */
export interface Reservation {
  jobId: string
  tokens: number
  /** Store time of the reservation. */
  reservedAtMs: number
}

/** Jobs of reservations, as far as this process has read them. */
export interface JobLookup {
  job: (jobId: string) => { record: JobRecord } | undefined
  /** Whether a job that is not found does not exist. A gateway caches only the jobs that it has recently read. */
  isComplete: boolean
}

/** Result of `planReservation`. */
export type ReservationPlan =
  | { plan: 'reserve', reservations: Reservation[] }
  | { plan: 'already_reserved' }
  | { plan: 'full', waitingTokens: number }

/**
 * @param reservations - reservations of the row
 * @returns the reserved tokens, without regard to finished items: an upper bound of the waiting tokens
 */
export function reservedTokens (reservations: readonly Reservation[]): number {
  return reservations.reduce((sum, reservation) => sum + reservation.tokens, 0)
}

/** A reservation whose job does not exist after this time is left from a failed acceptance. Writes may take effect seconds late. */
export const RESERVATION_GRACE_MS = 15_000

/** A partition carries some hundred transactions per second. An account that floods a route delays one in this many others. */
const ACCOUNT_PARTITIONS = 16

/**
 * @param routeName - name of the job's route
 * @param account - account of the job; undefined where all callers share one limit
 * @returns key of the row that holds the reservations
 */
export function quotaKey (routeName: string, account: string | undefined): RowKey {
  if (account === undefined) return { table: QUOTA_TABLE, partition: `quota-${routeName}`, key: 'waiting' }
  return { table: QUOTA_TABLE, partition: `quota-${routeName}-${murmurhash(account) % ACCOUNT_PARTITIONS}`, key: `waiting.${account}` }
}

/**
 * @param current - reservations of the row
 * @param wanted - reservation of the new job
 * @param limitTokens - maximum number of waiting tokens
 * @param known - jobs of the reservations, which give the tokens that are still waiting
 * @returns the next list of reservations, or the number of waiting tokens when the job does not fit
 */
export function planReservation (
  current: readonly Reservation[], wanted: Reservation, limitTokens: number, known: JobLookup
): ReservationPlan {
  if (current.some(reservation => reservation.jobId === wanted.jobId)) return { plan: 'already_reserved' }
  const active = current
    .map(reservation => ({ ...reservation, tokens: remainingTokens(reservation, wanted.reservedAtMs, known) }))
    .filter(reservation => reservation.tokens > 0)
  const waiting = active.reduce((sum, reservation) => sum + reservation.tokens, 0)
  if (waiting + wanted.tokens > limitTokens) return { plan: 'full', waitingTokens: waiting }
  return { plan: 'reserve', reservations: [...active, wanted] }
}

function remainingTokens (reservation: Reservation, nowMs: number, known: JobLookup): number {
  const job = known.job(reservation.jobId)
  if (job !== undefined) return Math.min(reservation.tokens, waitingTokens(job.record))
  return known.isComplete && nowMs - reservation.reservedAtMs > RESERVATION_GRACE_MS ? 0 : reservation.tokens
}
