/** Drives the state machine of one request: opens its streams, forwards its response and executes the commands of the machine. */
import type { AttemptFrame } from 'anvilarch-protocol'
import { AnvilarchError, invariant, toAnvilarchError } from 'anvilarch-utils'
import type { Target } from '../routing/types'
import { createAttemptCalls } from './attemptCalls'
import { createAttemptLedger } from './attemptLedger'
import { type AttemptReader, createAttemptReader } from './attemptReader'
import { toRequestEvent } from './frameEvents'
import { createRequestState, stepRequest } from './machine/requestMachine'
import type { AttemptState, RequestCommand, RequestEnd, RequestEvent, RequestState, StepInput, TargetNote } from './machine/types'
import { createCollector } from './output/collectors'
import { createRecorder } from './recorder'
import type { RunnerParts } from './runnerParts'
import type { Headers, WorkRequest, WorkResult, WorkSink } from './types'

type CommandHandlers = { [Kind in RequestCommand['kind']]: (command: Extract<RequestCommand, { kind: Kind }>) => void }

const MIN_SERVER_ERROR_STATUS = 500
const STATUS_UNAVAILABLE = 503

const NO_ENDPOINTS: ReadonlySet<string> = new Set()

/** One request to run. */
export interface RequestTask {
  run: (signal: AbortSignal | undefined) => Promise<WorkResult>
}

/**
 * @param parts - shared parts of the gateway
 * @param request - what to run
 * @param sink - receives the response as it arrives; without a sink the response is collected
 * @returns a task that has not started
 */
export function createRequestTask (parts: RunnerParts, request: WorkRequest, sink: WorkSink | undefined): RequestTask {
  const { context, router } = parts
  const { clock } = context
  const collector = createCollector(request.outputMode, sink)
  const recorder = createRecorder(context, request)
  const ledger = createAttemptLedger(request.requestId)
  const queue: RequestEvent[] = []
  const acceptedBy: string[] = []
  let state: RequestState = createRequestState(request)
  let dispatching = false
  let backpressure: Promise<void> | undefined
  let unansweredTarget: Target | undefined
  let stopWaiting: (() => void) | undefined
  let settle: (result: WorkResult) => void = () => {}

  const stepInput = (): StepInput => {
    const nowMs = clock.nowMs()
    return {
      nowMs,
      deadlineMs: request.deadlineMs,
      retryAllowed: parts.budget.allows(nowMs),
      continuable: collector.continuable(),
      missing: collector.missing(),
      quarantined: parts.quarantine.has(request.fingerprint)
    }
  }

  /** Handles events in the order of their arrival; a command may dispatch the next event. */
  const dispatch = (event: RequestEvent): void => {
    queue.push(event)
    if (dispatching) return
    dispatching = true
    try {
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) handle(next)
    } catch (error) {
      endWithInternalError(error)
    } finally {
      dispatching = false
    }
  }

  const handle = (event: RequestEvent): void => {
    recorder.event(event, state)
    const before = state.attempt
    if (before !== undefined && 'stream' in event && event.stream === before.stream) ledger.event(event, before)
    if (before !== undefined && isEndpointFault(event, before)) router.noteOutcome(before.target, true)
    const step = stepRequest(state, event, stepInput())
    state = step.state
    if (before !== undefined && before.attemptId !== state.attempt?.attemptId) router.noteEnded(before.target, request.workClass)
    if (state.attempt?.accepted === true) recordAccepted(state.attempt.target.key)
    for (const command of step.commands) {
      recorder.command(command)
      const handler = handlers[command.kind] as (command: RequestCommand) => void
      handler(command)
    }
  }

  const recordAccepted = (key: string): void => {
    if (acceptedBy.at(-1) !== key) acceptedBy.push(key)
  }

  /** Ensures that an internal error does not leave the caller without a response. */
  const endWithInternalError = (error: unknown): void => {
    reader.close()
    context.logger.error('a request was abandoned', { requestId: request.requestId, error: String(error) })
    state = { ...state, phase: 'ended', attempt: undefined }
    settle({
      outcome: 'failed',
      error: toAnvilarchError(error, { code: 'internal', step: 'attempts.run', ran: 'unknown' }),
      attempts: state.attempts,
      acceptedBy
    })
  }

  const handleFrame = (frame: AttemptFrame, stream: number): Promise<void> | undefined => {
    recordResponse()
    const target = state.attempt?.target
    if (frame.load !== undefined && target !== undefined) router.noteLoad(target, frame.load)
    const event = toRequestEvent(frame, stream)
    if (event !== undefined) dispatch(event)
    const pending = backpressure
    backpressure = undefined
    return pending
  }

  const reader: AttemptReader = createAttemptReader({
    clock,
    inactivityTimeoutMs: context.settings.gateway.silenceMs,
    onFrame: handleFrame,
    onEvent: dispatch,
    onProcessPause: recorder.processPause
  })

  const attemptCalls = createAttemptCalls(parts, request, reader)

  const choose = (exclude: readonly string[]): void => {
    const catchingUp = parts.directory.catchUp?.()
    if (catchingUp === undefined) chooseNow(exclude)
    else catchingUp.then(() => { dispatch({ kind: 'targets_changed' }) }).catch(endWithInternalError)
  }

  const chooseNow = (exclude: readonly string[]): void => {
    const { service, workClass, affinityKey } = request
    const target = router.choose({ service, workClass, affinityKey, exclude: new Set(exclude), avoid: request.avoid ?? NO_ENDPOINTS })
    dispatch(target === undefined ? { kind: 'no_target' } : { kind: 'chosen', target, attemptId: parts.nextAttemptId() })
  }

  /**
   * Keeps one listener until a target is found. If each change added a new listener, the new one would be called for the same
   * change again, in an endless loop that blocks the process.
   */
  const waitForTarget = (untilMs: number): void => {
    if (stopWaiting !== undefined) return
    const timer = clock.after(untilMs - clock.nowMs(), () => { dispatch({ kind: 'wait_over' }) })
    const stopListening = parts.directory.onChange(() => { dispatch({ kind: 'targets_changed' }) })
    stopWaiting = () => {
      timer.cancel()
      stopListening()
      stopWaiting = undefined
    }
  }

  const start = (attempt: AttemptState): void => {
    invariant(!parts.quarantine.has(request.fingerprint), 'quarantined_never_sent', () => `request ${request.requestId} is quarantined`)
    ledger.sent(attempt, request.idempotent)
    stopWaiting?.()
    router.noteSent(attempt.target, request.workClass)
    unansweredTarget = attempt.target
    attemptCalls.start(attempt, collector.restart())
  }

  const handleHead = (status: number, headers: Headers): void => {
    if (state.attempt !== undefined) router.noteOutcome(state.attempt.target, isFailureStatus(status))
    const problem = collector.head(status, headers)
    if (problem === undefined || state.attempt === undefined) return
    const final = { outcome: 'endpoint_failed', totalBytes: 0, ran: 'ran', detail: problem, retryAfterMs: 0, outputTokens: 0, wasAlone: false } as const
    dispatch({ kind: 'final', stream: state.attempt.stream, final })
  }

  const recordResponse = (): void => {
    if (unansweredTarget !== undefined) router.noteResponded(unansweredTarget, request.workClass)
    unansweredTarget = undefined
  }

  const end = (ended: RequestEnd): void => {
    reader.close()
    stopWaiting?.()
    recordResponse()
    ledger.ended(ended.outcome === 'failed' ? ended.ran : 'ran')
    if (ended.outcome === 'failed') settle({ outcome: 'failed', error: toError(ended), attempts: state.attempts, acceptedBy })
    else finish(ended.outputTokens).catch(endWithInternalError)
  }

  const finish = async (outputTokens: number): Promise<void> => {
    await backpressure
    const response = await collector.finish()
    settle({ outcome: 'completed', ...response, attempts: state.attempts, outputTokens, acceptedBy })
  }

  const handlers: CommandHandlers = {
    choose: ({ exclude }) => { choose(exclude) },
    wait_for_target: ({ untilMs }) => { waitForTarget(untilMs) },
    start: ({ attempt }) => { start(attempt) },
    resume: ({ attempt, newConnection, delayMs }) => { attemptCalls.resume(attempt, newConnection, delayMs) },
    close_stream: () => {
      reader.close()
      recordResponse()
    },
    cancel: ({ attempt, reason }) => { attemptCalls.cancel(attempt, reason) },
    head: ({ status, headers }) => { handleHead(status, headers) },
    output: ({ data }) => {
      if (state.attempt !== undefined) ledger.output(state.attempt, data.length)
      backpressure = collector.output(data)
    },
    take_retry: () => { parts.budget.take(clock.nowMs()) },
    note: ({ target, note }) => { recordNote(parts, target, note) },
    note_incarnation: ({ target, incarnation }) => {
      parts.directory.noteIncarnation(target.agent, incarnation)
      router.invalidate()
    },
    suspect: () => { parts.suspects.add(request.fingerprint) },
    cleared: () => { parts.suspects.clear(request.fingerprint) },
    quarantine: () => { parts.quarantine.add(request.fingerprint, `crashed an endpoint alone, request ${request.requestId}`) },
    end: command => { end(command.end) }
  }

  return {
    run: async signal => {
      const result = new Promise<WorkResult>(resolve => { settle = resolve })
      const onCallerGone = (): void => { dispatch({ kind: 'caller_gone' }) }
      const deadline = clock.after(request.deadlineMs - clock.nowMs(), () => { dispatch({ kind: 'deadline' }) })
      signal?.addEventListener('abort', onCallerGone, { once: true })
      recorder.received()
      if (signal?.aborted === true) onCallerGone()
      else if (clock.nowMs() >= request.deadlineMs) dispatch({ kind: 'deadline' })
      else dispatch({ kind: 'begin', suspect: parts.suspects.has(request.fingerprint) })
      const ended = await result
      deadline.cancel()
      signal?.removeEventListener('abort', onCallerGone)
      recorder.ended(ended)
      return ended
    }
  }
}

/** An endpoint that went down before the attempt reached it is not at fault. */
function isEndpointFault (event: RequestEvent, attempt: AttemptState): boolean {
  return event.kind === 'final' && event.stream === attempt.stream && event.final.outcome === 'endpoint_failed' && event.final.ran !== 'not_run'
}

/** An endpoint without capacity (503) does not count as failing. */
function isFailureStatus (status: number): boolean {
  return status >= MIN_SERVER_ERROR_STATUS && status !== STATUS_UNAVAILABLE
}

function recordNote (parts: RunnerParts, target: Target, note: TargetNote): void {
  const { directory, router } = parts
  if (note === 'draining') directory.noteDraining(target.agent)
  else if (note === 'unreachable') directory.noteUnreachable(target.agent)
  else directory.noteEndpointDown(target.agent, target.endpoint)
  router.invalidate()
}

function toError ({ failure, ran }: Extract<RequestEnd, { outcome: 'failed' }>): AnvilarchError {
  const { code, step, peer, retryAfterMs } = failure
  return new AnvilarchError(failure.message, { code, step, peer: peer === '' ? undefined : peer, ran, retryAfterMs })
}
