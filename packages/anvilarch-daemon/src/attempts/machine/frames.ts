/** Handles each kind of frame of an attempt. */
import { invariant, type RunStatus } from 'anvilarch-utils'
import { endCompleted, ranOfAttempt } from './ending'
import { onCrash, onFailedFinal } from './finals'
import { retryOrEnd, type AttemptFailure } from './nextAttempt'
import { REFUSALS } from './refusals'
import { BAR_PROOF_WINDOW_MS } from './limits'
import { resumeOrGiveUp } from './streams'
import type { AttemptState, RequestCommand, RequestEvent, RequestState, Step, StepInput } from './types'

type EventOf<Kind extends RequestEvent['kind']> = Extract<RequestEvent, { kind: Kind }>

/** Handles the acceptance of an attempt, or the confirmation that the agent still has it. */
export function onAccepted (state: RequestState, attempt: AttemptState): Step {
  return { state: { ...state, attempt: { ...attempt, accepted: true } }, commands: [] }
}

/**
 * Handles a heartbeat: the connection works and the attempt still runs, so the count of resumptions starts over. Otherwise
 * unrelated timeouts would add up and end an attempt in the middle of a long prompt, although its agent retains the output and
 * sends it over each new connection.
 */
export function onHeartbeat (state: RequestState, attempt: AttemptState): Step {
  if (attempt.resumes === 0) return { state, commands: [] }
  return { state: { ...state, attempt: { ...attempt, resumes: 0 } }, commands: [] }
}

/** Handles a refusal: the agent will not run the attempt, or has no record of it. */
export function onRefused (state: RequestState, attempt: AttemptState, event: EventOf<'refused'>, input: StepInput): Step {
  const rule = REFUSALS[event.reason]
  const ran = ranAfterRefusal(attempt, event, input)
  const failed: AttemptFailure = {
    reason: event.reason,
    code: rule.code,
    message: `the agent refused the attempt: ${event.reason}`,
    step: attempt.resuming ? 'attempts.resume' : 'attempts.start',
    peer: attempt.target.key,
    retryAfterMs: event.retryAfterMs > 0 ? event.retryAfterMs : undefined,
    ran,
    unbudgeted: ran === 'not_run',
    final: rule.final === true && !attempt.resuming,
    mayReturn: rule.mayReturn
  }
  const soloFirstTokenNext = state.soloFirstTokenNext || rule.soloFirstToken === true
  return retryOrEnd({ ...state, soloFirstTokenNext }, failed, input, refusalCommands(attempt, event))
}

/**
 * A refused start never runs. A resumption refused as `barred` proves the same, but only within the time for which the agent
 * retains ended attempts; any other refused resumption leaves the outcome of the attempt unknown.
 */
function ranAfterRefusal (attempt: AttemptState, event: EventOf<'refused'>, input: StepInput): RunStatus {
  if (!attempt.resuming && !attempt.accepted) return 'not_run'
  const isWithinProofWindow = input.nowMs - attempt.sentMs < BAR_PROOF_WINDOW_MS
  if (event.reason === 'barred' && !attempt.accepted && isWithinProofWindow) return 'not_run'
  return ranOfAttempt(attempt)
}

function refusalCommands (attempt: AttemptState, event: EventOf<'refused'>): RequestCommand[] {
  const { target } = attempt
  const commands: RequestCommand[] = [{ kind: 'close_stream', target }]
  const { note } = REFUSALS[event.reason]
  if (note !== undefined) commands.push({ kind: 'note', target, note })
  if (REFUSALS[event.reason].soloFirstToken === true) commands.push({ kind: 'suspect' })
  if (event.incarnation !== '' && event.incarnation !== target.incarnation) {
    commands.push({ kind: 'note_incarnation', target, incarnation: event.incarnation })
  }
  return commands
}

/** Handles status and headers. They are sent again after a resumption, and are then ignored. */
export function onHead (state: RequestState, attempt: AttemptState, event: EventOf<'head'>): Step {
  if (attempt.headSeen) return { state, commands: [] }
  return {
    state: { ...state, attempt: { ...attempt, accepted: true, headSeen: true, resumes: 0 } },
    commands: [{ kind: 'head', status: event.status, headers: event.headers }]
  }
}

/** Handles response bytes. Bytes received before are skipped; after a gap the attempt is resumed, since its agent retains all output. */
export function onOutput (state: RequestState, attempt: AttemptState, event: EventOf<'output'>, input: StepInput): Step {
  const expected = attempt.receivedBytes
  const end = event.offsetBytes + event.data.length
  if (event.offsetBytes > expected) {
    return resumeOrGiveUp(state, attempt, input, { reason: 'gap', message: `bytes ${expected} to ${event.offsetBytes} are missing`, newConnection: false })
  }
  if (end <= expected) return { state, commands: [] }
  const data = event.data.subarray(expected - event.offsetBytes)
  return {
    state: { ...state, attempt: { ...attempt, accepted: true, receivedBytes: end, resumes: 0 } },
    commands: [{ kind: 'output', data }]
  }
}

/** Handles the final frame of an attempt. */
export function onFinal (state: RequestState, attempt: AttemptState, event: EventOf<'final'>, input: StepInput): Step {
  const { final } = event
  if (final.outcome === 'endpoint_crashed') return onCrash(state, attempt, final, input)
  if (final.outcome !== 'completed') return onFailedFinal(state, attempt, final, input)
  return onCompleted(state, attempt, event, input)
}

/** A response is complete when every byte of the endpoint was received and nothing required by the caller's protocol is missing. */
function onCompleted (state: RequestState, attempt: AttemptState, event: EventOf<'final'>, input: StepInput): Step {
  const { final } = event
  const { target } = attempt
  if (!attempt.headSeen || attempt.receivedBytes < final.totalBytes) {
    const message = `${attempt.receivedBytes} of ${final.totalBytes} bytes were received`
    return resumeOrGiveUp(state, attempt, input, { reason: 'gap', message, newConnection: false })
  }
  if (attempt.receivedBytes > final.totalBytes) {
    const message = `${attempt.receivedBytes} bytes were received of an answer of ${final.totalBytes}`
    return retryOrEnd(state, { ...invalidResponseFailure(attempt, 'excess', message), final: true }, input, [{ kind: 'close_stream', target }])
  }
  if (input.missing !== undefined) {
    const message = `the endpoint ended the answer without ${input.missing}`
    return retryOrEnd(state, invalidResponseFailure(attempt, 'cut_short', message), input, [{ kind: 'close_stream', target }])
  }
  invariant(attempt.receivedBytes === final.totalBytes, 'answer_whole',
    () => `request ${state.facts.requestId} would complete with ${attempt.receivedBytes} of ${final.totalBytes} bytes`)
  const commands: RequestCommand[] = [{ kind: 'close_stream', target }]
  if (attempt.isolated || attempt.soloFirstToken) commands.push({ kind: 'cleared' })
  return endCompleted(state, final.outputTokens, commands)
}

function invalidResponseFailure (attempt: AttemptState, reason: string, message: string): AttemptFailure {
  return { reason, code: 'endpoint_failed', message, step: 'attempts.read', peer: attempt.target.key, ran: 'ran' }
}
