/** Runs batch items in the spare slots of the local engine. */
import { runInBackground, sleep } from 'anvilarch-utils'
import { createResultReader } from '../jobs/resultReader'
import { isExpired } from '../jobs/jobRecord'
import type { JobRecord } from '../jobs/types'
import { isRoutedTo } from '../routing/jobRoute'
import type { EventFields } from '../telemetry/events'
import type { LoadReport } from '../endpoints/peerMessages'
import { createEngineView } from './engineView'
import { medianEventIntervalMs } from './fleetEventInterval'
import { createClaimMaintenance } from './claimMaintenance'
import { type ClaimedItem, createClaimedItems } from './claimedItems'
import type { ItemChoiceInput } from './itemChoice'
import { createItemLifecycle } from './itemLifecycle'
import { createPollSchedule } from './pollSchedule'
import { createOnlineUsage } from './onlineUsage'
import { createStartBackoff } from './startBackoff'
import { createSlotScheduler } from './slotScheduler'
import type { RunnerParts, RunnerState } from './types'
import { createJobMaintenance } from './jobMaintenance'
import { hasOpenJobs, liveRunners, othersHoldClaims } from './itemChoice'

/** A started batch runner. */
export interface BatchRunner {
  /** Saves and releases all claimed items; resolves when no claim is left, or when the store has not accepted the writes in time. */
  stop: () => Promise<void>
  /** Drops all items immediately; their claims expire. */
  halt: () => void
  /** Handles a gateway's report of how many of its requests are in progress at a start of the engine. */
  onUsageReport: (gateway: string, startId: string, inProgress: number) => void
  /** @returns the load of the engine; undefined while the store does not list the running start of the engine */
  load: () => LoadReport | undefined
  /** @returns how the slots of the engine are used; undefined while the store does not list the running start of the engine */
  slotUsage: () => EventFields['engine use'] | undefined
  /** @returns whether the engine has spare slots for which no item was found */
  hasUnfilledSlots: () => boolean
  /** @returns whether other runners hold claims, so that it matters whether they are alive */
  othersHoldClaims: () => boolean
}

/** Longest interval between two polls of the engine while there is batch work: an item waits half of it for a free slot that no gateway has reported. */
const BUSY_POLL_INTERVAL_MS = 120

/** The same without batch work. Polls then only correct the usage reports of gateways, and detect an engine that does not respond. */
const IDLE_POLL_INTERVAL_MS = 500

/** Shortest interval between two polls: a poll takes about 0.4 ms of CPU time, and requests end at an engine every 50 ms in a burst. */
const MIN_POLL_INTERVAL_MS = 40

/** After an outage of the store, heartbeats of other runners have this long to resume before their claims are taken over. */
const HEARTBEAT_GRACE_MS = 2500

/** A heartbeat is valid for 6 s and renewed every 2 s: a listing of daemons that is older than this may show a live one as failed. */
const MEMBERS_MAX_AGE_MS = 3500

const MS_PER_SECOND = 1000

/** Interval between two checks for jobs whose items are given up. */
const GIVE_UP_INTERVAL_MS = 2000

/** Interval between two comparisons of this runner's claims in the store with its items in hand. */
const CLAIM_CHECK_INTERVAL_MS = 1000

/** Interval between two checks for jobs past their retention. */
const RETENTION_INTERVAL_MS = 10_000

/** Time limit for saving items at a stop. */
const STOP_TIMEOUT_MS = 3000

/** Pause between two attempts to save items at a stop. */
const STOP_RETRY_INTERVAL_MS = 200

/**
 * @param parts - engine, store and work
 * @returns the runner, already started
 */
export function startBatchRunner (parts: RunnerParts): BatchRunner {
  const { clock, log } = parts
  const controller = new AbortController()
  const claimedItems = createClaimedItems(clock, parts.metrics)
  const { runTimeEstimator, paceMeter } = parts
  const engineBackoff = createStartBackoff(clock)
  const engine = createEngineView({
    log,
    listed: () => parts.endpoints.atAddress(parts.engineAddress),
    onRestart: () => {
      runTimeEstimator.onEngineRestart()
      paceMeter.onRestart()
      engineBackoff.reset()
      claimedItems.all().forEach(entry => entry.backoff.reset())
    }
  })
  const pollSchedule = createPollSchedule({ clock, minPauseMs: MIN_POLL_INTERVAL_MS, maxPauseMs: () => hasWork() ? BUSY_POLL_INTERVAL_MS : IDLE_POLL_INTERVAL_MS })
  const onlineUsage = createOnlineUsage(clock)
  /**
   * Returns a check of whether a job is routed to the service of the engine. The service comes from the list of endpoints, since the
   * address of an engine that is gone may be used by another service.
   */
  const currentRouting = (): (job: JobRecord) => boolean => {
    const configuration = parts.configuration()
    const service = engine.current()?.service
    return job => configuration !== undefined && service !== undefined && isRoutedTo(configuration, job, service)
  }

  const mayRun = (job: JobRecord): boolean => currentRouting()(job)

  const lifecycle = createItemLifecycle({
    ...parts, mayRun, engine, claimedItems, engineBackoff, submissions: createResultReader(parts.store), stopping: controller.signal, onSlotFreed: pollSchedule.request
  })
  let reachable = false
  /** In whole ms, and at least 1. */
  const eventIntervalMs = (): number | undefined => {
    const intervalMs = paceMeter.eventIntervalMs(clock.nowMs())
    return intervalMs === undefined ? undefined : Math.max(1, Math.round(intervalMs))
  }
  /** Whether an item may need a slot that becomes free. */
  const hasWork = (): boolean => claimedItems.all().length > 0 || hasOpenJobs(parts.work)

  const priorityRank = (job: JobRecord): number => {
    const account = job.account === undefined ? undefined : parts.configuration()?.accounts?.byName(job.account)
    return account?.priorityRank ?? 0
  }

  const heartbeatsTrusted = (): boolean => {
    return clock.nowMs() - (parts.store.lastFailureMs() ?? -Infinity) > HEARTBEAT_GRACE_MS && parts.membersAgeMs() < MEMBERS_MAX_AGE_MS
  }

  const choiceInput = (storeNowMs: number): ItemChoiceInput => {
    // Computed once for all items of a choice, like the service of the engine in `currentRouting`.
    const fleetEventIntervalMs = medianEventIntervalMs(parts.work, storeNowMs)
    return {
      work: parts.work,
      runner: parts.runner,
      incarnation: parts.incarnation,
      runners: liveRunners(parts.work, storeNowMs),
      storeNowMs,
      heartbeatsTrusted: heartbeatsTrusted(),
      mayRun: currentRouting(),
      priorityRank,
      remainingMs: runTimeEstimator.remainingMs,
      remainingElsewhereMs: (tokens, lastEventId) => runTimeEstimator.remainingMs(tokens, lastEventId, fleetEventIntervalMs),
      isSkipped: claimedItems.isClaimedOrCoolingDown
    }
  }

  const isRouted = (entry: ClaimedItem): boolean => {
    const job = parts.work.job(entry.jobId)?.record
    return job !== undefined && mayRun(job)
  }

  const isItemExpired = (entry: ClaimedItem): boolean => {
    const job = parts.work.job(entry.jobId)?.record
    const storeNowMs = parts.store.storeNowMs()
    return job !== undefined && storeNowMs !== undefined && isExpired(job, storeNowMs)
  }

  const state: RunnerState = { claimedItems, lifecycle, engineBackoff, isRouted, isExpired: isItemExpired, choiceInput }
  const slotScheduler = createSlotScheduler(parts, state)
  const claimMaintenance = createClaimMaintenance(parts, state)
  const jobMaintenance = createJobMaintenance({ ...parts, choiceInput, stopping: controller.signal })

  const pollEngine = async (): Promise<void> => {
    const reportRequestedAtMs = clock.nowMs()
    const report = await parts.readReport()
    const endpoint = engine.update(report)
    claimMaintenance.dropLostItems()
    reachable = report !== undefined
    if (report !== undefined && endpoint !== undefined) {
      paceMeter.onReport(report.runs, reportRequestedAtMs)
      parts.metrics.eventIntervalSeconds.set((eventIntervalMs() ?? 0) / MS_PER_SECOND)
      onlineUsage.onPoll(endpoint.startId, Math.max(0, report.running + report.waiting - claimedItems.inState('running').length))
      slotScheduler.onPoll(report, endpoint, reportRequestedAtMs)
    }
    claimMaintenance.sampleEventIntervals()
    claimMaintenance.saveRunning()
    claimMaintenance.releaseUnwanted(endpoint)
  }

  const repeat = async (pause: () => Promise<void>, action: () => Promise<void>): Promise<void> => {
    while (!controller.signal.aborted) {
      try {
        await action()
      } catch (error) {
        log.error('runner step failed', { reason: (error as Error).message })
      }
      await pause()
    }
  }
  runInBackground(log, 'runner', () => repeat(() => pollSchedule.next(controller.signal), pollEngine))
  runInBackground(log, 'orphaned claims', () => repeat(() => sleep(clock, CLAIM_CHECK_INTERVAL_MS, controller.signal), claimMaintenance.releaseOrphanedClaims))
  runInBackground(log, 'retention', () => repeat(() => sleep(clock, RETENTION_INTERVAL_MS, controller.signal), jobMaintenance.retire))
  runInBackground(log, 'give up', () => repeat(() => sleep(clock, GIVE_UP_INTERVAL_MS, controller.signal), jobMaintenance.giveUp))

  /** A claim whose write got no response is not in hand, but other runners would wait for it until the heartbeat has expired. */
  const holdsClaims = (): boolean => claimedItems.all().length > 0 || claimMaintenance.hasOrphanedClaims()

  return {
    onUsageReport: (gateway, startId, inProgress) => {
      const before = onlineUsage.online()
      onlineUsage.onUsageReport(gateway, startId, inProgress)
      const now = onlineUsage.online()
      const endpoint = engine.current()
      if (now > before && endpoint !== undefined) slotScheduler.onOnlineIncrease(now, endpoint)
      if (now < before && hasWork()) pollSchedule.request()
    },
    slotUsage: () => {
      const endpoint = engine.current()
      if (endpoint === undefined) return undefined
      return {
        endpoint: endpoint.startId,
        slots: endpoint.slots,
        online: onlineUsage.online(),
        batchRunning: claimedItems.inState('running').length,
        batchPaused: claimedItems.inState('paused').length,
        reachable,
        eventIntervalMs: eventIntervalMs()
      }
    },
    load: () => {
      const endpoint = engine.current()
      if (endpoint === undefined) return undefined
      return { startId: endpoint.startId, online: onlineUsage.online(), batchRunning: claimedItems.inState('running').length, reachable, eventIntervalMs: eventIntervalMs() }
    },
    hasUnfilledSlots: slotScheduler.hasUnfilledSlots,
    othersHoldClaims: () => othersHoldClaims(parts.work, parts.runner),
    halt: () => {
      controller.abort()
      claimedItems.all().forEach(claimedItems.drop)
    },
    stop: async () => {
      controller.abort()
      const untilMs = clock.nowMs() + STOP_TIMEOUT_MS
      while (holdsClaims() && clock.nowMs() < untilMs) {
        for (const entry of claimedItems.inState('running')) lifecycle.pause(entry, 'stopping')
        await Promise.all(claimedItems.inState('paused').map(entry => lifecycle.release(entry, 'stopping')))
        await claimMaintenance.releaseOrphanedClaims()
        if (holdsClaims()) await sleep(clock, STOP_RETRY_INTERVAL_MS)
      }
      log.info('runner stopped', { unsavedItems: claimedItems.all().length })
    }
  }
}
