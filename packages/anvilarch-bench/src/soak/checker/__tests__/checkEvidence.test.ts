import { call, evidence, execution, jobResponse, submission } from '../../__fixtures__/evidence'
import type { Evidence } from '../../types'
import { checkEvidence, CHECKS } from '../checkEvidence'
import { DOWN_WINDOW_MS, RELOAD_BOUND_MS } from '../serviceChecks'

/** Names of the checks with a violation. */
function failedChecks (changes: Partial<Evidence>): string[] {
  return checkEvidence(evidence(changes)).filter(({ count }) => count > 0).map(({ name }) => name)
}

const ENGINE_DRAIN = { agent: 'agent-1', endpoints: ['engine-1'], by: 'signal' as const, sinceMs: 1000, untilMs: 20_000 }
const STOP = { daemon: 'gateway-1', toldAtMs: 5000, endedAtMs: 9000, exitCode: 0 }
const STOP_FAULT = { fault: 'stop_gateway', target: 'gateway-1', injectedAtMs: 5000, healedAtMs: 10_000 }
const ORDER = { kind: 'order' as const, idempotent: false }
const VERSION = { daemon: 'agent-1', processId: 7, atMs: 1000, version: 4 }
const APPLY = { gateway: 'gateway-1', operator: 'a', sentAtMs: 1000, endedAtMs: 1100, status: 200, version: 5, hash: 'x' }
const ORDERED = { endpoint: 'engine-1', processId: 7, atMs: 1000, action: 'load' }
const IDLE_ENGINE = { endpoint: 'engine-1', processId: 7, firstSeenMs: 1000, lastSeenMs: 1000 + RELOAD_BOUND_MS }
const REFUSED_CALLS = Array.from({ length: 20 }, (_unused, index) =>
  call({ requestId: `call-${index}`, sentAtMs: 1000 + index, endedAtMs: 2000, told: 'refused', status: 503, code: 'unavailable', ran: 'not_run', retryAfterMs: 1000 }))
const RUNNING = { state: 'running' as const, endedAtMs: undefined }

/** A valid record of each kind, without a violation. */
const VALID: Partial<Evidence> = {
  calls: [call(), call({ requestId: 'call-2', told: 'refused', status: 503, code: 'overloaded', ran: 'not_run', retryAfterMs: 1000 })],
  executions: [execution()],
  submissions: [submission()],
  versions: [VERSION, { ...VERSION, version: 5 }],
  applies: [APPLY],
  stops: [STOP],
  leaves: [ENGINE_DRAIN],
  faults: [STOP_FAULT]
}

const ONE_LINE = submission().lines.slice(0, 1)

/** Evidence with one violation, by the name of the check that must find it. */
const VIOLATIONS: Record<string, Partial<Evidence>> = {
  'items lost': { submissions: [submission({ lines: ONE_LINE })] },
  'items doubled': { submissions: [submission({ lines: [...submission().lines, ...ONE_LINE] })] },
  'items shown wrong': { submissions: [submission({ lines: submission().lines.map(line => ({ ...line, text: 'other' })) })] },
  'items that can be done shown as failed': { submissions: [submission({ lines: submission().lines.map(line => ({ ...line, kind: 'error', text: undefined })) })] },
  'submissions that became two jobs': { submissions: [submission({ answers: [jobResponse(), jobResponse({ jobId: 'batch_2' })] })] },
  'same key with another body accepted': { submissions: [submission({ otherBodyAnswers: [jobResponse()] })] },
  'jobs run that nobody was told of': { submissions: [submission()], executions: [execution({ requestId: 'batch_9.0.0.1.0.0' })] },
  'results that grew after a cancellation': { submissions: [submission({ cancelledAtMs: 1500, shownAfterCancel: [{ atMs: 1500, items: 1 }, { atMs: 1600, items: 2 }] })] },
  'items started long after a cancellation': { submissions: [submission({ cancelledAtMs: 1500 })], executions: [execution({ requestId: 'batch_1.0.0.1.0.0', startedAtMs: 12_000 })] },
  'answers incomplete that were told as whole': { calls: [call({ fault: 'incomplete' })] },
  'answers crossed that were told as whole': { calls: [call({ fault: 'crossed' })] },
  'streams with other pieces that were not told as whole': { calls: [call({ kind: 'stream', told: 'broken', code: 'UND_ERR_SOCKET', fault: 'crossed' })] },
  'calls run after "not_run"': { calls: [call({ told: 'refused', ran: 'not_run' })], executions: [execution()] },
  'non-idempotent runs above one, calls without key': { calls: [call(ORDER)], executions: [execution(), execution({ executionId: 'execution-2' })] },
  'non-idempotent runs above one, calls with key': {
    calls: [call({ ...ORDER, kind: 'keyed_order', key: 'k' }), call({ ...ORDER, kind: 'keyed_order', key: 'k', requestId: 'call-2' })],
    executions: [execution(), execution({ requestId: 'call-2' })]
  },
  'non-idempotent calls answered whole without a run': { calls: [call(ORDER)] },
  'calls left without an answer past their deadline': { calls: [call({ told: 'broken', code: 'TimeoutError' })] },
  'refusals without Retry-After': { calls: [call({ told: 'refused', status: 503, code: 'overloaded' })] },
  'endpoints crashed by one request above the bound': {
    calls: [call({ kind: 'crashing', key: 'k', told: 'failed' }), call({ kind: 'crashing', key: 'k', requestId: 'call-2', told: 'failed' })],
    executions: [execution(RUNNING), execution(RUNNING), execution({ ...RUNNING, requestId: 'call-2' }), execution({ ...RUNNING, requestId: 'call-2' })]
  },
  'harmless calls condemned as crashing': { calls: [call({ told: 'failed', code: 'quarantined' })] },
  'harmless calls beside a crashing one that did not finish': {
    calls: [call({ kind: 'crashing', told: 'failed' }), call({ requestId: 'call-2', told: 'failed', code: 'overloaded', ran: 'ran' })],
    executions: [execution(RUNNING), execution({ ...RUNNING, requestId: 'call-2' })]
  },
  'idempotent calls that nothing but a crash could hold up to their deadline': { calls: [call({ told: 'failed', status: 504, code: 'deadline_exceeded', ran: 'unknown' })] },
  'configuration versions gone back at a daemon': { versions: [{ ...VERSION, version: 5 }, { ...VERSION, processId: 8, version: 0 }, { ...VERSION, processId: 8, version: 4 }] },
  'applied versions that were not new': { applies: [APPLY, { ...APPLY, sentAtMs: 2000, endedAtMs: 2100, version: 4, hash: 'y' }] },
  'daemons behind the last accepted version at the end': { applies: [APPLY], versions: [VERSION] },
  'orders taken with an old fencing token': { orders: [{ ...ORDERED, fencingToken: 2 }, { ...ORDERED, atMs: 1100, fencingToken: 1 }] },
  'new work on a leaving endpoint after the bound': { leaves: [ENGINE_DRAIN], executions: [execution({ startedAtMs: 6001 })] },
  'requests run by a stopping gateway and cut': {
    stops: [STOP],
    faults: [STOP_FAULT],
    calls: [call({ ...ORDER, sentAtMs: 6000, endedAtMs: 9000, told: 'broken', code: 'UND_ERR_SOCKET' })],
    executions: [execution({ startedAtMs: 8000, endedAtMs: 8500 })]
  },
  'requests cut by a planned stop': { stops: [STOP], faults: [STOP_FAULT], calls: [call({ sentAtMs: 4000, endedAtMs: 6000, told: 'broken', code: 'UND_ERR_SOCKET' })] },
  'planned stops that did not end by themselves': { stops: [{ ...STOP, exitCode: null }] },
  'daemons that ended without being told to': { unplannedExits: [{ daemon: 'agent-1', atMs: 1000, exit: 'code 1' }] },
  'invariant violations': { violations: [{ daemon: 'agent-1', processId: 7, name: 'item_has_one_result', count: 1 }] },
  'engines that came back and got no order to load in time': { engineProcesses: [IDLE_ENGINE], orders: [{ ...ORDERED, atMs: IDLE_ENGINE.lastSeenMs + 1, fencingToken: 1 }] },
  'ten seconds without a whole answer of the model service': { calls: REFUSED_CALLS }
}

describe('checkEvidence', () => {
  test('counts nothing in valid evidence, and reports the number of cases examined', () => {
    expect(failedChecks(VALID)).toEqual([])
    const trials = Object.fromEntries(checkEvidence(evidence(VALID)).map(count => [count.name, count.trials]))
    expect(trials['items lost']).toBe(2)
    expect(trials['calls run after "not_run"']).toBe(1)
  })

  test('has evidence with a violation for every check', () => {
    expect(Object.keys(VIOLATIONS).sort()).toEqual(CHECKS.map(({ name }) => name).sort())
  })

  test.each(Object.entries(VIOLATIONS))('finds %s', (name, changes) => {
    expect(failedChecks(changes)).toContain(name)
  })

  test('does not count calls against a planned stop that another fault may have interrupted', () => {
    const kill = { fault: 'kill_agent', target: 'agent-1', injectedAtMs: 5500, healedAtMs: 5600 }
    expect(failedChecks({ ...VIOLATIONS['requests cut by a planned stop'], faults: [STOP_FAULT, kill] })).toEqual([])
  })

  // Guards against a false count of new work on a leaving endpoint: a frozen engine starts an earlier request late (soak seed 317).
  test('does not count work that was queued in a frozen engine before the endpoint began to leave', () => {
    const drain = ENGINE_DRAIN
    const endpoint = drain.endpoints[0]
    const frozen = { fault: 'engine_frozen', target: endpoint, injectedAtMs: drain.sinceMs - 700, healedAtMs: drain.sinceMs + 7000 }
    const before = call({ sentAtMs: drain.sinceMs - 100, endedAtMs: drain.sinceMs + 8000 })
    const run = execution({ endpoint, startedAtMs: drain.sinceMs + 7100, endedAtMs: drain.sinceMs + 7900 })
    const counted = ['new work on a leaving endpoint after the bound']
    expect(failedChecks({ leaves: [drain], calls: [before], executions: [run], faults: [frozen] })).toEqual([])
    expect(failedChecks({ leaves: [drain], calls: [before], executions: [run] })).toEqual(counted)
    expect(failedChecks({ leaves: [drain], calls: [{ ...before, sentAtMs: drain.sinceMs + 10 }], executions: [run], faults: [frozen] })).toEqual(counted)
    expect(failedChecks({ leaves: [drain], calls: [before], executions: [run], faults: [{ ...frozen, target: 'engine-9' }] })).toEqual(counted)
    expect(failedChecks({ leaves: [drain], calls: [before], executions: [run], faults: [{ ...frozen, healedAtMs: drain.sinceMs + 1000 }] })).toEqual(counted)
  })

  // Guards against counting a keyed order against a planned stop when it got `conflict` ("the call under Idempotency-Key is in progress", soak seed 42).
  test('does not count a call against a planned stop whose key is in progress elsewhere, unless that call was interrupted too', () => {
    const order = { kind: 'keyed_order', key: 'order-1', idempotent: false } as const
    const conflicting = call({ ...order, requestId: 'order-1.0', sentAtMs: 4000, endedAtMs: 6000, told: 'failed', status: 409, code: 'conflict', ran: 'unknown' })
    const other = call({ ...order, requestId: 'order-1.1', gateway: 'gateway-2', sentAtMs: 4000, endedAtMs: 6100 })
    const counted = ['requests cut by a planned stop']
    const validExecutions = [execution({ requestId: 'order-1.1', startedAtMs: 4100, endedAtMs: 6000, endpoint: 'plain-1' })]
    const stopped = { stops: [STOP], faults: [STOP_FAULT], executions: validExecutions }
    expect(failedChecks({ ...stopped, calls: [conflicting, other] })).toEqual([])
    expect(failedChecks({ ...stopped, calls: [conflicting] })).toEqual(counted)
    expect(failedChecks({ ...stopped, calls: [conflicting, { ...other, told: 'broken', code: 'UND_ERR_SOCKET' }] })).toEqual(counted)
    expect(failedChecks({ ...stopped, calls: [conflicting, { ...other, sentAtMs: 1000, endedAtMs: 2000 }] })).toEqual(counted)
    expect(failedChecks({ ...stopped, calls: [{ ...conflicting, status: 502, code: 'outcome_unknown' }, other] })).toEqual(counted)
  })

  // Guards against counting a keyed order against a planned stop when it got the outcome that was recorded before (soak seed 71).
  test('does not count a call against a planned stop that got the recorded outcome of an earlier call of its key', () => {
    const order = { kind: 'keyed_order', key: 'order-1', idempotent: false, told: 'failed', status: 502, code: 'outcome_unknown', ran: 'unknown', detail: 'the agent went silent' } as const
    const replayed = call({ ...order, requestId: 'order-1.1', sentAtMs: 4000, endedAtMs: 6000 })
    const earlier = call({ ...order, requestId: 'order-1.0', gateway: 'gateway-2', sentAtMs: 1000, endedAtMs: 2000 })
    const counted = ['requests cut by a planned stop']
    const stopped = { stops: [STOP], faults: [STOP_FAULT] }
    expect(failedChecks({ ...stopped, calls: [earlier, replayed] })).toEqual([])
    expect(failedChecks({ ...stopped, calls: [replayed] })).toEqual(counted)
    expect(failedChecks({ ...stopped, calls: [{ ...earlier, key: 'order-2' }, replayed] })).toEqual(counted)
    expect(failedChecks({ ...stopped, calls: [{ ...earlier, detail: 'another cause' }, replayed] })).toEqual(counted)
    expect(failedChecks({ ...stopped, calls: [{ ...earlier, endedAtMs: 4500 }, replayed] })).toEqual(counted)
  })

  // Guards against mistaking processes without CPU time on a busy computer for a fault of the system.
  test('names the daemons whose process paused while a call was held up to its deadline', () => {
    const timedOut = call({ told: 'failed', status: 504, code: 'deadline_exceeded', ran: 'unknown' })
    const pauses = [{ daemon: 'gateway-1', processId: 7, atMs: timedOut.endedAtMs + 100, count: 2 }, { daemon: 'gateway-2', processId: 8, atMs: timedOut.sentAtMs - 1, count: 1 }]
    const [{ examples }] = checkEvidence(evidence({ calls: [timedOut], pauses })).filter(({ count }) => count > 0)
    expect(examples).toEqual([expect.stringMatching(/; process of gateway-1 paused \(2\)$/)])
  })

  // Guards against a pass although an engine stays without a model for a minute after a crash.
  test('expects an order to load for each process of an engine, unless its agent was stopped or the placement could not act', () => {
    const name = 'engines that came back and got no order to load in time'
    const crashing = { fault: 'crashing_request', target: 'callers', injectedAtMs: 0, healedAtMs: 5000 }
    const agentStop = { fault: 'stop_agent', target: 'agent-1', injectedAtMs: 500, healedAtMs: 3000 }
    const outage = { fault: 'table_outage', target: 'table', injectedAtMs: 500, healedAtMs: 3000 }
    const loaded = { ...ORDERED, atMs: IDLE_ENGINE.firstSeenMs + RELOAD_BOUND_MS, fencingToken: 1 }
    const engineProcesses = [IDLE_ENGINE]
    expect(failedChecks({ engineProcesses, orders: [loaded], faults: [crashing] })).toEqual([])
    expect(failedChecks({ engineProcesses, faults: [crashing] })).toEqual([name])
    expect(failedChecks({ engineProcesses, orders: [{ ...loaded, processId: 8 }] })).toEqual([name])
    expect(failedChecks({ engineProcesses, faults: [STOP_FAULT] })).toEqual([name])
    expect(failedChecks({ engineProcesses, faults: [agentStop] })).toEqual([name])
    expect(failedChecks({ engineProcesses, faults: [agentStop], leaves: [{ ...ENGINE_DRAIN, untilMs: 2000 }] })).toEqual([])
    expect(failedChecks({ engineProcesses, faults: [outage] })).toEqual([])
    expect(failedChecks({ engineProcesses: [{ ...IDLE_ENGINE, lastSeenMs: IDLE_ENGINE.lastSeenMs - 1 }] })).toEqual([])
  })

  test('reports a service as down when no call in a window gets a complete response, even if only crashes were injected', () => {
    const name = 'ten seconds without a whole answer of the model service'
    const crashing = { fault: 'crashing_request', target: 'callers', injectedAtMs: 0, healedAtMs: 5000 }
    expect(failedChecks({ calls: REFUSED_CALLS, faults: [crashing] })).toEqual([name])
    expect(failedChecks({ calls: [...REFUSED_CALLS, call({ sentAtMs: 1000 + DOWN_WINDOW_MS - 1, endedAtMs: 1000 + DOWN_WINDOW_MS })] })).toEqual([])
    expect(failedChecks({ calls: REFUSED_CALLS.slice(1) })).toEqual([])
    expect(failedChecks({ calls: REFUSED_CALLS, faults: [{ ...crashing, fault: 'kill_engine', target: 'engine-1' }] })).toEqual([])
  })

  test('does not expect the system to detect what a lagging host list does not show yet', () => {
    const drain = { ...ENGINE_DRAIN, by: 'host_list' as const }
    const lag = { fault: 'host_list_lag', target: 'hosts', injectedAtMs: 500, healedAtMs: 4000 }
    const executions = [execution({ startedAtMs: 8000 })]
    expect(failedChecks({ leaves: [drain], executions, faults: [lag] })).toEqual([])
    expect(failedChecks({ leaves: [drain], executions })).toEqual(['new work on a leaving endpoint after the bound'])
  })
})
