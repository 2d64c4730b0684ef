/** Runs batch items in the slack of the engine beside the agent. */
import { runInBackground, sleep } from 'anvilarch-utils'
import { v3 as murmurhash } from 'murmurhash'
import type { Pool } from 'undici'
import type { EndpointTable } from '../endpoints/endpointTable'
import type { LoadReport } from '../endpoints/loadTable'
import { isClosed, isExpired } from '../jobs/jobRecord'
import { createResultReader } from '../jobs/resultReader'
import { isRetired, removeJob } from '../jobs/retention'
import type { JobRecord } from '../jobs/types'
import type { Configuration, Endpoint } from '../model/types'
import type { EngineReport, PlatformWire } from '../roles/types'
import { matchRoute } from '../routing/matchRoute'
import type { ServingMetrics } from '../telemetry/metrics'
import { type ClaimParts, claimItem, finishItem, ownClaimVersion, saveClaim } from './claims'
import { createHeldItems, type HeldItem, progressOf } from './heldItems'
import { fleetEventMs } from './fleetPace'
import { chooseItems, isBetterElsewhere, type ItemChoiceInput, urgency } from './itemChoice'
import { createItemSteps, isWorkFresh, type ReleaseReason } from './itemSteps'
import type { Pace } from './pace'
import { createRefusals } from './refusals'
import { planSlack, unseenItems } from './slack'

/** Parts of the runner. */
export interface RunnerParts extends ClaimParts {
  metrics: ServingMetrics
  endpoints: EndpointTable
  configuration: () => Configuration | undefined
  wire: PlatformWire
  /** Connections to the engine beside the agent. */
  pool: Pool
  engineAddress: string
  service: string
  /** How long results are promised, from the submission on. */
  retentionMs: number
  readReport: () => Promise<EngineReport | undefined>
  publish: (report: LoadReport) => void
  pace: Pace
}

/** A batch runner at work. */
export interface BatchRunner {
  /** Saves and lets go of everything; resolves when that is done or the store has not taken it in time. */
  stop: () => Promise<void>
  /** Drops everything at once; the claims lapse. */
  halt: () => void
}

/** Pause between two looks at the engine while items are held. Online requests come about every 100 ms in a burst. */
const BUSY_TICK_MS = 20

/** The same without batch work; the report also tells gateways of the load. */
const IDLE_TICK_MS = 40

/** A paused item waits for this long on its own engine before others may take it: two thirds of a burst are shorter. */
const PAUSE_HOLD_MS = 800

/** Pace is learned from runs in progress this often, so that an engine that turns slow is noticed within a second. */
const PACE_INTERVAL_MS = 500

/** Running items save what they have this often, so that a lost host costs a resume. */
const SAVE_INTERVAL_MS = 1500

/** After an outage of the store, heartbeats of others have this long to come back before their claims are taken. */
const HEARTBEAT_GRACE_MS = 2500

/** How often jobs are looked through for items past their age. */
const EXPIRY_INTERVAL_MS = 2000

/** How often jobs are looked through for those that are past their retention. */
const RETENTION_INTERVAL_MS = 10_000

/** How long a stop tries to save items. */
const STOP_PATIENCE_MS = 3000

/** Pause between two tries of a stop. */
const STOP_RETRY_MS = 200

/**
 * @param parts - engine, store and work
 * @returns the runner, already at work
 */
export function startBatchRunner (parts: RunnerParts): BatchRunner {
  const { clock, log } = parts
  const controller = new AbortController()
  const held = createHeldItems(clock, parts.metrics)
  const { pace } = parts
  const engineRefusals = createRefusals(clock)
  const steps = createItemSteps({ ...parts, held, engineRefusals, submissions: createResultReader(parts.store), stopping: controller.signal })

  const mayRun = (job: JobRecord): boolean => {
    const configuration = parts.configuration()
    const route = configuration === undefined ? undefined : matchRoute(configuration, job.host, job.path)
    return route?.targets.some(target => target.service === parts.service && target.weight > 0) ?? false
  }

  const choiceInput = (storeNowMs: number): ItemChoiceInput => ({
    work: parts.work,
    runner: parts.runner,
    incarnation: parts.incarnation,
    storeNowMs,
    heartbeatsTrusted: clock.nowMs() - (parts.store.lastFailureMs() ?? -Infinity) > HEARTBEAT_GRACE_MS,
    mayRun,
    remainingMs: pace.remainingMs,
    remainingElsewhereMs: (tokens, lastEventId) => pace.remainingMs(tokens, lastEventId, fleetEventMs(parts.work, storeNowMs)),
    isSkipped: held.isHeldOrLeft
  })

  /** Ends what is no longer this runner's or no longer wanted. */
  const review = (): void => {
    for (const entry of [...held.inState('running'), ...held.inState('paused')]) {
      const job = parts.work.job(entry.jobId)?.record
      const lost = ownClaimVersion(parts, entry.jobId, entry.item) === undefined
      if (job !== undefined && !job.ended && !lost) continue
      log.info('item dropped', { jobId: entry.jobId, itemId: entry.itemId, reason: lost ? 'claim_lost' : 'job_ended' })
      held.drop(entry)
    }
  }

  const learnPace = (): void => {
    const nowMs = clock.nowMs()
    for (const entry of held.inState('running')) {
      if (nowMs - entry.pacedAtMs < PACE_INTERVAL_MS) continue
      pace.onRun(entry.text.lastEventId - entry.pacedEventId, nowMs - entry.pacedAtMs)
      entry.pacedAtMs = nowMs
      entry.pacedEventId = entry.text.lastEventId
    }
  }

  /** Items that would be late at this engine and in time at another. */
  const betterElsewhere = (): HeldItem[] => {
    const storeNowMs = parts.store.storeNowMs()
    if (storeNowMs === undefined) return []
    const eventMs = fleetEventMs(parts.work, storeNowMs)
    return held.inState('running').filter(entry => isBetterElsewhere(
      entry.dueAtMs - storeNowMs,
      pace.remainingMs(entry.tokens, entry.text.lastEventId),
      pace.remainingMs(entry.tokens, entry.text.lastEventId, eventMs)
    ))
  }

  const saveRunning = (): void => {
    const nowMs = clock.nowMs()
    for (const entry of held.inState('running')) {
      if (nowMs - entry.savedAtMs < SAVE_INTERVAL_MS || entry.text.lastEventId <= entry.savedEventId) continue
      entry.savedAtMs = nowMs
      const progress = progressOf(entry)
      runInBackground(log, 'save progress', async () => {
        const saved = await saveClaim(parts, entry.jobId, entry.item, progress, true)
        if (saved) entry.savedEventId = progress.lastEventId
      })
    }
  }

  const urgencyOf = (entry: HeldItem, storeNowMs: number): number =>
    urgency(entry.dueAtMs - storeNowMs, pace.remainingMs(entry.tokens, entry.text.lastEventId))

  const startItems = (count: number): void => {
    const storeNowMs = parts.store.storeNowMs()
    if (storeNowMs === undefined || !engineRefusals.mayStart()) return
    const resumable = held.inState('paused').filter(entry => entry.refusals.mayStart())
    const paused = resumable.map(entry => ({ entry, urgency: urgencyOf(entry, storeNowMs) }))
    // A claim names the life of its holder, which others know by its heartbeat.
    const mayClaim = parts.work.member(parts.runner)?.record.incarnation === parts.incarnation
    const fresh = mayClaim ? chooseItems(choiceInput(storeNowMs), count) : []
    const chosen = [...paused, ...fresh].sort((a, b) => a.urgency - b.urgency).slice(0, count)
    for (const next of chosen) {
      if ('entry' in next) {
        next.entry.state = 'claiming'
        runInBackground(log, 'resume item', () => steps.resume(next.entry))
      } else {
        runInBackground(log, 'begin item', () => steps.begin(next.job, next.item))
      }
    }
  }

  const stopItems = (count: number): void => {
    const storeNowMs = parts.store.storeNowMs() ?? 0
    const leastUrgentFirst = held.inState('running').sort((a, b) => urgencyOf(b, storeNowMs) - urgencyOf(a, storeNowMs))
    for (const entry of leastUrgentFirst.slice(0, count)) steps.pause(entry, 'online_requests')
  }

  const balance = (report: EngineReport, endpoint: Endpoint, reportAskedAtMs: number): void => {
    const running = held.inState('running')
    const plan = planSlack({
      slots: endpoint.slots,
      running: report.running,
      waiting: report.waiting,
      ownItems: running.length,
      ownUnseen: held.inState('claiming').length + unseenItems(running.map(entry => entry.startedAtMs), reportAskedAtMs)
    })
    if (plan.stop > 0) stopItems(plan.stop)
    if (plan.start > 0 && endpoint.state === 'ready' && isWorkFresh(parts)) startItems(plan.start)
  }

  const releaseUnwanted = (endpoint: Endpoint | undefined): void => {
    const nowMs = clock.nowMs()
    const isReady = endpoint?.state === 'ready'
    const releaseAll = (entries: HeldItem[], reason: ReleaseReason): void => {
      for (const entry of entries) runInBackground(log, 'release item', () => steps.release(entry, reason))
    }
    releaseAll(held.inState('paused').filter(entry => nowMs - entry.pausedAtMs > PAUSE_HOLD_MS), 'long_paused')
    if (isReady) releaseAll(betterElsewhere(), 'better_elsewhere')
    else releaseAll(held.inState('running'), 'endpoint_not_ready')
  }

  const tick = async (): Promise<void> => {
    const reportAskedAtMs = clock.nowMs()
    const report = await parts.readReport()
    const endpoint = parts.endpoints.atAddress(parts.engineAddress)
    review()
    if (endpoint !== undefined) {
      parts.publish({
        endpointId: endpoint.id,
        running: report?.running ?? 0,
        waiting: report?.waiting ?? 0,
        batchRunning: held.inState('running').length,
        reachable: report !== undefined
      })
    }
    if (report !== undefined && endpoint !== undefined) balance(report, endpoint, reportAskedAtMs)
    learnPace()
    saveRunning()
    releaseUnwanted(endpoint)
  }

  /** Gives up what is past its age and held by nobody. */
  const expire = async (): Promise<void> => {
    const storeNowMs = parts.store.storeNowMs()
    if (storeNowMs === undefined) return
    const expired = [...parts.work.jobs()].map(entry => entry.record).filter(job => !isClosed(job) && isExpired(job, storeNowMs))
    for (const job of expired) {
      const free = chooseItems({ ...choiceInput(storeNowMs), mayRun: candidate => candidate.jobId === job.jobId && mayRun(candidate) }, job.itemIds.length)
      for (const candidate of free) {
        if (await claimItem(parts, job.jobId, candidate.item)) await finishItem(parts, job.jobId, candidate.item, 'dead_letter', '')
      }
    }
  }

  /** Each job is removed by the runner that its id falls on among those alive, so that they do not all try. */
  const retire = async (): Promise<void> => {
    const storeNowMs = parts.store.storeNowMs()
    if (storeNowMs === undefined) return
    const retired = [...parts.work.jobs()].map(entry => entry.record).filter(job => isRetired(job, storeNowMs, parts.retentionMs))
    const runners = [...parts.work.members()].map(member => member.record).filter(member => member.role === 'agent' && member.aliveUntilMs > storeNowMs)
    for (const job of retired) {
      const names = runners.map(member => member.name).sort()
      if (names[murmurhash(job.jobId) % names.length] === parts.runner) await removeJob(parts, job, log)
    }
  }

  const repeat = async (intervalMs: () => number, action: () => Promise<void>): Promise<void> => {
    while (!controller.signal.aborted) {
      try {
        await action()
      } catch (error) {
        log.error('runner step failed', { reason: (error as Error).message })
      }
      await sleep(clock, intervalMs(), controller.signal)
    }
  }
  runInBackground(log, 'runner', () => repeat(() => held.all().length > 0 ? BUSY_TICK_MS : IDLE_TICK_MS, tick))
  runInBackground(log, 'retention', () => repeat(() => RETENTION_INTERVAL_MS, retire))
  runInBackground(log, 'expiry', () => repeat(() => EXPIRY_INTERVAL_MS, expire))

  return {
    halt: () => {
      controller.abort()
      held.all().forEach(held.drop)
    },
    stop: async () => {
      controller.abort()
      const untilMs = clock.nowMs() + STOP_PATIENCE_MS
      while (held.all().length > 0 && clock.nowMs() < untilMs) {
        for (const entry of held.inState('running')) steps.pause(entry, 'stopping')
        await Promise.all(held.inState('paused').map(entry => steps.release(entry, 'stopping')))
        if (held.all().length > 0) await sleep(clock, STOP_RETRY_MS)
      }
      log.info('runner stopped', { unsavedItems: held.all().length })
    }
  }
}
