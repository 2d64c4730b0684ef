/**
 * Limits the waiting tokens of an account on a route, over all gateways.
 *
 * Each acceptance adds its job to one of the account's rows under the versions of all of them, so two gateways cannot both
 * reserve the last free tokens.
 */
import { v3 as murmurhash } from 'murmurhash'
import { isFiniteNumber, isStoreTimeMs, isString, parseRowValue, rowProblem, type RowProblem } from '../store/rowValues'
import type { RowKey, RowRange, StoredRow } from '../store/types'
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

/** Separates the number of a page from the key of the first one. In account names it is encoded. */
const PAGE_SEPARATOR = '~'

/** Sorts after the number of any page. */
const LAST_CHARACTER = '\uffff'

/** Most reservations of a page. The id of a job has up to 200 bytes, and a row holds 64 KB. */
export const MAX_PAGE_RESERVATIONS = 250

/**
 * A row of reservations. An account with many open jobs has several, since the size of a row is limited. A page is only used
 * while all pages before it are full.
 */
export interface ReservationPage {
  /** Version of the row; 0 if it does not exist. */
  version: number
  reservations: readonly Reservation[]
  /** Why the row cannot be used; the page is then empty, and the next reservation replaces the row. */
  problem?: RowProblem
}

/**
 * @param routeName - name of the job's route
 * @param account - account of the job; undefined where all callers share one limit
 * @returns key of the row that holds the first page of reservations
 */
export function quotaKey (routeName: string, account: string | undefined): RowKey {
  if (account === undefined) return { table: QUOTA_TABLE, partition: `quota-${routeName}`, key: 'waiting' }
  return { table: QUOTA_TABLE, partition: `quota-${routeName}-${murmurhash(account) % ACCOUNT_PARTITIONS}`, key: `waiting.${account.replaceAll(PAGE_SEPARATOR, '%7E')}` }
}

/**
 * @param first - key of the first page
 * @param page - index of a page
 * @returns key of the row that holds the page
 */
export function pageKey (first: RowKey, page: number): RowKey {
  return page === 0 ? first : { ...first, key: `${first.key}${PAGE_SEPARATOR}${page}` }
}

/**
 * @param first - key of the first page
 * @returns range of keys that contains the first page alone
 */
export function firstPageRange (first: RowKey): RowRange {
  return { ...first, from: first.key, to: `${first.key}\u0001` }
}

/**
 * @param first - key of the first page
 * @returns range of keys that contains all further pages
 */
export function furtherPagesRange (first: RowKey): RowRange {
  return { ...first, from: first.key + PAGE_SEPARATOR, to: first.key + PAGE_SEPARATOR + LAST_CHARACTER }
}

/** @returns whether there may be further pages */
export function isFull (page: ReservationPage): boolean {
  return page.reservations.length >= MAX_PAGE_RESERVATIONS
}

/**
 * @param key - key of a page
 * @param rows - rows that were read
 * @returns the page; empty if it has no row or one that cannot be used
 */
export function decodePage (key: RowKey, rows: readonly StoredRow[]): ReservationPage {
  const row = rows.find(candidate => candidate.key === key.key)
  if (row === undefined) return { version: 0, reservations: [] }
  const parsed = parseRowValue(row.value)
  if (parsed.err) return { version: row.version, reservations: [], problem: parsed.val }
  if (!isReservations(parsed.val)) return { version: row.version, reservations: [], problem: rowProblem('', 'is no list of reservations') }
  return { version: row.version, reservations: parsed.val }
}

function isReservations (value: unknown): value is Reservation[] {
  return Array.isArray(value) && value.every((entry: unknown) => {
    const { jobId, tokens, reservedAtMs } = (entry ?? {}) as Partial<Reservation>
    return isString(jobId) && isFiniteNumber(tokens) && isStoreTimeMs(reservedAtMs)
  })
}

/**
 * @param reservations - reservations of all pages, in order
 * @param pageCount - number of pages as read
 * @returns the reservations of each page; pages that are no longer needed are empty
 */
export function paginate (reservations: readonly Reservation[], pageCount: number): Reservation[][] {
  const neededPages = Math.ceil(reservations.length / MAX_PAGE_RESERVATIONS)
  return Array.from({ length: Math.max(1, pageCount, neededPages) }, (_, page) =>
    reservations.slice(page * MAX_PAGE_RESERVATIONS, (page + 1) * MAX_PAGE_RESERVATIONS))
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
