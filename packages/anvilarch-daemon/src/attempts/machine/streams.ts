/** Handles failures of the stream that carries an attempt, while the attempt itself may still run. */
import { ranOfAttempt } from './ending'
import { MAX_RESUMES_IDEMPOTENT, MAX_RESUMES_NON_IDEMPOTENT, RESUME_DELAY_MS } from './limits'
import { retryOrEnd, type AttemptFailure } from './nextAttempt'
import type { AttemptState, RequestEvent, RequestState, Step, StepInput } from './types'

type EventOf<Kind extends RequestEvent['kind']> = Extract<RequestEvent, { kind: Kind }>

interface StreamFailure {
  reason: 'silence' | 'connection_lost' | 'gap'
  message: string
  /** Whether to open a new connection, since the old one may never report its end. */
  newConnection: boolean
}

/**
 * Handles an inactivity timeout: no frame or heartbeat arrived. A network device may have dropped the connection without notice
 * to either end: the attempt continues but nothing arrives, and only a new connection can show that.
 */
export function onInactivityTimeout (state: RequestState, attempt: AttemptState, _event: EventOf<'inactivity_timeout'>, input: StepInput): Step {
  return resumeOrGiveUp(state, attempt, input, { reason: 'silence', message: 'the agent went silent', newConnection: true })
}

/** Handles a broken connection. A start that never left this gateway is proved not to have run. */
export function onStreamEnded (state: RequestState, attempt: AttemptState, event: EventOf<'stream_ended'>, input: StepInput): Step {
  if (event.neverSent && !attempt.resuming) {
    const failed = failureOf(attempt, { reason: 'connection_lost', message: event.message, newConnection: false })
    return retryOrEnd(state, { ...failed, ran: 'not_run', unbudgeted: true }, input, closeCommands(attempt, failed.reason))
  }
  return resumeOrGiveUp(state, attempt, input, { reason: 'connection_lost', message: event.message, newConnection: false })
}

/** Handles a protocol violation of the stream by resuming it. */
export function onOutputInvalid (state: RequestState, attempt: AttemptState, event: EventOf<'output_invalid'>, input: StepInput): Step {
  return resumeOrGiveUp(state, attempt, input, { reason: 'gap', message: event.message, newConnection: false })
}

/**
 * Resumes the attempt at the offset received so far, or gives up on its agent after a limited number of resumptions.
 *
 * @param state - the request
 * @param attempt - its current attempt
 * @param input - current conditions
 * @param failure - how the stream failed
 * @returns the step
 */
export function resumeOrGiveUp (state: RequestState, attempt: AttemptState, input: StepInput, failure: StreamFailure): Step {
  const maxResumes = state.facts.idempotent ? MAX_RESUMES_IDEMPOTENT : MAX_RESUMES_NON_IDEMPOTENT
  if (attempt.resumes >= maxResumes) {
    const failed = failureOf(attempt, failure)
    return retryOrEnd(state, { ...failed, ran: ranOfAttempt(attempt) }, input, [
      ...closeCommands(attempt, failure.reason),
      { kind: 'cancel', attempt, reason: 'given up by the gateway' }
    ])
  }
  const resumed: AttemptState = { ...attempt, resuming: true, resumes: attempt.resumes + 1, stream: state.streams + 1 }
  const isRepeated = attempt.resumes > 0 && failure.reason !== 'silence'
  return {
    state: { ...state, attempt: resumed, streams: resumed.stream },
    commands: [
      { kind: 'close_stream', target: attempt.target },
      { kind: 'resume', attempt: resumed, newConnection: failure.newConnection, delayMs: isRepeated ? RESUME_DELAY_MS : 0 }
    ]
  }
}

function closeCommands (attempt: AttemptState, reason: string): Step['commands'] {
  const commands: Step['commands'] = [{ kind: 'close_stream', target: attempt.target }]
  if (reason !== 'gap') commands.push({ kind: 'note', target: attempt.target, note: 'unreachable' })
  return commands
}

function failureOf (attempt: AttemptState, failure: StreamFailure): Omit<AttemptFailure, 'ran'> {
  return {
    reason: failure.reason,
    code: 'unavailable',
    message: failure.message,
    step: attempt.resuming ? 'attempts.resume' : 'attempts.start',
    peer: attempt.target.key,
    // Nothing reports when an agent that violated the protocol works again.
    mayReturn: failure.reason === 'gap' ? undefined : 'when_none_left'
  }
}
