/** Handles final frames that report the end of an attempt without a complete response. */
import type { AttemptOutcome } from 'anvilarch-protocol'
import type { ErrorCode, RunStatus } from 'anvilarch-utils'
import { combineRan, endFailed, ranOfAttempt } from './ending'
import { MAX_SHARED_CRASHES, MAX_CRASHES, MAX_UNBUDGETED_RETRIES } from './limits'
import { retryOrEnd, retryDespiteBudget, type AttemptFailure, quarantinedFailure } from './nextAttempt'
import type { AttemptState, Failure, FinalReport, RequestCommand, RequestState, Step, StepInput } from './types'

interface FinalRule {
  code: ErrorCode
  final?: boolean
  mayReturn?: AttemptFailure['mayReturn']
}

/** Rules by outcome, for the outcomes without a handler of their own. */
const FINAL_RULES: Record<Exclude<AttemptOutcome, 'completed' | 'endpoint_crashed'>, FinalRule> = {
  cancelled: { code: 'cancelled', final: true },
  endpoint_failed: { code: 'endpoint_failed' },
  deadline: { code: 'deadline_exceeded', final: true },
  preempted: { code: 'overloaded', mayReturn: 'when_none_left' },
  lost: { code: 'unavailable', mayReturn: 'when_none_left' }
}

/** Handles an attempt that ended at a reachable agent. */
export function onFailedFinal (state: RequestState, attempt: AttemptState, final: FinalReport, input: StepInput): Step {
  const rule = FINAL_RULES[final.outcome as keyof typeof FINAL_RULES]
  const ran = ranOfFinal(attempt, final)
  if (final.outcome === 'endpoint_failed' && ran === 'not_run') return onNotReached(state, attempt, final, input)
  const failed: AttemptFailure = {
    ...describeFinal(attempt, final),
    code: rule.code,
    ran,
    unbudgeted: ran === 'not_run' || final.outcome === 'preempted',
    final: rule.final,
    mayReturn: rule.mayReturn
  }
  return retryOrEnd(state, failed, input, [{ kind: 'close_stream', target: attempt.target }])
}

/**
 * Handles an attempt whose endpoint went down before the attempt reached it. The endpoint serves no attempt until it is ready
 * again. The attempt cost no endpoint anything, so the retry budget never refuses the next one: crashes use that budget up,
 * and requests that were queued at a crashed endpoint would fail although other endpoints are ready.
 */
function onNotReached (state: RequestState, attempt: AttemptState, final: FinalReport, input: StepInput): Step {
  const { target } = attempt
  const failed: AttemptFailure = {
    ...describeFinal(attempt, final),
    code: 'unavailable',
    ran: 'not_run',
    unbudgeted: true,
    mayReturn: 'when_none_left'
  }
  const commands: RequestCommand[] = [{ kind: 'close_stream', target }, { kind: 'note', target, note: 'endpoint_down' }]
  return state.unbudgetedRetries < MAX_UNBUDGETED_RETRIES ? retryOrEnd(state, failed, input, commands) : retryDespiteBudget(state, failed, input, commands)
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
 * Handles a crash of the endpoint. A request that was still queued at the agent runs elsewhere as usual. A request that ran
 * without producing a token is the most likely cause, since an engine crashes when it first computes a request: it runs again
 * with no other prompt computed until its first token. Any other request runs beside others once more. After a second crash
 * of unknown cause it is a suspect and runs isolated, since its first token proves nothing.
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
  const commands: RequestCommand[] = [{ kind: 'close_stream', target }, { kind: 'note', target, note: 'endpoint_down' }]
  if ((attempt.isolated || attempt.soloFirstToken) && final.wasAlone) {
    const ran = combineRan(state.ran, failed.ran)
    return endFailed({ ...state, attempt: undefined, crashes }, ran, quarantinedFailure(target.key), [...commands, { kind: 'quarantine' }])
  }
  const hadNoToken = final.outputTokens === 0
  const isolatedNext = attempt.isolated || (!hadNoToken && crashes >= MAX_SHARED_CRASHES)
  if (hadNoToken || isolatedNext) commands.push({ kind: 'suspect' })
  return retryDespiteBudget({ ...state, crashes, isolatedNext, soloFirstTokenNext: hadNoToken }, failed, input, commands)
}

/** Output that was received outweighs a report that the attempt did not run. */
function ranOfFinal (attempt: AttemptState, final: FinalReport): RunStatus {
  return ranOfAttempt(attempt) === 'ran' ? 'ran' : final.ran
}
