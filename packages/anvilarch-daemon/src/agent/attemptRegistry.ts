/** The attempts of this agent: executes the commands of the attempt table and opens readers of attempts. */
import type { MessageInitShape } from '@bufbuild/protobuf'
import { type CancelAttemptRequest, type EndpointLoadSchema, type RefusalReason, type ResumeAttemptRequest, type StartAttemptRequest } from 'anvilarch-protocol'
import { invariant } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { type Frame, readAttempt } from './attemptReader'
import { type AttemptTableCommand, type AttemptTableEvent, attemptTableStep, createAttemptTable } from './attemptTable'
import { createLiveAttempt } from './createLiveAttempt'
import type { EndpointTask, TaskRefusal } from './endpointTask'
import type { FramePump } from './framePump'
import type { AttemptEnd, LiveAttempt } from './liveAttempt'
import type { AgentOptions } from './options'
import type { AgentSuspects } from './suspects'

/** Dependencies of the registry. */
export interface AttemptRegistryDeps {
  context: DaemonContext
  options: AgentOptions
  tasks: Map<string, EndpointTask>
  pump: FramePump
  isDraining: () => boolean
  isQuarantined: (fingerprint: string) => boolean
  suspects: AgentSuspects
  /** Called when work starts, so that the agent's tick runs. */
  onWork: () => void
}

/** Starts, resumes, cancels and tracks the attempts of this agent. */
export interface AttemptRegistry {
  start: (request: StartAttemptRequest, signal: AbortSignal) => AsyncGenerator<Frame>
  resume: (request: ResumeAttemptRequest, signal: AbortSignal) => AsyncGenerator<Frame>
  /** @returns the outcome of the cancellation */
  cancel: (request: CancelAttemptRequest) => string
  markStarted: (attempt: LiveAttempt) => void
  markEnded: (attempt: LiveAttempt, end: AttemptEnd) => void
  tick: (nowMs: number) => void
  /** Number of attempts that are queued or running. */
  liveCount: () => number
  lastEndMs: () => number
}

const NO_BODY = new Uint8Array(0)

/**
 * @param deps - shared components, endpoints and the frame pump
 * @returns a registry without attempts
 */
export function createAttemptRegistry (deps: AttemptRegistryDeps): AttemptRegistry {
  const { context, options, tasks, pump } = deps
  const { clock, incarnation, metrics, timeline } = context
  const attempts = new Map<string, LiveAttempt>()
  let lastEndMs = -Infinity

  const table = createAttemptTable({
    incarnation,
    attemptRetentionMs: context.settings.agent.attemptRetentionMs,
    barRetentionMs: context.settings.agent.barRetentionMs,
    readerGraceMs: options.readerGraceMs,
    maxTombstones: options.maxTombstones,
    maxRetainedBytes: options.maxRetainedBytes
  })

  const step = (event: AttemptTableEvent): AttemptTableCommand[] => {
    const { commands } = attemptTableStep(table, event)
    for (const command of commands) execute(command)
    return commands
  }

  const execute = (command: AttemptTableCommand): void => {
    if (command.kind === 'discardOutput') attempts.delete(command.id)
    if (command.kind !== 'stop') return
    const attempt = attempts.get(command.id)
    if (attempt === undefined) return
    tasks.get(attempt.endpoint)?.stop(attempt, 'cancelled', command.reason === 'unread' ? 'nobody read the attempt any more' : 'cancelled by the gateway')
  }

  const loadOf = (endpoint: string): MessageInitShape<typeof EndpointLoadSchema> | undefined => {
    const task = tasks.get(endpoint)
    return task === undefined ? undefined : { endpoint, ...task.load() }
  }

  const refusedFrame = (reason: RefusalReason, retryAfterMs: number, endpoint: string): Frame => ({
    kind: { case: 'refused', value: { reason, retryAfterMs, configurationVersion: BigInt(context.configuration.version()), agentIncarnation: incarnation } },
    load: loadOf(endpoint)
  })

  const decideAdmission = (request: StartAttemptRequest): TaskRefusal | undefined => {
    const { attemptId: id } = request
    const nowMs = clock.nowMs()
    const attempt = createLiveAttempt(context, request)
    const refusal = refusalBeforeAdmission(request) ?? admit(attempt, nowMs)
    if (refusal === undefined) return undefined
    step({ kind: 'refused', nowMs, id })
    metrics.refusals.inc({ class: attempt.workClass, reason: refusal.reason })
    timeline.record('attempts.refused', { requestId: request.requestId, attemptId: id, detail: { endpoint: request.endpoint, reason: refusal.reason } })
    return refusal
  }

  const admit = (attempt: LiveAttempt, nowMs: number): TaskRefusal | undefined => {
    const task = tasks.get(attempt.endpoint)
    invariant(task !== undefined && !deps.isDraining(), 'no_start_in_drain', () => `"${attempt.id}" reached admission`)
    const submission = task.submit(attempt)
    if (submission.refusal !== undefined) return submission.refusal
    attempts.set(attempt.id, attempt)
    step({ kind: 'accepted', nowMs, id: attempt.id, deadlineMs: attempt.deadlineMs, stopsUnread: attempt.idempotent })
    timeline.record('attempts.accepted', { requestId: attempt.requestId, attemptId: attempt.id, detail: { endpoint: attempt.endpoint, class: attempt.workClass } })
    deps.onWork()
    submission.begin()
    return undefined
  }

  const refusalBeforeAdmission = (request: StartAttemptRequest): TaskRefusal | undefined => {
    const refuse = (reason: RefusalReason): TaskRefusal => ({ reason, retryAfterMs: 0 })
    if (deps.isDraining()) return refuse('draining')
    const task = tasks.get(request.endpoint)
    if (task === undefined) return refuse('unknown_endpoint')
    if (deps.isQuarantined(request.fingerprint)) return refuse('quarantined')
    const maxBodyBytes = context.configuration.current()?.document.limits.maxBodyBytes ?? Infinity
    if ((request.call?.body.length ?? 0) > maxBodyBytes) return refuse('too_large')
    const refusal = task.refusalFor(request.service, Number(request.configurationVersion))
    if (refusal !== undefined) return refusal
    return !request.isolated && !request.soloFirstToken && deps.suspects.mustIsolate(request.fingerprint) ? refuse('suspect') : undefined
  }

  const openReader = (id: string, offsetBytes: number, signal: AbortSignal): AsyncGenerator<Frame> => {
    const attempt = attempts.get(id)
    invariant(attempt !== undefined, 'attached_attempt_kept', () => `"${id}" is in the table but has no output`)
    return readAttempt(attempt, {
      clock,
      pump,
      incarnation,
      maxFrameBytes: options.maxFrameBytes,
      heartbeatMs: context.settings.agent.heartbeatMs,
      offsetBytes,
      signal,
      load: () => loadOf(attempt.endpoint),
      onOpened: () => {
        step({ kind: 'readerOpened', nowMs: clock.nowMs(), id })
        deps.onWork()
      },
      onClosed: delivered => { step({ kind: 'readerClosed', nowMs: clock.nowMs(), id, delivered }) }
    })
  }

  const respond = (commands: AttemptTableCommand[], offsetBytes: number, endpoint: string, signal: AbortSignal): AsyncGenerator<Frame> => {
    const [command] = commands
    if (command.kind === 'attach') return openReader(command.id, offsetBytes, signal)
    return framesOf(command.kind === 'refuse' ? [refusedFrame(command.reason, 0, endpoint)] : lostFrames())
  }

  const lostFrames = (): Frame[] => [
    { kind: { case: 'accepted', value: { agentIncarnation: incarnation } } },
    { kind: { case: 'final', value: { outcome: 'lost', ran: 'ran', detail: 'the output is no longer kept' } } }
  ]

  const start = (request: StartAttemptRequest, signal: AbortSignal): AsyncGenerator<Frame> => {
    const { attemptId: id } = request
    const commands = step({ kind: 'deliver', nowMs: clock.nowMs(), id, incarnation: request.agentIncarnation })
    if (commands[0].kind !== 'decideAdmission') return respond(commands, 0, request.endpoint, signal)
    const refusal = decideAdmission(request)
    if (refusal !== undefined) return framesOf([refusedFrame(refusal.reason, refusal.retryAfterMs, request.endpoint)])
    return openReader(id, 0, signal)
  }

  const resume = (request: ResumeAttemptRequest, signal: AbortSignal): AsyncGenerator<Frame> => {
    const { attemptId: id } = request
    const commands = step({ kind: 'resume', nowMs: clock.nowMs(), id, incarnation: request.agentIncarnation })
    return respond(commands, Number(request.offsetBytes), attempts.get(id)?.endpoint ?? '', signal)
  }

  return {
    start: (request, signal) => orErrorStream(() => start(request, signal)),
    resume: (request, signal) => orErrorStream(() => resume(request, signal)),
    cancel: request => {
      const commands = step({ kind: 'cancel', nowMs: clock.nowMs(), id: request.attemptId })
      const found = commands.find(command => command.kind === 'cancelResponse')
      return found?.outcome ?? 'unknown'
    },
    markStarted: attempt => {
      invariant(!deps.isDraining(), 'no_start_in_drain', () => `"${attempt.id}" was started`)
      step({ kind: 'started', nowMs: clock.nowMs(), id: attempt.id })
    },
    markEnded: (attempt, end) => {
      const nowMs = clock.nowMs()
      lastEndMs = nowMs
      attempt.end = end
      deps.suspects.recordEnd(attempt, end)
      attempt.call = { ...attempt.call, body: NO_BODY }
      attempt.output.trim()
      step({ kind: 'ended', nowMs, id: attempt.id, outcome: end.outcome, totalBytes: attempt.output.sizeBytes() })
      metrics.requestSeconds.observe({ class: attempt.workClass, service: attempt.service, outcome: end.outcome }, (nowMs - attempt.arrivedMs) / 1000)
      timeline.record('attempts.ended', { requestId: attempt.requestId, attemptId: attempt.id, detail: { endpoint: attempt.endpoint, outcome: end.outcome, ran: end.ran, totalBytes: attempt.output.sizeBytes() } })
      for (const listener of attempt.listeners) listener.onEnd()
    },
    tick: nowMs => { step({ kind: 'tick', nowMs }) },
    liveCount: () => table.liveCount,
    lastEndMs: () => lastEndMs
  }
}

async function * framesOf (frames: Frame[]): AsyncGenerator<Frame> {
  yield * frames
}

/** Turns a thrown error into a failing stream, so that it ends this stream only and not the session that serves all of them. */
function orErrorStream (open: () => AsyncGenerator<Frame>): AsyncGenerator<Frame> {
  try {
    return open()
  } catch (error) {
    return errorStream(error)
  }
}

async function * errorStream (error: unknown): AsyncGenerator<Frame> {
  throw error
}
