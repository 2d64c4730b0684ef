/** Pure state machine of one request: maps its state and an event to the next state and commands. */
import { endFailed, ranSoFar } from './ending'
import { chooseEndpoint, quarantinedFailure } from './nextAttempt'
import { DEFAULT_RETRY_AFTER_MS, MAX_TARGET_WAIT_MS, TARGET_WAIT_SHARE } from './limits'
import { onAccepted, onFinal, onHead, onHeartbeat, onOutput, onRefused } from './frames'
import { onOutputInvalid, onInactivityTimeout, onStreamEnded } from './streams'
import type { AttemptState, Failure, RequestEvent, RequestFacts, RequestState, Step, StepInput } from './types'

/**
 * @param facts - constant properties of the request
 * @returns the state of a request before its first attempt
 */
export function createRequestState (facts: RequestFacts): RequestState {
  return {
    facts,
    phase: 'choosing',
    attempt: undefined,
    attempts: 0,
    streams: 0,
    tried: [],
    excluded: [],
    wasAccepted: false,
    ran: 'not_run',
    unbudgetedRetries: 0,
    crashes: 0,
    isolatedNext: false,
    soloFirstTokenNext: false,
    failure: undefined,
    waitUntilMs: undefined
  }
}

type Handlers = { [Kind in RequestEvent['kind']]: (state: RequestState, event: Extract<RequestEvent, { kind: Kind }>, input: StepInput) => Step }

const HANDLERS: Handlers = {
  begin: onBegin,
  chosen: onChosen,
  no_target: onNoTarget,
  targets_changed: state => state.phase === 'choosing' ? chooseEndpoint(state) : { state, commands: [] },
  wait_over: state => state.phase === 'choosing' ? endWithoutTarget(state) : { state, commands: [] },
  accepted: withAttempt(onAccepted),
  refused: withAttempt(onRefused),
  head: withAttempt(onHead),
  output: withAttempt(onOutput),
  heartbeat: withAttempt(onHeartbeat),
  final: withAttempt(onFinal),
  inactivity_timeout: withAttempt(onInactivityTimeout),
  stream_ended: withAttempt(onStreamEnded),
  output_invalid: withAttempt(onOutputInvalid),
  deadline: state => cancelAndEnd(state, deadlinePassed(state)),
  caller_gone: state => cancelAndEnd(state, {
    reason: 'caller_gone', code: 'cancelled', message: 'the caller went away', step: 'attempts.caller', peer: peerOf(state)
  })
}

/**
 * @param state - the request
 * @param event - the event to handle
 * @param input - current conditions
 * @returns the next state and the commands to execute
 */
export function stepRequest (state: RequestState, event: RequestEvent, input: StepInput): Step {
  if (state.phase === 'ended') return { state, commands: [] }
  const handler = HANDLERS[event.kind] as (state: RequestState, event: RequestEvent, input: StepInput) => Step
  return handler(state, event, input)
}

/**
 * Discards events of closed streams. Otherwise a late frame of an unresponsive connection would be processed twice: once there
 * and once from the stream that resumed the attempt.
 */
function withAttempt<Event extends { stream: number }> (
  handle: (state: RequestState, attempt: AttemptState, event: Event, input: StepInput) => Step
) {
  return (state: RequestState, event: Event, input: StepInput): Step => {
    const { attempt } = state
    if (attempt === undefined || attempt.stream !== event.stream) return { state, commands: [] }
    return handle(state, attempt, event, input)
  }
}

function onBegin (state: RequestState, event: { suspect: boolean }, input: StepInput): Step {
  if (input.quarantined) return endFailed(state, 'not_run', quarantinedFailure(''))
  return chooseEndpoint({ ...state, soloFirstTokenNext: event.suspect })
}

function onChosen (state: RequestState, event: Extract<RequestEvent, { kind: 'chosen' }>, input: StepInput): Step {
  if (state.phase !== 'choosing') return { state, commands: [] }
  // After a process pause the deadline timer may run after this event, and an endpoint would run a request that has already expired.
  if (input.nowMs >= input.deadlineMs) return cancelAndEnd(state, deadlinePassed(state))
  const attempt: AttemptState = {
    attemptId: event.attemptId,
    target: event.target,
    isolated: state.isolatedNext,
    soloFirstToken: state.soloFirstTokenNext && !state.isolatedNext,
    sentMs: input.nowMs,
    stream: state.streams + 1,
    resuming: false,
    accepted: false,
    headSeen: false,
    receivedBytes: 0,
    resumes: 0
  }
  return {
    state: { ...state, phase: 'attempting', attempt, attempts: state.attempts + 1, streams: attempt.stream, waitUntilMs: undefined },
    commands: [{ kind: 'start', attempt }]
  }
}

/**
 * A request that no agent had accepted is refused at once. An accepted one would lose its progress, or its place in a queue,
 * so it waits for an endpoint to become ready, including those that it was sent to before. Each wait has its own limit: where
 * endpoints crash one after another, a common limit would end requests long before their deadline, just when no endpoint
 * happens to be ready.
 */
function onNoTarget (state: RequestState, _event: { kind: 'no_target' }, input: StepInput): Step {
  if (state.phase !== 'choosing') return { state, commands: [] }
  if (!state.wasAccepted && state.ran === 'not_run') return endWithoutTarget(state)
  if (state.waitUntilMs === undefined) {
    const durationMs = Math.min(MAX_TARGET_WAIT_MS, (input.deadlineMs - input.nowMs) * TARGET_WAIT_SHARE)
    return chooseEndpoint({ ...state, waitUntilMs: input.nowMs + durationMs })
  }
  if (input.nowMs >= state.waitUntilMs) return endWithoutTarget(state)
  return { state, commands: [{ kind: 'wait_for_target', untilMs: state.waitUntilMs }] }
}

function endWithoutTarget (state: RequestState): Step {
  const failure: Failure = state.failure ?? {
    reason: 'no_endpoint', code: 'unavailable', message: 'no endpoint of this service is ready', step: 'routing.choose', peer: ''
  }
  return endFailed(state, state.ran, { ...failure, retryAfterMs: failure.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS })
}

/** Ends the request at once; the attempt is cancelled at its agent without waiting for the response. */
function cancelAndEnd (state: RequestState, failure: Failure): Step {
  const { attempt } = state
  const ran = ranSoFar(state)
  if (attempt === undefined) return endFailed(state, ran, failure)
  return endFailed(state, ran, failure, [
    { kind: 'close_stream', target: attempt.target },
    { kind: 'cancel', attempt, reason: failure.reason }
  ])
}

function deadlinePassed (state: RequestState): Failure {
  return { reason: 'deadline', code: 'deadline_exceeded', message: 'the deadline passed', step: 'attempts.deadline', peer: peerOf(state) }
}

function peerOf (state: RequestState): string {
  return state.attempt?.target.key ?? state.failure?.peer ?? ''
}
