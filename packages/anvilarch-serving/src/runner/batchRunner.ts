/** Runs batch items in the slack of the engine beside the agent. */
import { type Clock, type Logger, sleep } from 'anvilarch-utils'
import type { Pool } from 'undici'
import type { EndpointTable } from '../endpoints/endpointTable'
import type { LoadReport } from '../endpoints/loadTable'
import { isExpired } from '../jobs/jobRecord'
import { createResultReader } from '../jobs/resultReader'
import type { JobItem, JobRecord } from '../jobs/types'
import type { Configuration, Endpoint } from '../model/types'
import { matchRoute } from '../routing/matchRoute'
import type { Attempt } from '../requests/runAttempt'
import type { EngineReport, PlatformWire } from '../roles/types'
import type { ServingMetrics } from '../telemetry/metrics'
import { type ClaimParts, claimItem, failItem, finishItem, ownClaimVersion, readProgress, saveClaim } from './claims'
import { chooseItems, urgency } from './itemChoice'
import { type ItemText, type RunEnd, runItem } from './itemRun'
import { createPace } from './pace'
import { planSlack, unseenItems } from './slack'

/** Parts of the runner. */
export interface RunnerParts extends ClaimParts {
  clock: Clock
  log: Logger
  metrics: ServingMetrics
  endpoints: EndpointTable
  configuration: () => Configuration | undefined
  wire: PlatformWire
  /** Connections to the engine beside the agent. */
  pool: Pool
  engineAddress: string
  service: string
  readReport: () => Promise<EngineReport | undefined>
  publish: (report: LoadReport) => void
}

/** A batch runner at work. */
export interface BatchRunner {
  /** Saves and lets go of everything; resolves when that is done or the store has not taken it in time. */
  stop: () => Promise<void>
  /** Drops everything at once; the claims lapse. */
  halt: () => void
}

/** An item that this process holds or is about to. */
interface HeldItem {
  jobId: string
  item: number
  state: 'claiming' | 'running' | 'paused' | 'finishing' | 'saving'
  text: ItemText
  savedEventId: number
  savedAtMs: number
  pausedAtMs: number
  run?: Attempt
  startedAtMs: number
  /** Last event before the run in progress. */
  startedAfterEventId: number
  tokens: number
  itemId: string
  dueAtMs: number
}

/** Pause between two looks at the engine while items run or wait to. Online requests come about every 100 ms in a burst. */
const BUSY_TICK_MS = 20

/** The same without batch work; the report also tells gateways of the load. */
const IDLE_TICK_MS = 40

/** A paused item waits for this long on its own engine before others may take it: two thirds of a burst are shorter. */
const PAUSE_HOLD_MS = 800

/** Running items save what they have this often, so that a lost host costs a resume. */
const SAVE_INTERVAL_MS = 1500

/** An item that could not be claimed or run is left to others for this long. */
const SKIP_MS = 300

/** After an outage of the store, heartbeats of others have this long to come back before their claims are taken. */
const HEARTBEAT_GRACE_MS = 2500

/** Without an answer of the store for this long, nothing new starts: the job may have been ended meanwhile. */
const STALE_WORK_MS = 1500

/** How long a stop tries to save items. */
const STOP_PATIENCE_MS = 3000

/** Pause before the text of an ended item is offered to the store again. */
const FINISH_RETRY_MS = 200

const MIN_DEADLINE_MS = 1000

/**
 * @param parts - engine, store and work
 * @returns the runner, already at work
 */
export function startBatchRunner (parts: RunnerParts): BatchRunner {
  const { clock, log } = parts
  const held = new Map<string, HeldItem>()
  const skippedUntilMs = new Map<string, number>()
  const submissions = createResultReader(parts.store)
  const controller = new AbortController()
  const pace = createPace()

  const idOf = (jobId: string, item: number): string => `${jobId}/${item}`
  const drop = (entry: HeldItem): void => {
    entry.run?.abort()
    held.delete(idOf(entry.jobId, entry.item))
    parts.metrics.itemsInHand.set(held.size)
  }
  const skip = (entry: HeldItem): void => { skippedUntilMs.set(idOf(entry.jobId, entry.item), clock.nowMs() + SKIP_MS) }
  const own = (): Endpoint | undefined => parts.endpoints.atAddress(parts.engineAddress)
  const storeIsFresh = (): boolean => clock.nowMs() - (parts.store.lastSuccessMs() ?? -Infinity) < STALE_WORK_MS

  const mayRun = (job: JobRecord): boolean => {
    const configuration = parts.configuration()
    const route = configuration === undefined ? undefined : matchRoute(configuration, job.host, job.path)
    return route?.targets.some(target => target.service === parts.service && target.weight > 0) ?? false
  }

  const pause = (entry: HeldItem, reason: string): void => {
    entry.run?.abort()
    entry.run = undefined
    entry.state = 'paused'
    entry.pausedAtMs = clock.nowMs()
    parts.metrics.itemRuns.inc({ outcome: 'paused' })
    log.info('item paused', { jobId: entry.jobId, itemId: entry.itemId, reason, lastEventId: entry.text.lastEventId })
  }

  const release = async (entry: HeldItem): Promise<boolean> => {
    entry.run?.abort()
    entry.run = undefined
    entry.state = 'saving'
    const progress = entry.text.lastEventId > entry.savedEventId ? progressOf(entry) : undefined
    const saved = await saveClaim(parts, entry.jobId, entry.item, progress, false)
    if (!saved && ownClaimVersion(parts, entry.jobId, entry.item) !== undefined) {
      entry.state = 'paused'
      return false
    }
    skip(entry)
    drop(entry)
    log.info('item released', { jobId: entry.jobId, itemId: entry.itemId, saved, lastEventId: entry.text.lastEventId })
    return true
  }

  const onRunEnd = (entry: HeldItem, end: RunEnd): void => {
    entry.run = undefined
    parts.metrics.itemRuns.inc({ outcome: end.end })
    log.info('item run ended', { jobId: entry.jobId, itemId: entry.itemId, end: end.end, reason: end.end === 'interrupted' ? end.reason : undefined, lastEventId: entry.text.lastEventId, elapsedMs: Math.round(clock.nowMs() - entry.startedAtMs) })
    if (end.end === 'interrupted') {
      pause(entry, end.reason)
      return
    }
    if (end.end === 'completed') {
      pace.onRun(entry.text.lastEventId - entry.startedAfterEventId, clock.nowMs() - entry.startedAtMs)
      pace.onItem(entry.tokens, entry.text.lastEventId)
    }
    entry.state = 'finishing'
    void settle(entry, end)
  }

  /** The text of an ended item is kept until the store has it, or the item is another runner's. */
  const settle = async (entry: HeldItem, end: Exclude<RunEnd, { end: 'interrupted' }>): Promise<void> => {
    for (;;) {
      const outcome = end.end === 'failed'
        ? await failItem(parts, entry.jobId, entry.item)
        : await finishItem(parts, entry.jobId, entry.item, end.end === 'completed' ? 'completed' : 'dead_letter', end.end === 'completed' ? end.text : '')
      if (outcome === 'applied' || outcome === 'not_applicable' || outcome === 'no_such_job') {
        log.info('item settled', { jobId: entry.jobId, itemId: entry.itemId, end: end.end, outcome })
        if (end.end === 'failed') skip(entry)
        drop(entry)
        return
      }
      await sleep(clock, FINISH_RETRY_MS)
    }
  }

  const run = (entry: HeldItem, job: JobRecord, item: JobItem, endpoint: Endpoint): void => {
    entry.state = 'running'
    entry.startedAtMs = clock.nowMs()
    entry.startedAfterEventId = entry.text.lastEventId
    entry.savedAtMs = clock.nowMs()
    entry.run = runItem({
      clock,
      pool: parts.pool,
      requestWire: parts.wire.request,
      engineWire: parts.wire.engine,
      item,
      host: job.host,
      endpointId: endpoint.id,
      deadlineMs: Math.max(MIN_DEADLINE_MS, Math.round(job.expiresAtMs - (parts.store.storeNowMs() ?? job.submittedAtMs))),
      text: entry.text,
      onEnd: end => onRunEnd(entry, end)
    })
  }

  const begin = async (job: JobRecord, place: number): Promise<void> => {
    const entry: HeldItem = {
      jobId: job.jobId, item: place, state: 'claiming', text: { lastEventId: 0, pieces: [] }, savedEventId: 0, savedAtMs: 0, pausedAtMs: clock.nowMs(), startedAtMs: clock.nowMs(), startedAfterEventId: 0, tokens: job.itemTokens[place], itemId: job.itemIds[place], dueAtMs: job.dueAtMs
    }
    held.set(idOf(job.jobId, place), entry)
    parts.metrics.itemsInHand.set(held.size)
    const [claimed, items] = await Promise.all([claimItem(parts, job.jobId, place), submissions.items(job.jobId)])
    const item = items.ok ? items.val?.[place] : undefined
    if (!claimed || item === undefined) {
      skip(entry)
      drop(entry)
      return
    }
    const savedEventId = parts.work.claim(job.jobId, place)?.record.savedEventId ?? 0
    const progress = savedEventId > 0 ? await readProgress(parts, job.jobId, place) : undefined
    if (progress !== undefined) {
      entry.text = { lastEventId: progress.lastEventId, pieces: progress.text.split('\n') }
      entry.savedEventId = progress.lastEventId
    }
    log.info('item claimed', { jobId: job.jobId, itemId: entry.itemId, fromEventId: entry.text.lastEventId, dueInMs: Math.round(job.dueAtMs - (parts.store.storeNowMs() ?? 0)) })
    await resume(entry)
  }

  const resume = async (entry: HeldItem): Promise<void> => {
    const job = parts.work.job(entry.jobId)?.record
    const items = await submissions.items(entry.jobId)
    const item = items.ok ? items.val?.[entry.item] : undefined
    const endpoint = own()
    if (job === undefined || job.ended || ownClaimVersion(parts, entry.jobId, entry.item) === undefined) {
      drop(entry)
      return
    }
    if (item === undefined || endpoint?.state !== 'ready' || !storeIsFresh() || controller.signal.aborted) {
      entry.state = 'paused'
      return
    }
    run(entry, job, item, endpoint)
  }

  /** Ends what is no longer this runner's or no longer wanted. */
  const review = (): void => {
    for (const entry of [...held.values()]) {
      if (entry.state === 'claiming' || entry.state === 'finishing' || entry.state === 'saving') continue
      const job = parts.work.job(entry.jobId)?.record
      const lost = ownClaimVersion(parts, entry.jobId, entry.item) === undefined
      if (job !== undefined && !job.ended && !lost) continue
      log.info('item dropped', { jobId: entry.jobId, itemId: entry.itemId, reason: lost ? 'claim_lost' : 'job_ended' })
      drop(entry)
    }
  }

  const saveRunning = (): void => {
    const nowMs = clock.nowMs()
    for (const entry of held.values()) {
      if (entry.state !== 'running' || nowMs - entry.savedAtMs < SAVE_INTERVAL_MS || entry.text.lastEventId <= entry.savedEventId) continue
      entry.savedAtMs = nowMs
      const progress = progressOf(entry)
      saveClaim(parts, entry.jobId, entry.item, progress, true)
        .then(saved => { if (saved) entry.savedEventId = progress.lastEventId })
        .catch(error => log.warn('progress not saved', { itemId: entry.itemId, reason: (error as Error).message }))
    }
  }

  const expire = async (): Promise<void> => {
    const storeNowMs = parts.store.storeNowMs()
    if (storeNowMs === undefined) return
    for (const { record: job } of [...parts.work.jobs()]) {
      if (job.ended || job.listed.length >= job.itemIds.length || !isExpired(job, storeNowMs) || !mayRun(job)) continue
      for (const place of chooseItems({ ...choiceInput(storeNowMs), mayRun: candidate => candidate.jobId === job.jobId }, job.itemIds.length)) {
        if (await claimItem(parts, job.jobId, place.item)) await finishItem(parts, job.jobId, place.item, 'dead_letter', '')
      }
    }
  }

  const choiceInput = (storeNowMs: number): Parameters<typeof chooseItems>[0] => {
    const nowMs = clock.nowMs()
    return {
      work: parts.work,
      runner: parts.runner,
      incarnation: parts.incarnation,
      storeNowMs,
      heartbeatsTrusted: nowMs - (parts.store.lastFailureMs() ?? -Infinity) > HEARTBEAT_GRACE_MS,
      mayRun,
      remainingMs: pace.remainingMs,
      isSkipped: (jobId, item) => held.has(idOf(jobId, item)) || (skippedUntilMs.get(idOf(jobId, item)) ?? 0) > nowMs
    }
  }

  const urgencyOf = (entry: HeldItem, storeNowMs: number): number =>
    urgency(entry.dueAtMs - storeNowMs, pace.remainingMs(entry.tokens, entry.text.lastEventId))

  const startItems = (count: number): void => {
    const storeNowMs = parts.store.storeNowMs()
    if (storeNowMs === undefined) return
    const paused = [...held.values()].filter(entry => entry.state === 'paused').map(entry => ({ entry, urgency: urgencyOf(entry, storeNowMs) }))
    // A claim names the life of its holder, which others know by its heartbeat.
    const mayClaim = parts.work.member(parts.runner)?.record.incarnation === parts.incarnation
    const fresh = mayClaim ? chooseItems(choiceInput(storeNowMs), count) : []
    const chosen = [...paused, ...fresh].sort((a, b) => a.urgency - b.urgency).slice(0, count)
    for (const next of chosen) {
      if ('entry' in next) {
        next.entry.state = 'claiming'
        void resume(next.entry)
      } else {
        begin(next.job, next.item).catch(error => log.error('item start failed', { reason: (error as Error).message }))
      }
    }
  }

  const stopItems = (count: number): void => {
    const storeNowMs = parts.store.storeNowMs() ?? 0
    const running = [...held.values()].filter(entry => entry.state === 'running').sort((a, b) => urgencyOf(b, storeNowMs) - urgencyOf(a, storeNowMs))
    for (const entry of running.slice(0, count)) pause(entry, 'online_requests')
  }

  const tick = async (): Promise<void> => {
    const reportAskedAtMs = clock.nowMs()
    const report = await parts.readReport()
    const endpoint = own()
    review()
    if (endpoint !== undefined) {
      parts.publish({ endpointId: endpoint.id, running: report?.running ?? 0, waiting: report?.waiting ?? 0, batchRunning: countOf('running'), reachable: report !== undefined })
    }
    const takesWork = endpoint?.state === 'ready' && report !== undefined && storeIsFresh()
    if (report !== undefined && endpoint !== undefined) {
      const started = [...held.values()].filter(entry => entry.state === 'running').map(entry => entry.startedAtMs)
      const ownUnseen = countOf('claiming') + unseenItems(started, reportAskedAtMs)
      const plan = planSlack({ slots: endpoint.slots, running: report.running, waiting: report.waiting, ownItems: countOf('running'), ownUnseen })
      if (plan.stop > 0) stopItems(plan.stop)
      if (plan.start > 0 && takesWork) startItems(plan.start)
    }
    saveRunning()
    const nowMs = clock.nowMs()
    for (const entry of [...held.values()]) {
      const leaving = endpoint?.state !== 'ready' && entry.state === 'running'
      const longPaused = entry.state === 'paused' && nowMs - entry.pausedAtMs > PAUSE_HOLD_MS
      if (leaving || longPaused) void release(entry)
    }
  }

  const countOf = (state: HeldItem['state']): number => [...held.values()].filter(entry => entry.state === state).length

  const loop = async (): Promise<void> => {
    while (!controller.signal.aborted) {
      try {
        await tick()
      } catch (error) {
        log.error('runner tick failed', { reason: (error as Error).message })
      }
      await sleep(clock, held.size > 0 ? BUSY_TICK_MS : IDLE_TICK_MS, controller.signal)
    }
  }
  const expiryLoop = async (): Promise<void> => {
    while (!controller.signal.aborted) {
      await sleep(clock, EXPIRY_INTERVAL_MS, controller.signal)
      await expire()
    }
  }
  void loop()
  void expiryLoop()

  return {
    halt: () => {
      controller.abort()
      for (const entry of [...held.values()]) drop(entry)
    },
    stop: async () => {
      controller.abort()
      const untilMs = clock.nowMs() + STOP_PATIENCE_MS
      for (const entry of held.values()) if (entry.state === 'running') pause(entry, 'stopping')
      while (held.size > 0 && clock.nowMs() < untilMs) {
        await Promise.all([...held.values()].filter(entry => entry.state === 'paused').map(release))
        if (held.size > 0) await sleep(clock, FINISH_RETRY_MS)
      }
      log.info('runner stopped', { unsavedItems: held.size })
    }
  }
}

/** How often jobs are looked through for items past their age. */
const EXPIRY_INTERVAL_MS = 2000

function progressOf (entry: HeldItem): { lastEventId: number, text: string } {
  return { lastEventId: entry.text.lastEventId, text: entry.text.pieces.join('\n') }
}
