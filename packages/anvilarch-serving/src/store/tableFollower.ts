/** Keeps a copy of a table by a listing and the feed of changes after it. */
import { type Clock, type Random, sleep } from 'anvilarch-utils'
import { type MetadataStore, OVER_RATE_REASON, type RowChange, type StoredRow } from './types'
import type { EventLog } from '../telemetry/events'

/** What a follower tells its owner. */
export interface TableListener {
  /** The whole table as of a version of the store, after a start or a gap in the history. */
  onListing: (rows: StoredRow[], version: number) => void
  onChange: (change: RowChange) => void
}

/** Options of `followTable`. */
export interface FollowTableOptions {
  store: MetadataStore
  clock: Clock
  random: Random
  log: EventLog
  table: string
  /** Partitions that are listed; the feed covers all of them. */
  partitions: readonly string[]
  listener: TableListener
  /** Called after each answer of the store about the table, also without changes. */
  onAnswer?: () => void
  /** Asked after each call that brought changes: how long further ones are gathered; `FEED_INTERVAL_MS` by default. */
  intervalMs?: () => number
  /** How long one call of the feed asks the store to wait. */
  waitMs: number
  signal: AbortSignal
}

/** Changes are gathered for this long between two calls, unless the owner names another time. */
export const FEED_INTERVAL_MS = 60

/** First pause after a failure. The bound on a new configuration is some seconds, so that several tries fit. */
export const FEED_RETRY_MS = 100

/** Longest pause after repeated failures. */
export const FEED_MAX_RETRY_MS = 400

/** The same after refusals for the rate of calls: hundreds of daemons that all ask again soon keep the store beyond its rate. */
export const OVER_RATE_MAX_RETRY_MS = 1000

/** A listing that failed midway goes on within this time; the store keeps the changes since then for longer. */
const LISTING_MAX_AGE_MS = 8000

const PAUSE_JITTER = 0.3

/**
 * Follows a table until the signal aborts.
 *
 * @param options - store, table and listener
 * @returns a promise that resolves when following has ended
 */
export async function followTable (options: FollowTableOptions): Promise<void> {
  let version: number | undefined
  let retryMs = FEED_RETRY_MS
  const listing = createListing(options)
  const feed = watchFeed(options)
  while (!options.signal.aborted) {
    const sentAtMs = options.clock.nowMs()
    const next = version === undefined ? await listing.run() : await readChanges(options, version)
    if (version !== undefined) feed.onOutcome(next, sentAtMs)
    if (next.outcome === 'failed') {
      retryMs = Math.min(longestRetryMs(next.reason), retryMs)
      // A call that was waited for has spread the tries already.
      const openMs = options.clock.nowMs() - sentAtMs
      await pause(options, Math.max(FEED_RETRY_MS, retryMs - openMs))
      retryMs *= 2
      continue
    }
    options.onAnswer?.()
    retryMs = FEED_RETRY_MS
    version = next.version
    if (next.outcome === 'changed') await pause(options, options.intervalMs?.() ?? FEED_INTERVAL_MS)
  }
}

type Step = { outcome: 'changed', version: number | undefined } | { outcome: 'failed', reason: string }

/** Logs when a feed is lost and when it is back. */
interface FeedWatch {
  onOutcome: (step: Step, sentAtMs: number) => void
}

function watchFeed ({ clock, log, table }: Pick<FollowTableOptions, 'clock' | 'log' | 'table'>): FeedWatch {
  let failedCalls = 0
  let lostSinceMs = 0
  return {
    onOutcome: (step, sentAtMs) => {
      if (step.outcome === 'failed') {
        failedCalls++
        if (failedCalls > 1) return
        lostSinceMs = sentAtMs
        log.warn('feed lost', { table, reason: step.reason, openMs: Math.round(clock.nowMs() - sentAtMs) })
        return
      }
      if (failedCalls === 0) return
      const nowMs = clock.nowMs()
      log.info('feed answers again', { table, failedCalls, afterMs: Math.round(nowMs - lostSinceMs), openMs: Math.round(nowMs - sentAtMs) })
      failedCalls = 0
    }
  }
}

function longestRetryMs (reason: string): number {
  return reason === OVER_RATE_REASON ? OVER_RATE_MAX_RETRY_MS : FEED_MAX_RETRY_MS
}

/** Lists a table, partition after partition. */
interface Listing {
  /** Goes on where the last run has failed, or lists anew. */
  run: () => Promise<Step>
}

/**
 * A refused call costs its own partition only. Were all partitions listed again, a store beyond its rate would get eight calls
 * for each one that it refuses, and no daemon would ever have all of them.
 */
function createListing (options: Pick<FollowTableOptions, 'store' | 'clock' | 'log' | 'table' | 'partitions' | 'listener'>): Listing {
  let rows: StoredRow[] = []
  let oldestVersion: number | undefined
  let next = 0
  let begunAtMs = -Infinity

  const begin = (): void => {
    rows = []
    oldestVersion = undefined
    next = 0
    begunAtMs = options.clock.nowMs()
  }

  return {
    run: async () => {
      if (next === 0 || options.clock.nowMs() - begunAtMs > LISTING_MAX_AGE_MS) begin()
      while (next < options.partitions.length) {
        const read = await options.store.readRows({ table: options.table, partition: options.partitions[next] })
        if (read.err) {
          options.log.warn('table listing failed', { table: options.table, reason: read.val.reason })
          return { outcome: 'failed', reason: read.val.reason }
        }
        rows.push(...read.val.rows)
        oldestVersion = Math.min(oldestVersion ?? read.val.version, read.val.version)
        next++
      }
      next = 0
      options.listener.onListing(rows, oldestVersion ?? 0)
      options.log.debug('table listed', { table: options.table, rowCount: rows.length, version: oldestVersion ?? 0 })
      return { outcome: 'changed', version: oldestVersion }
    }
  }
}

async function readChanges (options: FollowTableOptions, version: number): Promise<Step> {
  const read = await options.store.readFeed(options.table, version, options.waitMs)
  if (read.err) return { outcome: 'failed', reason: read.val.reason }
  if (read.val.outcome === 'history_lost') {
    options.log.info('feed history lost, listing again', { table: options.table, version })
    return { outcome: 'changed', version: undefined }
  }
  for (const change of read.val.changes) options.listener.onChange(change)
  return { outcome: 'changed', version: read.val.version }
}

/** Daemons that start together write their rows one after another: listings come this soon at first, then ever less often. */
const FIRST_LISTING_INTERVAL_MS = 100

/** Options of `pollTable`. */
export interface PollTableOptions extends Omit<FollowTableOptions, 'intervalMs' | 'waitMs'> {
  /** Asked after each listing: time until the next one. */
  intervalMs: () => number
}

/**
 * Keeps a copy of a table by listing it from time to time, until the signal aborts.
 *
 * Answers tables in which every row changes every few seconds: with a feed, each daemon is woken by the heartbeat of each other
 * one, and calls to the store grow with the square of their number.
 *
 * @param options - store, table and listener
 * @returns a promise that resolves when the following has ended
 */
export async function pollTable (options: PollTableOptions): Promise<void> {
  let earlyIntervalMs = FIRST_LISTING_INTERVAL_MS
  const listing = createListing(options)
  while (!options.signal.aborted) {
    const listed = await listing.run()
    if (listed.outcome === 'changed') options.onAnswer?.()
    const intervalMs = Math.min(earlyIntervalMs, options.intervalMs())
    // Of a failure for another reason than the rate the next listing comes as soon as that one.
    if (listed.outcome === 'changed' || listed.reason === OVER_RATE_REASON) earlyIntervalMs *= 2
    await sleep(options.clock, options.random.jitter(intervalMs, PAUSE_JITTER), options.signal)
  }
}

async function pause (options: Pick<FollowTableOptions, 'clock' | 'random' | 'signal'>, delayMs: number): Promise<void> {
  await sleep(options.clock, options.random.jitter(delayMs, PAUSE_JITTER), options.signal)
}
