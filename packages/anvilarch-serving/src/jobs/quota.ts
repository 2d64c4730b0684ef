/**
 * Keeps the tokens of an account that wait on a route under its limit over all gateways.
 *
 * Each acceptance adds its job to the account's row under the version of that row, so two gateways cannot both take the last
 * of the room.
 */
import { v3 as murmurhash } from 'murmurhash'
import type { RowKey } from '../store/types'
import { waitingTokens } from './jobRecord'
import { QUOTA_TABLE } from './jobRows'
import type { JobRecord } from './types'

/** A job that counts against the limit. */
export interface Reservation {
  jobId: string
  tokens: number
  /** Store time of the reservation. */
  reservedAtMs: number
}

/** What is known of the jobs of reservations. */
export interface JobLookup {
  job: (jobId: string) => { record: JobRecord } | undefined
  /** Whether a job that is not known does not exist; a gateway knows only what it has lately read. */
  isComplete: boolean
}

/** What a reservation comes to. */
export type ReservationPlan =
  | { plan: 'reserve', reservations: Reservation[] }
  | { plan: 'already_reserved' }
  | { plan: 'full', waitingTokens: number }

/**
 * @param reservations - of the row
 * @returns what they hold if none of their items has ended; more than what waits, never less
 */
export function reservedTokens (reservations: readonly Reservation[]): number {
  return reservations.reduce((sum, reservation) => sum + reservation.tokens, 0)
}

/** A reservation whose job has not appeared after this long is one whose acceptance failed. Writes may land seconds late. */
export const RESERVATION_GRACE_MS = 15_000

/** A partition carries some hundred transactions a second: an account that floods a route delays one in so many others. */
const ACCOUNT_PARTITIONS = 16

/**
 * @param routeName - of the job's route
 * @param account - of the job; undefined where the limit is one for all callers
 * @returns key of the row that counts
 */
export function quotaKey (routeName: string, account: string | undefined): RowKey {
  if (account === undefined) return { table: QUOTA_TABLE, partition: `quota-${routeName}`, key: 'waiting' }
  return { table: QUOTA_TABLE, partition: `quota-${routeName}-${murmurhash(account) % ACCOUNT_PARTITIONS}`, key: `waiting.${account}` }
}

/**
 * @param current - jobs that hold tokens, from the row
 * @param wanted - the new job
 * @param limitTokens - most tokens that may wait
 * @param known - tells what of each reservation still waits
 * @returns the next list of reservations, or how many tokens wait when the job does not fit
 */
export function planReservation (
  current: readonly Reservation[], wanted: Reservation, limitTokens: number, known: JobLookup
): ReservationPlan {
  if (current.some(reservation => reservation.jobId === wanted.jobId)) return { plan: 'already_reserved' }
  const still = current
    .map(reservation => ({ ...reservation, tokens: stillWaiting(reservation, wanted.reservedAtMs, known) }))
    .filter(reservation => reservation.tokens > 0)
  const waiting = still.reduce((sum, reservation) => sum + reservation.tokens, 0)
  if (waiting + wanted.tokens > limitTokens) return { plan: 'full', waitingTokens: waiting }
  return { plan: 'reserve', reservations: [...still, wanted] }
}

function stillWaiting (reservation: Reservation, nowMs: number, known: JobLookup): number {
  const job = known.job(reservation.jobId)
  if (job !== undefined) return Math.min(reservation.tokens, waitingTokens(job.record))
  return known.isComplete && nowMs - reservation.reservedAtMs > RESERVATION_GRACE_MS ? 0 : reservation.tokens
}
