/** Runs batch items in the slack of the engine beside the agent. */
import { runInBackground, sleep } from 'anvilarch-utils'
import { createResultReader } from '../jobs/resultReader'
import type { JobRecord } from '../jobs/types'
import { matchRoute } from '../routing/matchRoute'
import { createEngineView } from './engineView'
import { fleetEventMs } from './fleetPace'
import { createHeldItemCare } from './heldItemCare'
import { createHeldItems } from './heldItems'
import type { ItemChoiceInput } from './itemChoice'
import { createItemSteps } from './itemSteps'
import { createRefusals } from './refusals'
import { createSlotBalance } from './slotBalance'
import type { RunnerParts, RunnerState } from './types'
import { createUpkeep } from './upkeep'
import { othersHoldItems } from './itemChoice'

/** A batch runner at work. */
export interface BatchRunner {
  /** Saves and lets go of everything; resolves when that is done or the store has not taken it in time. */
  stop: () => Promise<void>
  /** Drops everything at once; the claims lapse. */
  halt: () => void
  /** @returns whether other runners hold items, so that it matters whether they are alive */
  watchesOthers: () => boolean
}

/** Pause between two looks at the engine while items are held. Online requests come about every 100 ms in a burst. */
const BUSY_TICK_MS = 20

/** The same without batch work; the report also tells gateways of the load. */
const IDLE_TICK_MS = 40

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
  const held = createHeldItems(clock, parts.metrics)
  const { pace } = parts
  const engineRefusals = createRefusals(clock)
  const engine = createEngineView({
    log,
    listed: () => parts.endpoints.atAddress(parts.engineAddress),
    onRestart: () => {
      pace.onEngineRestart()
      engineRefusals.reset()
      held.all().forEach(entry => entry.refusals.reset())
    }
  })
  const steps = createItemSteps({ ...parts, engine, held, engineRefusals, submissions: createResultReader(parts.store), stopping: controller.signal })

  const mayRun = (job: JobRecord): boolean => {
    const configuration = parts.configuration()
    const route = configuration === undefined ? undefined : matchRoute(configuration, job.host, job.path)
    return route?.targets.some(target => target.service === parts.service && target.weight > 0) ?? false
  }

  const heartbeatsTrusted = (): boolean => {
    const nowMs = clock.nowMs()
    const listedAtMs = parts.membersListedAtMs() ?? -Infinity
    return nowMs - (parts.store.lastFailureMs() ?? -Infinity) > HEARTBEAT_GRACE_MS && nowMs - listedAtMs < MEMBERS_MAX_AGE_MS
  }

  const choiceInput = (storeNowMs: number): ItemChoiceInput => ({
    work: parts.work,
    runner: parts.runner,
    incarnation: parts.incarnation,
    storeNowMs,
    heartbeatsTrusted: heartbeatsTrusted(),
    mayRun,
    remainingMs: pace.remainingMs,
    remainingElsewhereMs: (tokens, lastEventId) => pace.remainingMs(tokens, lastEventId, fleetEventMs(parts.work, storeNowMs)),
    isSkipped: held.isHeldOrLeft
  })

  const state: RunnerState = { held, steps, engineRefusals, choiceInput }
  const balance = createSlotBalance(parts, state)
  const care = createHeldItemCare(parts, state)
  const upkeep = createUpkeep({ ...parts, choiceInput })

  const tick = async (): Promise<void> => {
    const reportAskedAtMs = clock.nowMs()
    const report = await parts.readReport()
    const endpoint = engine.look(report)
    care.review()
    if (endpoint !== undefined) {
      parts.publish({
        startId: endpoint.startId,
        running: report?.running ?? 0,
        waiting: report?.waiting ?? 0,
        batchRunning: held.inState('running').length,
        reachable: report !== undefined
      })
    }
    if (report !== undefined && endpoint !== undefined) balance(report, endpoint, reportAskedAtMs)
    care.learnPace()
    care.saveRunning()
    care.releaseUnwanted(endpoint)
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
  runInBackground(log, 'retention', () => repeat(() => RETENTION_INTERVAL_MS, upkeep.retire))
  runInBackground(log, 'expiry', () => repeat(() => EXPIRY_INTERVAL_MS, upkeep.expire))

  return {
    watchesOthers: () => othersHoldItems(parts.work, parts.runner),
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
