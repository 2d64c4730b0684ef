/**
 * The task that runs jobs on this gateway: polls the active jobs, claims parts, and ends jobs that are done or expired.
 *
 * Platform calls for each 1,000 items, with 300,000 items on one gateway and parts of 500 items: 6.1 commits (2 to claim
 * parts, 4 for segments), 4 objects written and 2 read, 4.4 table reads and 0.2 scans. At 5,900 items a second these are
 * 36 commits, 24 objects written and 27 reads a second for the whole fleet. Slow items make segments smaller, see
 * `leasedPart`. In addition, each gateway reads in each poll one page of active jobs, the active rows of the jobs of its
 * leased parts, and two to four jobs to check for their end. Memory is bounded by the leased parts and the buffered
 * results: it is the same for 20,000, 100,000 and 300,000 items.
 */
import { ROW_KEYS } from 'anvilarch-protocol'
import { type LifecycleManager, sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { afterPage, type ActiveView, EMPTY_VIEW, withoutJob } from './activeView'
import { createLeasedParts } from './leasedParts'
import { createJobSearches } from './jobSearches'
import { jobMetrics } from './jobMetrics'
import { createPartChoice } from './partChoice'
import { createResultBuffer, DEFAULT_OPTIONS as DEFAULT_BUFFER, type ResultBufferOptions } from './resultBuffer'
import type { ActiveRow } from './rows'
import { createItemDispatcher } from './itemDispatcher'
import type { JobsDependencies } from './types'
import { createWakeableSleep } from './wakeableSleep'

/** The running jobs of a gateway. */
export interface Worker {
  activeCount: () => number
  heldParts: () => number
  drain: () => Promise<void>
}

/** Options of `startWorker`. */
export interface WorkerOptions {
  /** Bounds of the results waiting for their commit. */
  buffer: ResultBufferOptions
}

/** Default bounds. */
export const DEFAULT_OPTIONS: WorkerOptions = { buffer: DEFAULT_BUFFER }

/** Most active jobs read in one poll. */
const VIEW_PAGE_JOBS = 500
/** Jobs checked for their end in one poll, besides those of which a part has just finished. */
const INSPECTED_PER_POLL = 2
/** Shortest interval at which one gateway checks a job for its end. */
const INSPECT_INTERVAL_MS = 5_000
const POLL_JITTER = 0.2
/** Interval at which leased parts are checked for results to commit. */
const TICK_MS = 250
/** Parts claimed in a row before the loop continues with its other steps. */
const CLAIMS_PER_ROUND = 4
/** Delay before a job is searched again after one of its parts was released. */
const RELEASED_DELAY_MS = 10_000
/** Grace period for items in progress when the gateway is draining. */
const DRAIN_GRACE_MS = 5_000

/**
 * @param context - shared parts of the daemon
 * @param dependencies - runner, directory, heartbeat and observer
 * @param lifecycle - drains and stops the task
 * @param options - bounds of the task
 * @returns the running task
 */
export async function startWorker (
  context: DaemonContext, dependencies: JobsDependencies, lifecycle: LifecycleManager, options: WorkerOptions = DEFAULT_OPTIONS
): Promise<Worker> {
  const { clock, platform, random, settings } = context
  const { runner, heartbeat, observer } = dependencies
  const metrics = jobMetrics(context.metrics)
  const stopping = new AbortController()
  const pollSleep = createWakeableSleep(clock, stopping.signal)
  const inspectedMs = new Map<string, number>()
  const endChecksDue = new Set<string>()
  const buffer = createResultBuffer(options.buffer)
  let view: ActiveView = EMPTY_VIEW
  let draining = false
  let loops: Array<Promise<void>> = []

  const leased = createLeasedParts({
    context,
    runner,
    heartbeat,
    buffer,
    onProgress: () => { dispatcher.schedule() },
    onEnded: (part, end, row) => {
      const active = view.jobs.get(part.jobId)
      if (end === 'finished' && active !== undefined) {
        searches.recordDone(active, part.part, row)
        endChecksDue.add(part.jobId)
      }
      pollSleep.wake()
    },
    onReleased: jobId => { searches.delay(jobId, RELEASED_DELAY_MS) }
  })
  const searches = createJobSearches({ context, heartbeat, observer, isLeasedHere: leased.has })
  const dispatcher = createItemDispatcher({ context, runner, buffer, parts: leased.all })
  const choice = createPartChoice({ context, runner, instance: heartbeat.instance, parts: leased.load })

  const removeJob = (jobId: string): void => {
    view = withoutJob(view, jobId)
    searches.removeJob(jobId)
    inspectedMs.delete(jobId)
    endChecksDue.delete(jobId)
    leased.cancelJob(jobId)
  }

  const readView = async (): Promise<void> => {
    const page = await platform.table.scan(ROW_KEYS.activeJobs, { after: view.after, limit: VIEW_PAGE_JOBS })
    const step = afterPage(view, page)
    view = step.view
    step.ended.forEach(removeJob)
    metrics.active.set(view.jobs.size)
  }

  /** Detects cancelled jobs of leased parts within one poll, even if the view is longer than a page. */
  const checkLeasedJobs = async (): Promise<void> => {
    const jobIds = leased.jobIds()
    if (jobIds.length === 0) return
    const rows = await platform.table.read(jobIds.map(ROW_KEYS.activeJob))
    jobIds.filter((_jobId, position) => rows[position] === null).forEach(removeJob)
  }

  const claimParts = async (): Promise<void> => {
    for (let claims = 0; claims < CLAIMS_PER_ROUND; claims++) {
      if (draining || !heartbeat.holdsLease()) return
      const active = choice.next(view.jobs.values(), job => searches.isDue(job.jobId))
      if (active === undefined) return
      await claimFrom(active)
    }
  }

  const claimFrom = async (active: ActiveRow): Promise<void> => {
    const result = await searches.claim(active)
    if (result.found === 'nothing') searches.delay(active.jobId, settings.gateway.pollIntervalMs)
    if (result.found === 'ended') removeJob(active.jobId)
    if (result.found !== 'part') return
    choice.recordServed(active.caller)
    leased.add(result.claimed)
  }

  const inspect = async (active: ActiveRow): Promise<void> => {
    inspectedMs.set(active.jobId, clock.nowMs())
    endChecksDue.delete(active.jobId)
    if (await searches.inspect(active)) removeJob(active.jobId)
  }

  /** Ends expired jobs, and jobs whose last holder was lost before it could end them. */
  const inspectJobs = async (): Promise<void> => {
    const dueBeforeMs = clock.nowMs() - INSPECT_INTERVAL_MS
    const due = [...view.jobs.values()].filter(job => (inspectedMs.get(job.jobId) ?? Number.NEGATIVE_INFINITY) <= dueBeforeMs)
    const expired = [...view.jobs.values()].filter(job => job.expiresAtMs <= clock.wallMs())
    const sampled = due.length <= INSPECTED_PER_POLL ? due : [random.pick(due), random.pick(due)]
    for (const active of new Set([...expired.slice(0, INSPECTED_PER_POLL), ...sampled])) await inspect(active)
  }

  const inspectFinishedParts = async (): Promise<void> => {
    for (const jobId of [...endChecksDue]) {
      const active = view.jobs.get(jobId)
      if (active === undefined) endChecksDue.delete(jobId)
      else await inspect(active)
    }
  }

  const runStep = async (step: () => Promise<void>): Promise<void> => {
    try {
      await step()
    } catch (error) {
      context.logger.debug('a step of the jobs task failed', { error: String(error) })
    }
  }

  const run = async (): Promise<void> => {
    let nextPollMs = clock.nowMs()
    while (!stopping.signal.aborted) {
      if (clock.nowMs() >= nextPollMs) {
        nextPollMs = clock.nowMs() + random.jitter(settings.gateway.pollIntervalMs, POLL_JITTER)
        await runStep(readView)
        await runStep(checkLeasedJobs)
        await runStep(inspectJobs)
      }
      await runStep(inspectFinishedParts)
      await runStep(draining ? searches.releaseUnconfirmed : claimParts)
      await pollSleep.sleep(nextPollMs - clock.nowMs())
    }
  }

  const tick = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await sleep(clock, TICK_MS, stopping.signal)
      metrics.bufferedResults.set(buffer.items())
      if (leased.size() === 0) continue
      leased.tick()
      if (leased.size() >= choice.maxLeasedParts / 2) leased.releaseStalled()
      dispatcher.dispatch()
    }
  }

  const drain = async (): Promise<void> => {
    draining = true
    pollSleep.wake()
    const { drainTimeoutMs } = settings.gateway
    const deadlineMs = clock.nowMs() + drainTimeoutMs
    leased.releaseAll(Math.min(DRAIN_GRACE_MS, drainTimeoutMs / 2))
    while (leased.size() + searches.unconfirmedClaims() > 0 && clock.nowMs() < deadlineMs) await sleep(clock, TICK_MS)
  }

  const unsubscribe = dependencies.directory.onChange(dispatcher.schedule)
  await lifecycle.start({
    name: 'jobs',
    start: () => { loops = [run(), tick()] },
    stop: async () => {
      await drain()
      unsubscribe()
      stopping.abort()
      await Promise.all(loops)
    },
    stopTimeoutMs: settings.gateway.drainTimeoutMs + DRAIN_GRACE_MS
  })
  return { activeCount: () => view.jobs.size, heldParts: leased.size, drain }
}
