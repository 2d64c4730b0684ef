/** What each frame of an attempt leads to. */
import { invariant, type RunStatus } from 'anvilarch-utils'
import { endCompleted, ranOfAttempt } from './ending'
import { onCrash, onFailedFinal } from './finals'
import { afterAttempt, type AttemptFailure } from './nextAttempt'
import { REFUSALS } from './refusals'
import { BAR_PROOF_WINDOW_MS } from './limits'
import { resumeOrGiveUp } from './streams'
import type { AttemptState, RequestCommand, RequestEvent, RequestState, Step, StepInput } from './types'

type EventOf<Kind extends RequestEvent['kind']> = Extract<RequestEvent, { kind: Kind }>

/** The agent took the attempt, or still has it. */
export function onAccepted (state: RequestState, attempt: AttemptState): Step {
  return { state: { ...state, attempt: { ...attempt, accepted: true } }, commands: [] }
}

/**
 * The connection works and the attempt still runs. A later silence is then another one: counted together with those before, it would
 * end an attempt in the middle of a long prompt, whose output its agent keeps and tells on each new connection.
 */
export function onHeartbeat (state: RequestState, attempt: AttemptState): Step {
  if (attempt.resumes === 0) return { state, commands: [] }
  return { state: { ...state, attempt: { ...attempt, resumes: 0 } }, commands: [] }
}

/** The agent will not run the attempt, or does not know it. */
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
    free: ran === 'not_run',
    final: rule.final === true && !attempt.resuming,
    mayReturn: rule.mayReturn
  }
  const soloNext = state.soloNext || rule.solo === true
  return afterAttempt({ ...state, soloNext }, failed, input, refusalCommands(attempt, event))
}

/**
 * A refused start never runs. A resumption that is refused as `barred` proves the same, but only while the agent can't
 * have run and forgotten the attempt; any other refused resumption leaves open what became of it.
 */
function ranAfterRefusal (attempt: AttemptState, event: EventOf<'refused'>, input: StepInput): RunStatus {
  if (!attempt.resuming && !attempt.accepted) return 'not_run'
  const soon = input.nowMs - attempt.sentMs < BAR_PROOF_WINDOW_MS
  if (event.reason === 'barred' && !attempt.accepted && soon) return 'not_run'
  return ranOfAttempt(attempt)
}

function refusalCommands (attempt: AttemptState, event: EventOf<'refused'>): RequestCommand[] {
  const { target } = attempt
  const commands: RequestCommand[] = [{ kind: 'leave', target }]
  const { note } = REFUSALS[event.reason]
  if (note !== undefined) commands.push({ kind: 'note', target, note })
  if (REFUSALS[event.reason].solo === true) commands.push({ kind: 'suspect' })
  if (event.incarnation !== '' && event.incarnation !== target.incarnation) {
    commands.push({ kind: 'note_incarnation', target, incarnation: event.incarnation })
  }
  return commands
}

/** Status and headers. A resumption brings them again. */
export function onHead (state: RequestState, attempt: AttemptState, event: EventOf<'head'>): Step {
  if (attempt.headSeen) return { state, commands: [] }
  return {
    state: { ...state, attempt: { ...attempt, accepted: true, headSeen: true, resumes: 0 } },
    commands: [{ kind: 'head', status: event.status, headers: event.headers }]
  }
}

/** Bytes of the answer. What was read before is cut off; a gap is read again from the agent, which keeps the whole. */
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

/** The attempt is over at its agent. */
export function onFinal (state: RequestState, attempt: AttemptState, event: EventOf<'final'>, input: StepInput): Step {
  const { final } = event
  if (final.outcome === 'endpoint_crashed') return onCrash(state, attempt, final, input)
  if (final.outcome !== 'completed') return onFailedFinal(state, attempt, final, input)
  return onCompleted(state, attempt, event, input)
}

/** The answer is whole only when every byte that the endpoint wrote was read, and the caller's protocol lacks nothing of it. */
function onCompleted (state: RequestState, attempt: AttemptState, event: EventOf<'final'>, input: StepInput): Step {
  const { final } = event
  const { target } = attempt
  if (!attempt.headSeen || attempt.receivedBytes < final.totalBytes) {
    const message = `${attempt.receivedBytes} of ${final.totalBytes} bytes were received`
    return resumeOrGiveUp(state, attempt, input, { reason: 'gap', message, newConnection: false })
  }
  if (attempt.receivedBytes > final.totalBytes) {
    const message = `${attempt.receivedBytes} bytes were received of an answer of ${final.totalBytes}`
    return afterAttempt(state, { ...badAnswer(attempt, 'excess', message), final: true }, input, [{ kind: 'leave', target }])
  }
  if (input.missing !== undefined) {
    const message = `the endpoint ended the answer without ${input.missing}`
    return afterAttempt(state, badAnswer(attempt, 'cut_short', message), input, [{ kind: 'leave', target }])
  }
  invariant(attempt.receivedBytes === final.totalBytes, 'answer_whole',
    () => `request ${state.facts.requestId} would complete with ${attempt.receivedBytes} of ${final.totalBytes} bytes`)
  const commands: RequestCommand[] = [{ kind: 'leave', target }]
  if (attempt.isolated || attempt.soloFirstToken) commands.push({ kind: 'cleared' })
  return endCompleted(state, final.outputTokens, commands)
}

function badAnswer (attempt: AttemptState, reason: string, message: string): AttemptFailure {
  return { reason, code: 'endpoint_failed', message, step: 'attempts.read', peer: attempt.target.key, ran: 'ran' }
}
