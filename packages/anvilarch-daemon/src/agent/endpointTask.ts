/** Manages one endpoint: its admission, its health, and the attempts that run on it. */
import type { EndpointSettings } from 'anvilarch-configuration'
import type { AttemptOutcome, RefusalReason } from 'anvilarch-protocol'
import { type AdmissionCommand, type AdmissionEvent, admissionLoad, admissionStep, createAdmissionState, type AdmissionLoad, type RunningAttempt } from '../admission'
import type { DaemonContext } from '../context'
import { createEndpointHealth, type EndpointHealth } from './endpointHealth'
import { serviceRefusal, type ServiceView, settledService } from './endpointService'
import { ENDPOINT_ADAPTERS } from './endpoints/adapters'
import type { EndpointAdapter, EndpointRun, RunEnd, StopReason } from './endpoints/types'
import type { AttemptEnd, LiveAttempt } from './liveAttempt'
import { createRunSink, type RunTimes } from './runSink'

/** Callbacks for the progress of attempts. */
export interface EndpointTaskListener {
  onStarted: (attempt: LiveAttempt) => void
  onEnded: (attempt: LiveAttempt, end: AttemptEnd) => void
}

/** A refusal, with the time after which to retry. */
export interface TaskRefusal {
  reason: RefusalReason
  retryAfterMs: number
}

/** Result of a submission. `begin` executes the commands that admission issued; it is called once the attempt is recorded. */
export type Submission = { refusal: TaskRefusal } | { refusal: undefined, begin: () => void }

/** The task of one endpoint. */
export interface EndpointTask {
  settings: EndpointSettings
  adapter: EndpointAdapter
  health: EndpointHealth
  /** Service assigned by the last order. */
  assigned: () => string
  assign: (service: string) => void
  /** Sets the service of the last load order; empty for none. */
  setLoadedService: (service: string) => void
  /** @returns why the endpoint can't serve this service now, or undefined if it can */
  refusalFor: (service: string, requestVersion: number) => TaskRefusal | undefined
  /** Admits or refuses an attempt. */
  submit: (attempt: LiveAttempt) => Submission
  /** Ends a queued or running attempt. */
  stop: (attempt: LiveAttempt, reason: StopReason, detail: string) => void
  /** Checks deadlines, timeouts and the batch limit. Timeouts are not checked right after a process pause. */
  tick: (nowMs: number, afterPause: boolean) => void
  /** Probes the endpoint and applies the batch policy of its service. */
  refresh: () => Promise<void>
  drain: () => void
  /** Ends running batch attempts as preempted, to shorten a drain. */
  returnBatch: () => void
  load: () => AdmissionLoad
  view: () => ServiceView
  /** Number of attempts that are queued or occupy a slot. */
  active: () => number
  /** Number of attempts in progress on a model. */
  countUsing: (model: string) => number
  /** Hides a model that is about to be unloaded, so that no new attempt starts on it; undefined hides none. */
  setUnloadingModel: (model: string | undefined) => void
  close: () => Promise<void>
}

interface Entry {
  attempt: LiveAttempt
  run: EndpointRun | undefined
  times: RunTimes
}

const MAX_QUEUED_BATCH_PER_SLOT = 1

const GIVE_UP_ENDS: Record<Extract<AdmissionCommand, { kind: 'giveUp' }>['reason'], Pick<AttemptEnd, 'outcome' | 'detail'>> = {
  deadline: { outcome: 'deadline', detail: 'the deadline passed before a slot was free' },
  draining: { outcome: 'preempted', detail: 'the agent drains' },
  endpoint_down: { outcome: 'endpoint_failed', detail: 'the endpoint went down' },
  isolated_busy: { outcome: 'preempted', detail: 'the endpoint was not free in time to run the attempt alone' }
}

/** @returns whether the attempt is in its prefill, and that prefill must run without another one beside it */
function isPrefillingSolo (attempt: RunningAttempt): boolean {
  return attempt.soloFirstToken && attempt.isPrefilling
}

/** @returns whether the outcome can only be due to the attempt itself, since it ran alone for as long as required */
function ranAlone (attempt: RunningAttempt | undefined, outcome: AttemptOutcome): boolean {
  if (attempt === undefined) return false
  if (attempt.soloFirstToken) return outcome === 'completed' || attempt.isPrefilling
  return attempt.alone
}

/**
 * @param context - shared components of the daemon
 * @param settings - the endpoint
 * @param listener - callbacks for attempts
 * @returns the task, which accepts no work until its endpoint has responded to a probe
 */
export function createEndpointTask (context: DaemonContext, settings: EndpointSettings, listener: EndpointTaskListener): EndpointTask {
  const { clock, metrics, timeline } = context
  const entries = new Map<string, Entry>()
  let assigned = ''
  let settled = ''
  let lastLoadedService = ''
  let unloadingModel: string | undefined
  /** Whether an attempt was in a solo prefill at the last crash, which makes it the likely cause. */
  let crashCauseKnown = false

  const adapter = ENDPOINT_ADAPTERS[settings.kind]({
    url: settings.url,
    clock,
    idleTimeoutMs: context.settings.agent.endpointSilenceMs,
    onUnreachable: () => { health.probe().catch(() => {}) },
    checkProcess: async incarnation => await health.checkProcess(incarnation),
    incarnation: () => health.incarnation()
  })

  const health: EndpointHealth = createEndpointHealth(adapter, {
    onUp: () => { step({ kind: 'endpointUp', nowMs: clock.nowMs() }) },
    onDown: () => { step({ kind: 'endpointDown', nowMs: clock.nowMs() }) },
    onCrash: detail => {
      crashCauseKnown = [...state.running.values()].some(isPrefillingSolo)
      timeline.record('endpoint.crashed', { detail: { endpoint: settings.name, detail, running: entries.size, causeKnown: crashCauseKnown } })
    }
  })

  const state = createAdmissionState({
    slots: settings.slots,
    maxQueuedOnline: context.settings.agent.maxQueuedOnline,
    maxQueuedBatch: settings.slots * MAX_QUEUED_BATCH_PER_SLOT,
    preemptible: adapter.preemptible
  })

  const step = (event: AdmissionEvent): void => { execute(admissionStep(state, event).commands) }

  const execute = (commands: AdmissionCommand[]): void => {
    for (const command of commands) {
      const entry = entries.get(command.id)
      if (entry !== undefined) handlers[command.kind](entry, command as never)
    }
  }

  const handlers: { [Kind in AdmissionCommand['kind']]: (entry: Entry, command: Extract<AdmissionCommand, { kind: Kind }>) => void } = {
    refuse: () => {},
    start: entry => { start(entry) },
    resume: entry => {
      entry.times.lastTokenMs = undefined
      entry.run?.resume()
    },
    preempt: entry => {
      const { attempt, run } = entry
      metrics.preemptions.inc({ endpoint: settings.name })
      timeline.record('attempts.preempted', { requestId: attempt.requestId, attemptId: attempt.id, detail: { endpoint: settings.name } })
      run?.preempt().then(isSlotFree => {
        if (isSlotFree && entries.get(attempt.id) === entry) step({ kind: 'released', nowMs: clock.nowMs(), id: attempt.id })
      }).catch(() => {})
    },
    giveUp: (entry, command) => {
      const { outcome, detail } = GIVE_UP_ENDS[command.reason]
      const isPreempted = command.started && command.reason !== 'deadline'
      const tokens = entry.run?.stop('cancelled').outputTokens ?? 0
      entries.delete(command.id)
      end(entry.attempt, { outcome: isPreempted ? 'preempted' : outcome, ran: command.started ? 'ran' : 'not_run', detail, retryAfterMs: command.retryAfterMs, outputTokens: tokens, wasAlone: false })
    }
  }

  const start = (entry: Entry): void => {
    const { attempt, times } = entry
    listener.onStarted(attempt)
    times.startedMs = clock.nowMs()
    const sink = createRunSink(context, attempt, times, { endpoint: settings.name, isPlain: settings.kind === 'plain', step })
    const run = adapter.start({ ...attempt, requestId: attempt.requestId, attemptId: attempt.id }, sink)
    entry.run = run
    run.done.catch(error => failedRunEnd(attempt, error)).then(result => { finish(entry, result) }).catch(error => { context.logger.error('an attempt could not be ended', { attempt: attempt.id, error: String(error) }) })
  }

  // A run that failed by a bug must still release its slot; the endpoint would otherwise lose a slot permanently.
  const failedRunEnd = (attempt: LiveAttempt, error: unknown): RunEnd => {
    context.logger.error('a run failed', { attempt: attempt.id, error: String(error) })
    return { outcome: 'endpoint_failed', ran: 'unknown', detail: String(error), outputTokens: 0 }
  }

  // The slot is free. The end of the attempt may have been reported earlier, by `stop`.
  const finish = (entry: Entry, result: RunEnd): void => {
    const { attempt } = entry
    const wasAlone = ranAlone(state.running.get(attempt.id), result.outcome)
    const causeKnown = result.outcome === 'endpoint_crashed' && crashCauseKnown && !wasAlone
    if (entries.get(attempt.id) !== entry) return
    entries.delete(attempt.id)
    if (attempt.end === undefined) end(attempt, { ...result, retryAfterMs: 0, wasAlone, causeKnown })
    step({ kind: 'finished', nowMs: clock.nowMs(), id: attempt.id, isComplete: result.outcome === 'completed' })
  }

  const end = (attempt: LiveAttempt, attemptEnd: AttemptEnd): void => { listener.onEnded(attempt, attemptEnd) }

  const stop = (attempt: LiveAttempt, reason: StopReason, detail: string): void => {
    const entry = entries.get(attempt.id)
    if (entry === undefined || attempt.end !== undefined) return
    if (entry.run === undefined) {
      entries.delete(attempt.id)
      end(attempt, { outcome: reason, ran: 'not_run', detail, retryAfterMs: 0, outputTokens: 0, wasAlone: false })
    } else {
      const wasAlone = state.running.get(attempt.id)?.alone ?? false
      end(attempt, { ...entry.run.stop(reason), detail, retryAfterMs: 0, wasAlone })
    }
    if (!state.running.has(attempt.id)) {
      entries.delete(attempt.id)
      step({ kind: 'cancelled', nowMs: clock.nowMs(), id: attempt.id })
    }
  }

  const view = (): ServiceView => {
    const current = {
      settings,
      assigned,
      models: health.models().filter(loaded => loaded.model !== unloadingModel),
      version: context.configuration.version(),
      document: context.configuration.current()?.document
    }
    settled = settledService(current, settled === '' ? lastLoadedService : settled)
    return { ...current, settled }
  }

  // No work is accepted before the endpoint has responded to a probe.
  step({ kind: 'endpointDown', nowMs: clock.nowMs() })

  return {
    settings,
    adapter,
    health,
    assigned: () => assigned,
    assign: service => { assigned = service },
    setLoadedService: service => { lastLoadedService = service },
    refusalFor: (service, requestVersion) => {
      if (health.state() !== 'ready') return { reason: 'endpoint_down', retryAfterMs: 0 }
      const reason = serviceRefusal(view(), service, requestVersion)
      return reason === undefined ? undefined : { reason, retryAfterMs: 0 }
    },
    submit: attempt => {
      const { commands } = admissionStep(state, { kind: 'arrive', nowMs: clock.nowMs(), id: attempt.id, workClass: attempt.workClass, deadlineMs: attempt.deadlineMs, isolated: attempt.isolated, soloFirstToken: attempt.soloFirstToken })
      const refused = commands.find(command => command.kind === 'refuse')
      if (refused !== undefined) return { refusal: { reason: refused.reason, retryAfterMs: refused.retryAfterMs } }
      entries.set(attempt.id, { attempt, run: undefined, times: { startedMs: 0, firstTokenMs: undefined, lastTokenMs: undefined } })
      return { refusal: undefined, begin: () => { execute(commands) } }
    },
    stop,
    tick: (nowMs, afterPause) => {
      for (const { attempt, run } of [...entries.values()]) {
        if (run === undefined) continue
        if (attempt.deadlineMs <= nowMs) stop(attempt, 'deadline', 'the deadline passed')
        else if (!afterPause) run.checkTimeout(nowMs)
      }
      step({ kind: 'tick', nowMs })
    },
    refresh: async () => {
      await health.probe()
      const service = context.configuration.current()?.document.services[view().settled]
      if (service?.kind === 'model') step({ kind: 'policy', nowMs: clock.nowMs(), policy: service.batch })
    },
    drain: () => { step({ kind: 'drain', nowMs: clock.nowMs() }) },
    returnBatch: () => { step({ kind: 'returnBatch', nowMs: clock.nowMs() }) },
    load: () => admissionLoad(state),
    view,
    active: () => entries.size,
    countUsing: model => [...entries.values()].filter(entry => entry.attempt.model === model).length,
    setUnloadingModel: model => { unloadingModel = model },
    close: async () => { await adapter.close() }
  }
}
