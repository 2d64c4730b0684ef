/** Checks of single calls: compares the responses to callers with the ledger of executions. */
import type { CallRecord, Evidence } from '../types'
import { CRASHING_FAULT, isDisturbed } from './disturbance'
import { executionsOf } from './executionIndex'
import type { Check, Finding } from './types'

/** Statuses after which the caller may retry later. */
const RETRY_LATER_STATUSES = new Set([429, 503])

/** Endpoints that a crashing request may end over all resends: it runs along with other requests first, then alone. */
export const MAX_ENDPOINTS_CRASHED = 3

/** Code of a call that the client aborted some time after the call's deadline. */
export const CLIENT_TIMEOUT_CODE = 'TimeoutError'

/** Longest delay until a pause shows in the polled metrics, as long as the daemon runs. */
const MAX_PAUSE_READ_DELAY_MS = 2000

const DEADLINE_EXCEEDED_CODE = 'deadline_exceeded'

const GATEWAY_FAULTS: ReadonlySet<string> = new Set(['kill_gateway', 'kill_acceptor', 'outage_after_apply', 'pause_gateway'])

/** Error code of a request that is itself considered the cause of crashes. */
const QUARANTINED_CODE = 'quarantined'

export const CALL_CHECKS: Check[] = [
  { name: 'answers incomplete that were told as whole', run: evidence => responsesWithFault(evidence, 'incomplete') },
  { name: 'answers crossed that were told as whole', run: evidence => responsesWithFault(evidence, 'crossed') },
  { name: 'streams with other pieces that were not told as whole', run: streamsWithWrongPieces },
  { name: 'calls run after "not_run"', run: executedAfterNotRun },
  { name: 'non-idempotent runs above one, calls without key', run: evidence => executedMoreThanOnce(evidence, 'order') },
  { name: 'non-idempotent runs above one, calls with key', run: evidence => executedMoreThanOnce(evidence, 'keyed_order') },
  { name: 'non-idempotent calls answered whole without a run', run: completeWithoutExecution },
  { name: 'calls left without an answer past their deadline', run: unansweredCalls },
  { name: 'refusals without Retry-After', run: refusalsWithoutRetryAfter },
  { name: 'endpoints crashed by one request above the bound', run: crashesAboveBound },
  { name: 'harmless calls condemned as crashing', run: harmlessQuarantined },
  { name: 'harmless calls beside a crashing one that did not finish', run: unfinishedAlongsideCrash },
  { name: 'idempotent calls that nothing but a crash could hold up to their deadline', run: exceededDeadline }
]

function responsesWithFault (evidence: Evidence, fault: CallRecord['fault']): Finding {
  const whole = evidence.calls.filter(call => call.told === 'whole')
  return { trials: whole.length, wrong: whole.filter(call => call.fault === fault).map(describeCall) }
}

function streamsWithWrongPieces (evidence: Evidence): Finding {
  const started = evidence.calls.filter(call => call.kind === 'stream' && call.status === 200 && call.told !== 'whole')
  return { trials: started.length, wrong: started.filter(call => call.fault === 'crossed').map(describeCall) }
}

function executedAfterNotRun (evidence: Evidence): Finding {
  const claims = evidence.calls.filter(call => call.ran === 'not_run' && call.told !== 'whole')
  const wrong = claims.flatMap(call => {
    const runs = executionsOf(evidence.executions, call.requestId)
    return runs.length === 0 ? [] : [`${describeCall(call)}; ${runs.length} run(s), the first at ${runs[0].endpoint} at ${runs[0].startedAtMs}`]
  })
  return { trials: claims.length, wrong }
}

/** Calls with the same key count together, over all gateways that they were sent through. */
function executedMoreThanOnce (evidence: Evidence, kind: CallRecord['kind']): Finding {
  const groups = groupBy(evidence.calls.filter(call => call.kind === kind), call => call.key ?? call.requestId)
  const wrong: string[] = []
  for (const [key, calls] of groups) {
    const runs = calls.flatMap(call => executionsOf(evidence.executions, call.requestId))
    if (runs.length > 1) wrong.push(`"${key}" ran ${runs.length} times: ${runs.map(run => `${run.requestId}/${run.attemptId} at ${run.endpoint} at ${run.startedAtMs}`).join(', ')}`)
  }
  return { trials: groups.size, wrong }
}

function completeWithoutExecution (evidence: Evidence): Finding {
  const orders = evidence.calls.filter(call => (call.kind === 'order' || call.kind === 'keyed_order'))
  const groups = [...groupBy(orders, call => call.key ?? call.requestId)].filter(([, calls]) => calls.some(call => call.told === 'whole'))
  const wrong = groups.filter(([, calls]) => calls.every(call => executionsOf(evidence.executions, call.requestId).length === 0))
  return { trials: groups.length, wrong: wrong.map(([key, calls]) => `"${key}": ${describeCall(calls[0])}`) }
}

/** A gateway that was killed or paused can't respond; every other one must. */
function unansweredCalls (evidence: Evidence): Finding {
  const wrong = evidence.calls.filter(call => call.code === CLIENT_TIMEOUT_CODE && !evidence.faults.some(fault =>
    GATEWAY_FAULTS.has(fault.fault) && fault.target.includes(call.gateway) && fault.injectedAtMs <= call.endedAtMs && fault.healedAtMs >= call.sentAtMs))
  return { trials: evidence.calls.length, wrong: wrong.map(describeCall) }
}

function refusalsWithoutRetryAfter (evidence: Evidence): Finding {
  const refusals = [...evidence.calls, ...evidence.submissions.flatMap(submission => submission.answers)]
    .filter(response => RETRY_LATER_STATUSES.has(response.status))
  const wrong = refusals.filter(response => response.retryAfterMs === undefined)
  return { trials: refusals.length, wrong: wrong.map(response => `${response.gateway} ${response.status} ${response.code} at ${response.endedAtMs}`) }
}

function crashesAboveBound (evidence: Evidence): Finding {
  const groups = groupBy(evidence.calls.filter(call => call.kind === 'crashing'), call => call.key ?? call.requestId)
  const wrong: string[] = []
  for (const [key, calls] of groups) {
    const crashed = calls.flatMap(call => executionsOf(evidence.executions, call.requestId)).filter(run => run.state === 'running')
    if (crashed.length > MAX_ENDPOINTS_CRASHED) wrong.push(`"${key}" crashed ${crashed.length} endpoints: ${crashed.map(run => `${run.endpoint} at ${run.startedAtMs}`).join(', ')}`)
  }
  return { trials: groups.size, wrong }
}

function harmlessQuarantined (evidence: Evidence): Finding {
  const harmless = evidence.calls.filter(call => call.kind !== 'crashing')
  return { trials: harmless.length, wrong: harmless.filter(call => call.code === QUARANTINED_CODE).map(describeCall) }
}

/** Requests that ran along with one that crashed their engine must still complete. Only calls without another fault are checked. */
function unfinishedAlongsideCrash (evidence: Evidence): Finding {
  const crashes = evidence.calls.filter(call => call.kind === 'crashing').flatMap(call => executionsOf(evidence.executions, call.requestId)).filter(run => run.state === 'running')
  const alongside = evidence.calls.filter(call => call.kind !== 'crashing' && call.idempotent && call.told !== 'gone' &&
    executionsOf(evidence.executions, call.requestId).some(run => run.state === 'running' && crashes.some(crash => crash.endpoint === run.endpoint && crash.incarnation === run.incarnation)) &&
    !isDisturbed(call, evidence.faults, CRASHING_FAULT))
  return { trials: alongside.length, wrong: alongside.filter(call => call.told !== 'whole').map(describeCall) }
}

/** Calls that can't finish in time must be refused at once, so with running endpoints none may wait until its deadline. */
function exceededDeadline (evidence: Evidence): Finding {
  const checked = evidence.calls.filter(call => call.idempotent && call.kind !== 'crashing' && !isDisturbed(call, evidence.faults, CRASHING_FAULT))
  return { trials: checked.length, wrong: checked.filter(call => call.code === DEADLINE_EXCEEDED_CODE).map(call => describeCall(call) + describePauses(call, evidence)) }
}

/** Names process pauses during a call: a paused daemon responds to nothing, so a busy computer would look like a fault of the system. */
function describePauses (call: CallRecord, evidence: Evidence): string {
  const during = evidence.pauses.filter(({ atMs }) => atMs >= call.sentAtMs && atMs <= call.endedAtMs + MAX_PAUSE_READ_DELAY_MS)
  return during.map(({ daemon, count }) => `; process of ${daemon} paused (${count})`).join('')
}

/**
 * @param call - any call
 * @returns a one-line description
 */
export function describeCall (call: CallRecord): string {
  const error = call.code === '' ? '' : ` ${call.code}`
  const ran = call.ran === '' ? '' : ` ran=${call.ran}`
  return `${call.kind} ${call.requestId} at ${call.gateway}, sent ${call.sentAtMs}, ended ${call.endedAtMs}: ${call.told} ${call.status}${error}${ran} ${call.detail}`.trim()
}

/**
 * @param items - to group
 * @param keyOf - key of one item
 * @returns the items by key
 */
export function groupBy<Item> (items: Iterable<Item>, keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}
