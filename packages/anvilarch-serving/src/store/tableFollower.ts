/** Keeps up with a table, either by a listing and the feed of changes after it or by periodic listings. */
import { type Clock, type Moment, momentNow, type Random, sleep } from 'anvilarch-utils'
import { type MetadataStore, OVER_RATE_REASON, type RowChange, type StoredRow } from './types'
import type { EventLog } from '../telemetry/events'
import type { TableResponse } from './tableFreshness'

/** Receives the rows and changes of a followed table. */
export interface TableListener {
  /** Receives the whole table as of a version of the store, after a start or a gap in the history. */
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
  /** Partitions to list. The feed covers all of them. */
  partitions: readonly string[]
  listener: TableListener
  /** Called with each response of the store about the table, even without changes, before it is applied. */
  onResponse?: (response: TableResponse) => void
  /** Returns the pause before the next call, in which changes are batched; `FEED_INTERVAL_MS` by default. Called after each successful call. */
  intervalMs?: () => number
  /** Wait of one long poll of the feed, in milliseconds. */
  waitMs: number
  signal: AbortSignal
}

/** Default pause between two feed calls, in which changes are batched. */
export const FEED_INTERVAL_MS = 60

/** First pause after a failure. A new configuration must arrive within some seconds, which leaves time for several retries. */
export const FEED_RETRY_MS = 100

/** Longest pause after repeated failures. */
export const FEED_MAX_RETRY_MS = 400

/** Longest pause after the store has rejected calls beyond its rate: hundreds of daemons that retry sooner would keep it overloaded. */
export const OVER_RATE_MAX_RETRY_MS = 1000

/** A partial listing is resumed until it is this old. The store retains the changes since its start for longer. */
const LISTING_MAX_AGE_MS = 8000

const PAUSE_JITTER = 0.3

/**
 * Follows a table until the signal aborts.
 *
 * @param options - store, table and listener
 * @returns a promise that resolves after the signal has aborted
 */
export async function followTable (options: FollowTableOptions): Promise<void> {
  let version: number | undefined
  let retryMs = FEED_RETRY_MS
  const listing = createListing(options)
  const feedMonitor = createFeedMonitor(options)
  while (!options.signal.aborted) {
    const sentAtMs = options.clock.nowMs()
    const next = await runStep(() => version === undefined ? listing.run() : readChanges(options, version))
    if (version !== undefined) feedMonitor.onOutcome(next, sentAtMs)
    if (next.outcome === 'failed') {
      retryMs = Math.min(longestRetryMs(next.reason), retryMs)
      // The duration of the failed call counts towards the pause, since it has already spread the retries.
      const openMs = options.clock.nowMs() - sentAtMs
      await pause(options, Math.max(FEED_RETRY_MS, retryMs - openMs))
      retryMs *= 2
      continue
    }
    retryMs = FEED_RETRY_MS
    version = next.version
    if (next.outcome === 'changed') await pause(options, options.intervalMs?.() ?? FEED_INTERVAL_MS)
  }
}

type Step = { outcome: 'changed', version: number | undefined } | { outcome: 'failed', reason: string }

/** A step that throws counts as a failed call, so that the table is followed further. */
async function runStep (step: () => Promise<Step>): Promise<Step> {
  try {
    return await step()
  } catch (error) {
    return { outcome: 'failed', reason: (error as Error).message }
  }
}

/** A listener that throws misses one change, but not those after it. */
function notify ({ log, table, listener }: Pick<FollowTableOptions, 'log' | 'table' | 'listener'>, call: (listener: TableListener) => void): void {
  try {
    call(listener)
  } catch (error) {
    log.error('table listener failed', { table, reason: (error as Error).message })
  }
}

/** Logs when a feed is lost and when it responds again. */
interface FeedMonitor {
  onOutcome: (step: Step, sentAtMs: number) => void
}

function createFeedMonitor ({ clock, log, table }: Pick<FollowTableOptions, 'clock' | 'log' | 'table'>): FeedMonitor {
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

/** Lists a table, one partition after another. */
interface Listing {
  /** Resumes after the partition at which the last run failed, or starts a new listing. */
  run: () => Promise<Step>
}

/**
 * Creates a listing that repeats only the failed partition after a rejected call. If all partitions were listed again, an overloaded
 * store would get eight calls for each one that it rejects, and no daemon would ever complete a listing.
 */
function createListing (options: Pick<FollowTableOptions, 'store' | 'clock' | 'log' | 'table' | 'partitions' | 'listener' | 'onResponse'>): Listing {
  let rows: StoredRow[] = []
  let oldestVersion: number | undefined
  let oldestMadeAt: Moment | undefined
  let next = 0
  let startedAtMs = -Infinity

  const reset = (): void => {
    rows = []
    oldestVersion = undefined
    oldestMadeAt = undefined
    next = 0
    startedAtMs = options.clock.nowMs()
  }

  return {
    run: async () => {
      if (next === 0 || options.clock.nowMs() - startedAtMs > LISTING_MAX_AGE_MS) reset()
      while (next < options.partitions.length) {
        const sentAt = momentNow(options.clock)
        const read = await options.store.readRows({ table: options.table, partition: options.partitions[next] })
        if (read.err) {
          options.log.warn('table listing failed', { table: options.table, reason: read.val.reason })
          return { outcome: 'failed', reason: read.val.reason }
        }
        rows.push(...read.val.rows)
        oldestMadeAt ??= read.val.madeAt ?? sentAt
        oldestVersion = Math.min(oldestVersion ?? read.val.version, read.val.version)
        next++
      }
      next = 0
      options.onResponse?.({ madeAt: oldestMadeAt ?? momentNow(options.clock), isContinuous: false })
      notify(options, listener => listener.onListing(rows, oldestVersion ?? 0))
      options.log.debug('table listed', { table: options.table, rowCount: rows.length, version: oldestVersion ?? 0 })
      return { outcome: 'changed', version: oldestVersion }
    }
  }
}

async function readChanges (options: FollowTableOptions, version: number): Promise<Step> {
  const sentAt = momentNow(options.clock)
  const read = await options.store.readFeed(options.table, version, options.waitMs)
  if (read.err) return { outcome: 'failed', reason: read.val.reason }
  if (read.val.outcome === 'history_lost') {
    options.log.info('feed history lost, listing again', { table: options.table, version })
    return { outcome: 'changed', version: undefined }
  }
  options.onResponse?.({ madeAt: read.val.madeAt ?? sentAt, isContinuous: true })
  for (const change of read.val.changes) notify(options, listener => listener.onChange(change))
  return { outcome: 'changed', version: read.val.version }
}

/** First interval between listings, which doubles. Daemons that start together write their rows one after another and must be found soon. */
const FIRST_LISTING_INTERVAL_MS = 100

/** Options of `pollTable`. */
export interface PollTableOptions extends Omit<FollowTableOptions, 'intervalMs' | 'waitMs'> {
  /** Returns the longest time until the next listing, in milliseconds. Called after each listing. */
  intervalMs: () => number
}

/**
 * Lists a table periodically until the signal aborts.
 *
 * Meant for tables in which every row changes every few seconds. With a feed, the heartbeat of each daemon would wake every other
 * daemon, and the calls to the store would grow with the square of the number of daemons.
 *
 * @param options - store, table and listener
 * @returns a promise that resolves after the signal has aborted
 */
export async function pollTable (options: PollTableOptions): Promise<void> {
  let earlyIntervalMs = FIRST_LISTING_INTERVAL_MS
  const listing = createListing(options)
  while (!options.signal.aborted) {
    const listed = await runStep(listing.run)
    const intervalMs = Math.min(earlyIntervalMs, options.intervalMs())
    // The interval does not grow after failures other than a rejection for the rate of calls.
    if (listed.outcome === 'changed' || listed.reason === OVER_RATE_REASON) earlyIntervalMs *= 2
    await sleep(options.clock, options.random.jitter(intervalMs, PAUSE_JITTER), options.signal)
  }
}

async function pause (options: Pick<FollowTableOptions, 'clock' | 'random' | 'signal'>, delayMs: number): Promise<void> {
  await sleep(options.clock, options.random.jitter(delayMs, PAUSE_JITTER), options.signal)
}
