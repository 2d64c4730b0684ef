/** Lifecycle of an item at a runner: claims, runs, pauses and releases it, and records its outcome. */
import { runInBackground, sleep } from 'anvilarch-utils'
import type { Pool } from '../endpoints/httpPool'
import type { ResultReader } from '../jobs/resultReader'
import type { JobItem, JobRecord } from '../jobs/types'
import type { Endpoint } from '../model/types'
import type { PlatformWire } from '../roles/types'
import type { ServingMetrics } from '../telemetry/metrics'
import { type ClaimParts, claimItem, failItem, finishItem, ownClaimVersion, readProgress, releaseClaim } from './claims'
import type { EngineView } from './engineView'
import { type ClaimedItem, type ClaimedItems, emptyText, progressOf } from './claimedItems'
import { type RunEnd, runItem } from './itemRun'
import type { RunTimeEstimator } from './runTimeEstimator'
import type { StartBackoff } from './startBackoff'

/** Dependencies of the item lifecycle. */
export interface ItemLifecycleParts extends ClaimParts {
  metrics: ServingMetrics
  wire: PlatformWire
  engine: EngineView
  /** Connections to the local engine. */
  pool: Pool
  /** Connections to the local engine, each used for one run only. */
  freshPool: Pool
  claimedItems: ClaimedItems
  runTimeEstimator: RunTimeEstimator
  submissions: ResultReader
  /** Backoff for starts of any item at this engine. */
  engineBackoff: StartBackoff
  /** Aborted when no further run may start. */
  stopping: AbortSignal
  /** Whether the configuration in force routes the job to the service of the local engine. */
  mayRun: (job: JobRecord) => boolean
  /** Called when an item no longer occupies a slot of the engine. */
  onSlotFreed: () => void
}

/** Why an item is released before it has ended. */
export type ReleaseReason = 'long_paused' | 'expired' | 'not_routed' | 'endpoint_not_ready' | 'better_elsewhere' | 'stopping'

/** Operations on items. */
export interface ItemLifecycle {
  /** Claims an item and runs it. */
  claimAndRun: (job: JobRecord, item: number) => Promise<void>
  /** Continues a claimed item after its last event. */
  resume: (entry: ClaimedItem) => Promise<void>
  pause: (entry: ClaimedItem, reason: string) => void
  /** Saves the text and releases the item. @returns false if the item stays claimed because the store did not accept the write */
  release: (entry: ClaimedItem, reason: ReleaseReason) => Promise<boolean>
}

/**
 * When the store has not responded for this long, no item starts or resumes: 6 s after the last heartbeat, other runners may
 * take over the item. Until then claimed items keep running, so that an outage of a few seconds loses no work.
 */
const MAX_WORK_AGE_MS = 4500

/** Pause before the outcome of an ended item is written to the store again. */
const OUTCOME_RETRY_INTERVAL_MS = 200

/** Shortest deadline of a run, for an item that has expired but is still needed. */
const MIN_DEADLINE_MS = 1000

type FinalEnd = Exclude<RunEnd, { end: 'interrupted' }>

/** @returns whether the store has responded recently enough to start items based on its data */
export function hasRecentStoreResponse (parts: Pick<ItemLifecycleParts, 'store'>): boolean {
  return parts.store.answerAgeMs() < MAX_WORK_AGE_MS
}

/**
 * @param parts - store, engine and claimed items
 * @returns the operations on items
 */
export function createItemLifecycle (parts: ItemLifecycleParts): ItemLifecycle {
  const { clock, log, claimedItems } = parts

  const pauseSince = (entry: ClaimedItem, reason: string, pausedAtMs: number): void => {
    entry.run?.abort()
    entry.run = undefined
    entry.state = 'paused'
    entry.pausedAtMs = pausedAtMs
    parts.metrics.itemRuns.inc({ outcome: 'paused' })
    log.info('item paused', { jobId: entry.jobId, itemId: entry.itemId, reason, lastEventId: entry.text.lastEventId })
  }

  const pause = (entry: ClaimedItem, reason: string): void => pauseSince(entry, reason, clock.nowMs())

  /**
   * Pauses an interrupted item. An item without progress at this engine keeps the time of its earlier pause, so that it is
   * released to other runners after the longest pause allowed.
   */
  const onInterrupted = (entry: ClaimedItem, reason: string, fromEventId: number): void => {
    if (entry.text.lastEventId > fromEventId) {
      pause(entry, reason)
      return
    }
    entry.backoff.onFailedStart()
    parts.engineBackoff.onFailedStart()
    pauseSince(entry, reason, entry.pausedAtMs)
  }

  const release = async (entry: ClaimedItem, reason: ReleaseReason): Promise<boolean> => {
    entry.run?.abort()
    entry.run = undefined
    entry.state = 'saving'
    const progress = entry.text.lastEventId > entry.savedEventId ? progressOf(entry) : undefined
    const saved = await releaseClaim(parts, entry.jobId, entry.item, progress)
    if (!saved && ownClaimVersion(parts, entry.jobId, entry.item) !== undefined) {
      entry.state = 'paused'
      entry.pausedAtMs = clock.nowMs()
      return false
    }
    claimedItems.startCooldown(entry)
    claimedItems.drop(entry)
    log.info('item released', { jobId: entry.jobId, itemId: entry.itemId, reason, saved, lastEventId: entry.text.lastEventId })
    return true
  }

  /** Keeps an ended item, and retries, until the store has its outcome or another runner holds the item. */
  const persistOutcome = async (entry: ClaimedItem, end: FinalEnd): Promise<void> => {
    for (;;) {
      const outcome = await writeOutcome(entry, end)
      if (outcome === 'applied' || outcome === 'not_applicable' || outcome === 'no_such_job') {
        log.info('item settled', { jobId: entry.jobId, itemId: entry.itemId, end: end.end, outcome })
        if (end.end === 'failed') claimedItems.startCooldown(entry)
        claimedItems.drop(entry)
        return
      }
      await sleep(clock, OUTCOME_RETRY_INTERVAL_MS)
    }
  }

  const writeOutcome = (entry: ClaimedItem, end: FinalEnd): ReturnType<typeof finishItem> => {
    if (end.end === 'failed') return failItem(parts, entry.jobId, entry.item)
    if (end.end === 'impossible') return finishItem(parts, entry.jobId, entry.item, 'dead_letter', '')
    return finishItem(parts, entry.jobId, entry.item, 'completed', end.text)
  }

  const onEvent = (entry: ClaimedItem): void => {
    entry.backoff.onEvent()
    parts.engineBackoff.onEvent()
  }

  const onRunEnd = (entry: ClaimedItem, end: RunEnd, fromEventId: number): void => {
    entry.run = undefined
    parts.onSlotFreed()
    parts.metrics.itemRuns.inc({ outcome: end.end })
    log.info('item run ended', {
      jobId: entry.jobId,
      itemId: entry.itemId,
      end: end.end,
      reason: end.end === 'interrupted' ? end.reason : undefined,
      lastEventId: entry.text.lastEventId,
      elapsedMs: Math.round(clock.nowMs() - entry.startedAtMs)
    })
    if (end.end === 'interrupted') {
      onInterrupted(entry, end.reason, fromEventId)
      return
    }
    if (end.end === 'completed') parts.runTimeEstimator.onItemCompleted(entry.tokens, entry.text.lastEventId)
    entry.state = 'finishing'
    runInBackground(log, 'settle item', () => persistOutcome(entry, end))
  }

  /**
   * An engine may send a second response where the next response on a connection is expected. Runs of an item have the same id,
   * so the failure of an earlier run would count for the next one. After a failure, each run gets a connection of its own.
   */
  const poolFor = (entry: ClaimedItem, job: JobRecord): Pool => job.failures[entry.item] === undefined ? parts.pool : parts.freshPool

  /** Discards text of another software version, which the engine cannot continue. */
  const bindToVersion = (entry: ClaimedItem, { softwareVersion }: Endpoint): void => {
    const { text } = entry
    if (text.lastEventId > 0 && text.softwareVersion !== softwareVersion) {
      log.info('item restarted', { jobId: entry.jobId, itemId: entry.itemId, lastEventId: text.lastEventId, softwareVersion, beganAtVersion: text.softwareVersion })
      parts.metrics.itemRuns.inc({ outcome: 'restarted' })
      entry.text = emptyText()
      entry.savedEventId = 0
    }
    entry.text.softwareVersion = softwareVersion
  }

  const run = (entry: ClaimedItem, job: JobRecord, item: JobItem, endpoint: Endpoint): void => {
    const nowMs = clock.nowMs()
    bindToVersion(entry, endpoint)
    entry.state = 'running'
    entry.startedAtMs = nowMs
    entry.savedAtMs = nowMs
    entry.sampledAtMs = nowMs
    entry.sampledEventId = entry.text.lastEventId
    const fromEventId = entry.text.lastEventId
    log.info('item run started', { jobId: entry.jobId, itemId: entry.itemId, endpoint: endpoint.startId, fromEventId })
    entry.run = runItem({
      clock,
      pool: poolFor(entry, job),
      requestWire: parts.wire.request,
      engineWire: parts.wire.engine,
      item,
      host: job.host,
      account: job.account,
      endpointId: endpoint.id,
      startId: endpoint.startId,
      deadlineMs: Math.max(MIN_DEADLINE_MS, Math.round(job.expiresAtMs - (parts.store.storeNowMs() ?? job.submittedAtMs))),
      text: entry.text,
      onEvent: () => onEvent(entry),
      onEnd: end => onRunEnd(entry, end, fromEventId)
    })
  }

  const resume = async (entry: ClaimedItem): Promise<void> => {
    const items = await parts.submissions.items(entry.jobId)
    const item = items.ok ? items.val?.[entry.item] : undefined
    const job = parts.work.job(entry.jobId)?.record
    if (job === undefined || job.ended || ownClaimVersion(parts, entry.jobId, entry.item) === undefined) {
      claimedItems.drop(entry)
      return
    }
    const endpoint = parts.engine.current()
    if (item === undefined || endpoint?.state !== 'ready' || !parts.mayRun(job) || !hasRecentStoreResponse(parts) || parts.stopping.aborted) {
      entry.state = 'paused'
      return
    }
    run(entry, job, item, endpoint)
  }

  const claimAndRun = async (job: JobRecord, itemIndex: number): Promise<void> => {
    const entry = claimedItems.add(job, itemIndex)
    // A previous holder may have saved text of the item without recording it in the claim.
    const claimedBefore = parts.work.claim(job.jobId, itemIndex) !== undefined
    const [claimed, items] = await Promise.all([claimItem(parts, job.jobId, itemIndex), parts.submissions.items(job.jobId)])
    if (!claimed) {
      claimedItems.startCooldown(entry)
      claimedItems.drop(entry)
      parts.onSlotFreed()
      return
    }
    entry.pausedAtMs = clock.nowMs()
    if (items.err || items.val?.[itemIndex] === undefined) {
      log.warn('items of a job cannot be read', { jobId: job.jobId, reason: items.err ? items.val.reason : 'no object' })
      entry.state = 'paused'
      return
    }
    const progress = claimedBefore ? await readProgress(parts, job.jobId, itemIndex) : undefined
    if (progress !== undefined) {
      entry.text = { lastEventId: progress.lastEventId, eventData: progress.text.split('\n'), softwareVersion: progress.softwareVersion }
      entry.savedEventId = progress.lastEventId
    }
    log.info('item claimed', {
      jobId: job.jobId,
      itemId: entry.itemId,
      fromEventId: entry.text.lastEventId,
      dueInMs: Math.round(job.dueAtMs - (parts.store.storeNowMs() ?? 0)),
      expectedMs: Math.round(parts.runTimeEstimator.remainingMs(entry.tokens, entry.text.lastEventId))
    })
    await resume(entry)
  }

  return { claimAndRun, resume, pause, release }
}
