/** Runs batch items in the slack of the engine beside the agent. */
import { runInBackground, sleep } from 'anvilarch-utils'
import { createResultReader } from '../jobs/resultReader'
import type { JobRecord } from '../jobs/types'
import { matchRoute } from '../routing/matchRoute'
import type { EventFields } from '../telemetry/events'
import type { LoadReport } from '../endpoints/peerMessages'
import { createEngineView } from './engineView'
import { medianEventIntervalMs } from './fleetEventInterval'
import { createClaimMaintenance } from './claimMaintenance'
import { createClaimedItems } from './claimedItems'
import type { ItemChoiceInput } from './itemChoice'
import { createItemLifecycle } from './itemLifecycle'
import { createPollSchedule } from './pollSchedule'
import { createOnlineUsage } from './onlineUsage'
import { createStartBackoff } from './startBackoff'
import { createSlotScheduler } from './slotScheduler'
import type { RunnerParts, RunnerState } from './types'
import { createJobMaintenance } from './jobMaintenance'
import { hasOpenJobs, liveRunners, othersHoldClaims } from './itemChoice'

/** A batch runner at work. */
export interface BatchRunner {
  /** Saves and lets go of everything; resolves when that is done or the store has not taken it in time. */
  stop: () => Promise<void>
  /** Drops everything at once; the claims lapse. */
  halt: () => void
  /** A gateway has told how many of its requests are in progress at a start of the engine. */
  onUsageReport: (gateway: string, startId: string, inProgress: number) => void
  /** @returns how busy the engine is; undefined while it is not known which start it is */
  load: () => LoadReport | undefined
  /** @returns how the slots of the engine are used; undefined while there is no engine to tell of */
  slotUsage: () => EventFields['engine use'] | undefined
  /** @returns whether the engine has slots to spare for which no item was found */
  hasUnfilledSlots: () => boolean
  /** @returns whether other runners hold items, so that it matters whether they are alive */
  othersHoldClaims: () => boolean
}

/** Longest pause between two looks at the engine while there is batch work: an item waits half of it for a slot that nobody has told of. */
const BUSY_LOOK_MS = 120

/** The same without batch work. Looks then only correct what gateways tell, and find an engine that does not answer. */
const IDLE_LOOK_MS = 500

/** Shortest pause between two looks: a look costs some 0.4 ms of processor time, and requests end at an engine every 50 ms in a burst. */
const MIN_LOOK_MS = 40

/** After an outage of the store, heartbeats of others have this long to come back before their claims are taken. */
const HEARTBEAT_GRACE_MS = 2500

/** A heartbeat lasts 6 s and is renewed every 2 s: a listing of the daemons that is older than this may show a living one as lost. */
const MEMBERS_MAX_AGE_MS = 3500

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
  const held = createClaimedItems(clock, parts.metrics)
  const { runTimeEstimator: pace } = parts
  const engineRefusals = createStartBackoff(clock)
  const engine = createEngineView({
    log,
    listed: () => parts.endpoints.atAddress(parts.engineAddress),
    onRestart: () => {
      pace.onEngineRestart()
      engineRefusals.reset()
      held.all().forEach(entry => entry.backoff.reset())
    }
  })
  const looks = createPollSchedule({ clock, minPauseMs: MIN_LOOK_MS, maxPauseMs: () => hasWork() ? BUSY_LOOK_MS : IDLE_LOOK_MS })
  const use = createOnlineUsage(clock)
  const steps = createItemLifecycle({
    ...parts, engine, claimedItems: held, engineBackoff: engineRefusals, submissions: createResultReader(parts.store), stopping: controller.signal, onSlotFreed: looks.request
  })
  let reachable = false
  /** Whether an item may want a slot that becomes free. */
  const hasWork = (): boolean => held.all().length > 0 || hasOpenJobs(parts.work)

  const mayRun = (job: JobRecord): boolean => {
    const configuration = parts.configuration()
    const route = configuration === undefined ? undefined : matchRoute(configuration, job.host, job.path)
    return route?.targets.some(target => target.service === parts.service && target.weight > 0) ?? false
  }

  const ranksBehind = (job: JobRecord): number => {
    const account = job.account === undefined ? undefined : parts.configuration()?.accounts?.byName(job.account)
    return account?.priorityRank ?? 0
  }

  const heartbeatsTrusted = (): boolean => {
    const nowMs = clock.nowMs()
    const listedAtMs = parts.membersListedAtMs() ?? -Infinity
    return nowMs - (parts.store.lastFailureMs() ?? -Infinity) > HEARTBEAT_GRACE_MS && nowMs - listedAtMs < MEMBERS_MAX_AGE_MS
  }

  const choiceInput = (storeNowMs: number): ItemChoiceInput => {
    // Found once for all items of a choice.
    const elsewhereEventMs = medianEventIntervalMs(parts.work, storeNowMs)
    return {
      work: parts.work,
      runner: parts.runner,
      incarnation: parts.incarnation,
      runners: liveRunners(parts.work, storeNowMs),
      storeNowMs,
      heartbeatsTrusted: heartbeatsTrusted(),
      mayRun,
      priorityRank: ranksBehind,
      remainingMs: pace.remainingMs,
      remainingElsewhereMs: (tokens, lastEventId) => pace.remainingMs(tokens, lastEventId, elsewhereEventMs),
      isSkipped: held.isClaimedOrCoolingDown
    }
  }

  const state: RunnerState = { claimedItems: held, lifecycle: steps, engineBackoff: engineRefusals, choiceInput }
  const balance = createSlotScheduler(parts, state)
  const care = createClaimMaintenance(parts, state)
  const upkeep = createJobMaintenance({ ...parts, choiceInput })

  const tick = async (): Promise<void> => {
    const reportAskedAtMs = clock.nowMs()
    const report = await parts.readReport()
    const endpoint = engine.update(report)
    care.dropLostItems()
    reachable = report !== undefined
    if (report !== undefined && endpoint !== undefined) {
      use.onPoll(endpoint.startId, Math.max(0, report.running + report.waiting - held.inState('running').length))
      balance.onPoll(report, endpoint, reportAskedAtMs)
    }
    care.sampleEventIntervals()
    care.saveRunning()
    care.releaseUnwanted(endpoint)
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
  runInBackground(log, 'runner', () => repeat(() => looks.next(controller.signal), tick))
  runInBackground(log, 'retention', () => repeat(() => sleep(clock, RETENTION_INTERVAL_MS, controller.signal), upkeep.retire))
  runInBackground(log, 'expiry', () => repeat(() => sleep(clock, EXPIRY_INTERVAL_MS, controller.signal), upkeep.expire))

  return {
    onUsageReport: (gateway, startId, inProgress) => {
      const before = use.online()
      use.onUsageReport(gateway, startId, inProgress)
      const now = use.online()
      const endpoint = engine.current()
      if (now > before && endpoint !== undefined) balance.onOnlineIncrease(now, endpoint)
      if (now < before && hasWork()) looks.request()
    },
    slotUsage: () => {
      const endpoint = engine.current()
      if (endpoint === undefined) return undefined
      return {
        endpoint: endpoint.startId,
        slots: endpoint.slots,
        online: use.online(),
        batchRunning: held.inState('running').length,
        batchPaused: held.inState('paused').length,
        reachable
      }
    },
    load: () => {
      const endpoint = engine.current()
      if (endpoint === undefined) return undefined
      return { startId: endpoint.startId, online: use.online(), batchRunning: held.inState('running').length, reachable }
    },
    hasUnfilledSlots: balance.hasUnfilledSlots,
    othersHoldClaims: () => othersHoldClaims(parts.work, parts.runner),
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
