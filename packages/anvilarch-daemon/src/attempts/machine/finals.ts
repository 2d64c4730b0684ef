/** What follows when an agent reports that an attempt ended without its whole answer. */
import type { AttemptOutcome } from 'anvilarch-protocol'
import type { ErrorCode, RunStatus } from 'anvilarch-utils'
import { combineRan, endFailed, ranOfAttempt } from './ending'
import { CRASHES_BESIDE_OTHERS, MAX_CRASHES, MAX_FREE_RETRIES } from './limits'
import { afterAttempt, againUnrefused, type AttemptFailure, quarantinedFailure } from './nextAttempt'
import type { AttemptState, Failure, FinalReport, RequestCommand, RequestState, Step, StepInput } from './types'

interface FinalRule {
  code: ErrorCode
  final?: boolean
  mayReturn?: AttemptFailure['mayReturn']
}

/** Rules by outcome, for those that are not handled by themselves. */
const FINALS: Record<Exclude<AttemptOutcome, 'completed' | 'endpoint_crashed'>, FinalRule> = {
  cancelled: { code: 'cancelled', final: true },
  endpoint_failed: { code: 'endpoint_failed' },
  deadline: { code: 'deadline_exceeded', final: true },
  preempted: { code: 'overloaded', mayReturn: 'when_none_left' },
  lost: { code: 'unavailable', mayReturn: 'when_none_left' }
}

/** The attempt ended at its agent, which is still there. */
export function onFailedFinal (state: RequestState, attempt: AttemptState, final: FinalReport, input: StepInput): Step {
  const rule = FINALS[final.outcome as keyof typeof FINALS]
  const ran = ranOfFinal(attempt, final)
  if (final.outcome === 'endpoint_failed' && ran === 'not_run') return onNeverReached(state, attempt, final, input)
  const failed: AttemptFailure = {
    ...describeFinal(attempt, final),
    code: rule.code,
    ran,
    free: ran === 'not_run' || final.outcome === 'preempted',
    final: rule.final,
    mayReturn: rule.mayReturn
  }
  return afterAttempt(state, failed, input, [{ kind: 'leave', target: attempt.target }])
}

/**
 * The endpoint was down before the attempt got there. It does nothing for this attempt, or for others, until it is back. The
 * attempt has cost no endpoint anything, so that the budget of retries never refuses the next one: crashes use that budget
 * up, and what waited at a crashed endpoint would be lost though others are ready.
 */
function onNeverReached (state: RequestState, attempt: AttemptState, final: FinalReport, input: StepInput): Step {
  const { target } = attempt
  const failed: AttemptFailure = {
    ...describeFinal(attempt, final),
    code: 'unavailable',
    ran: 'not_run',
    free: true,
    mayReturn: 'when_none_left'
  }
  const commands: RequestCommand[] = [{ kind: 'leave', target }, { kind: 'note', target, note: 'endpoint_down' }]
  return state.freeRetries < MAX_FREE_RETRIES ? afterAttempt(state, failed, input, commands) : againUnrefused(state, failed, input, commands)
}

function describeFinal (attempt: AttemptState, final: FinalReport): Omit<Failure, 'code'> {
  return {
    reason: final.outcome,
    message: final.detail === '' ? `the attempt ended as ${final.outcome}` : final.detail,
    step: 'attempts.run',
    peer: attempt.target.key,
    retryAfterMs: final.retryAfterMs > 0 ? final.retryAfterMs : undefined
  }
}

/**
 * The endpoint died. What still waited in the agent's queue is run elsewhere as if nothing had happened. What ran without
 * having produced a token is most likely to hold the culprit, since an engine crashes when it first computes a request; it
 * is run again so that no other prompt is computed until its first token. The rest is run beside others once more, and is a suspect
 * after a second crash whose cause is not known; it is then run with nothing beside it, since its first token proves nothing.
 */
export function onCrash (state: RequestState, attempt: AttemptState, final: FinalReport, input: StepInput): Step {
  const { target } = attempt
  if (ranOfFinal(attempt, final) === 'not_run') return onFailedFinal(state, attempt, { ...final, outcome: 'endpoint_failed' }, input)
  const isUnlikelyCause = final.causeKnown === true && final.outputTokens > 0
  const crashes = state.crashes + (isUnlikelyCause ? 0 : 1)
  const failed: AttemptFailure = {
    reason: 'endpoint_crashed',
    code: 'endpoint_failed',
    message: `the endpoint crashed while it ran the request (${crashes} so far)`,
    step: 'attempts.run',
    peer: target.key,
    ran: combineRan('unknown', ranOfFinal(attempt, final)),
    final: crashes >= MAX_CRASHES,
    mayReturn: 'when_none_left'
  }
  const commands: RequestCommand[] = [{ kind: 'leave', target }, { kind: 'note', target, note: 'endpoint_down' }]
  if ((attempt.isolated || attempt.soloFirstToken) && final.wasAlone) {
    const ran = combineRan(state.ran, failed.ran)
    return endFailed({ ...state, attempt: undefined, crashes }, ran, quarantinedFailure(target.key), [...commands, { kind: 'quarantine' }])
  }
  const hadNoToken = final.outputTokens === 0
  const isolateNext = attempt.isolated || (!hadNoToken && crashes >= CRASHES_BESIDE_OTHERS)
  if (hadNoToken || isolateNext) commands.push({ kind: 'suspect' })
  return againUnrefused({ ...state, crashes, isolateNext, soloNext: hadNoToken }, failed, input, commands)
}

/** An answer that was seen outweighs a report that nothing ran. */
function ranOfFinal (attempt: AttemptState, final: FinalReport): RunStatus {
  return ranOfAttempt(attempt) === 'ran' ? 'ran' : final.ran
}
