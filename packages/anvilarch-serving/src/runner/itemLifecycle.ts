/** The steps of one item at a runner: claim, run, pause, release, settle. */
import { runInBackground, sleep } from 'anvilarch-utils'
import type { Pool } from '../endpoints/httpPool'
import type { ResultReader } from '../jobs/resultReader'
import type { JobItem, JobRecord } from '../jobs/types'
import type { Endpoint } from '../model/types'
import type { PlatformWire } from '../roles/types'
import type { ServingMetrics } from '../telemetry/metrics'
import { type ClaimParts, claimItem, failItem, finishItem, ownClaimVersion, readProgress, releaseClaim } from './claims'
import type { EngineView } from './engineView'
import { type ClaimedItem, type ClaimedItems, progressOf } from './claimedItems'
import { type RunEnd, runItem } from './itemRun'
import type { RunTimeEstimator } from './runTimeEstimator'
import type { StartBackoff } from './startBackoff'

/** Parts of the steps. */
export interface ItemLifecycleParts extends ClaimParts {
  metrics: ServingMetrics
  wire: PlatformWire
  engine: EngineView
  /** Connections to the engine beside the agent. */
  pool: Pool
  /** The same, each for one run only. */
  freshPool: Pool
  claimedItems: ClaimedItems
  runTimeEstimator: RunTimeEstimator
  submissions: ResultReader
  /** Sends of any item that made no event. */
  engineBackoff: StartBackoff
  /** Aborted when nothing may start any more. */
  stopping: AbortSignal
  /** Called when an item no longer takes a slot of the engine. */
  onSlotFreed: () => void
}

/** Why an item is let go of before it has ended. */
export type ReleaseReason = 'long_paused' | 'endpoint_not_ready' | 'better_elsewhere' | 'stopping'

/** The steps. */
export interface ItemLifecycle {
  /** Claims an item and runs it. */
  claimAndRun: (job: JobRecord, item: number) => Promise<void>
  /** Runs a held item on from where it is. */
  resume: (entry: ClaimedItem) => Promise<void>
  pause: (entry: ClaimedItem, reason: string) => void
  /** Saves the text and lets go of the item. @returns false if the store has not taken it */
  release: (entry: ClaimedItem, reason: ReleaseReason) => Promise<boolean>
}

/**
 * Without an answer of the store for this long, nothing starts or goes on after a pause: 6 s after the last heartbeat others
 * may take the item. Until then held items run on, so that an outage of some seconds costs no work.
 */
const STALE_WORK_MS = 4500

/** Pause before the text of an ended item is offered to the store again. */
const SETTLE_RETRY_MS = 200

/** Deadline of an item that is past its age but still wanted. */
const MIN_DEADLINE_MS = 1000

type FinalEnd = Exclude<RunEnd, { end: 'interrupted' }>

/** @returns whether the store has answered lately enough to start something on what it told */
export function isWorkFresh (parts: Pick<ItemLifecycleParts, 'clock' | 'store'>): boolean {
  return parts.clock.nowMs() - (parts.store.lastSuccessMs() ?? -Infinity) < STALE_WORK_MS
}

/**
 * @param parts - store, engine and held items
 * @returns the steps of items
 */
export function createItemLifecycle (parts: ItemLifecycleParts): ItemLifecycle {
  const { clock, log, claimedItems: held } = parts

  const pauseSince = (entry: ClaimedItem, reason: string, pausedAtMs: number): void => {
    entry.run?.abort()
    entry.run = undefined
    entry.state = 'paused'
    entry.pausedAtMs = pausedAtMs
    parts.metrics.itemRuns.inc({ outcome: 'paused' })
    log.info('item paused', { jobId: entry.jobId, itemId: entry.itemId, reason, lastEventId: entry.text.lastEventId })
  }

  const pause = (entry: ClaimedItem, reason: string): void => pauseSince(entry, reason, clock.nowMs())

  /** An item that this engine does not bring on counts as paused all the while, so that others get it in the end. */
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
    held.startCooldown(entry)
    held.drop(entry)
    log.info('item released', { jobId: entry.jobId, itemId: entry.itemId, reason, saved, lastEventId: entry.text.lastEventId })
    return true
  }

  /** The text of an ended item is kept until the store has it, or the item is another runner's. */
  const settle = async (entry: ClaimedItem, end: FinalEnd): Promise<void> => {
    for (;;) {
      const outcome = await writeEnd(entry, end)
      if (outcome === 'applied' || outcome === 'not_applicable' || outcome === 'no_such_job') {
        log.info('item settled', { jobId: entry.jobId, itemId: entry.itemId, end: end.end, outcome })
        if (end.end === 'failed') held.startCooldown(entry)
        held.drop(entry)
        return
      }
      await sleep(clock, SETTLE_RETRY_MS)
    }
  }

  const writeEnd = (entry: ClaimedItem, end: FinalEnd): ReturnType<typeof finishItem> => {
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
    runInBackground(log, 'settle item', () => settle(entry, end))
  }

  /**
   * An engine may answer a second time where the next answer on a connection is expected. Runs of an item bear the same id, so
   * that the failure of an earlier one would count for the next.
   */
  const poolFor = (entry: ClaimedItem, job: JobRecord): Pool => job.failures[entry.item] === undefined ? parts.pool : parts.freshPool

  const run = (entry: ClaimedItem, job: JobRecord, item: JobItem, endpoint: Endpoint): void => {
    const nowMs = clock.nowMs()
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
      held.drop(entry)
      return
    }
    const endpoint = parts.engine.current()
    if (item === undefined || endpoint?.state !== 'ready' || !isWorkFresh(parts) || parts.stopping.aborted) {
      entry.state = 'paused'
      return
    }
    run(entry, job, item, endpoint)
  }

  const begin = async (job: JobRecord, place: number): Promise<void> => {
    const entry = held.add(job, place)
    // Whoever held the item before may have saved text of it, also without saying so in the claim.
    const heldBefore = parts.work.claim(job.jobId, place) !== undefined
    const [claimed, items] = await Promise.all([claimItem(parts, job.jobId, place), parts.submissions.items(job.jobId)])
    if (!claimed) {
      held.startCooldown(entry)
      held.drop(entry)
      parts.onSlotFreed()
      return
    }
    entry.pausedAtMs = clock.nowMs()
    if (items.err || items.val?.[place] === undefined) {
      log.warn('items of a job cannot be read', { jobId: job.jobId, reason: items.err ? items.val.reason : 'no object' })
      entry.state = 'paused'
      return
    }
    const progress = heldBefore ? await readProgress(parts, job.jobId, place) : undefined
    if (progress !== undefined) {
      entry.text = { lastEventId: progress.lastEventId, eventData: progress.text.split('\n') }
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

  return { claimAndRun: begin, resume, pause, release }
}
