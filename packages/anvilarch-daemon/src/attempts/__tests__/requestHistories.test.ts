import fc from 'fast-check'
import { RESPONSE, SimulatedFleet } from '../__fixtures__/simulatedFleet'
import { MAX_ATTEMPTS, MAX_RESUMES_NON_IDEMPOTENT } from '../machine/limits'

const SEED = 4711
const RUNS = 4_000

/** Actions of a history; `at` selects the message, agent or amount. */
const ACTIONS: Record<string, (fleet: SimulatedFleet, at: number) => void> = {
  deliver: (fleet, at) => { fleet.deliver(at) },
  deliverFirst: fleet => { fleet.deliver(0) },
  drop: (fleet, at) => { fleet.network.splice(at % fleet.network.length, 1) },
  duplicate: (fleet, at) => { fleet.deliver(at, true) },
  produce: (fleet, at) => { fleet.produce(at, 3) },
  produceAll: (fleet, at) => { fleet.produce(at, RESPONSE.length) },
  crash: (fleet, at) => { fleet.crash(at) },
  kill: (fleet, at) => { fleet.kill(at) },
  restart: (fleet, at) => { fleet.restart(at) },
  refuse: (fleet, at) => { fleet.agents[at % fleet.agents.length].refuse = at % 2 === 0 ? 'draining' : 'overloaded' },
  inactivityTimeout: fleet => { fleet.apply({ kind: 'inactivity_timeout', stream: fleet.state.attempt?.stream ?? 0 }) },
  cut: fleet => { fleet.apply({ kind: 'stream_ended', stream: fleet.state.attempt?.stream ?? 0, neverSent: false, message: 'cut' }) },
  wait: (fleet, at) => { fleet.wait(at * 15_000) },
  quarantine: (fleet, at) => { fleet.quarantined ||= at === 0 },
  // These end a history, so they are made rare.
  callerGone: (fleet, at) => { if (at === 0) fleet.apply({ kind: 'caller_gone' }) },
  deadline: (fleet, at) => { if (at === 0) fleet.apply({ kind: 'deadline' }) }
}
const NEEDS_MESSAGES = new Set(['deliver', 'deliverFirst', 'drop', 'duplicate'])

/** Checks the result that the caller received against the attempts that ran. */
function checkEnd (fleet: SimulatedFleet, streamed: boolean): void {
  const { end, executions } = fleet
  if (end === undefined) return
  if (end.outcome === 'completed') {
    if (fleet.received !== RESPONSE) throw new Error(`completed with ${JSON.stringify(fleet.received)}`)
  } else {
    if (end.ran === 'not_run' && executions.length > 0) throw new Error(`reported not_run, but ran as ${executions.join()}`)
    if (end.ran === 'ran' && executions.length === 0) throw new Error('reported ran, but did not run')
  }
  if (streamed && !RESPONSE.startsWith(fleet.received)) throw new Error(`the caller received ${JSON.stringify(fleet.received)}`)
}

class Action implements fc.Command<object, SimulatedFleet> {
  constructor (readonly name: string, readonly at: number) {}
  check = (): boolean => true
  run (_model: object, fleet: SimulatedFleet): void {
    if (NEEDS_MESSAGES.has(this.name) && fleet.network.length === 0) return
    ACTIONS[this.name](fleet, this.at)
    if (fleet.resumes > MAX_RESUMES_NON_IDEMPOTENT) throw new Error(`${fleet.resumes} resumptions without new output`)
    checkEnd(fleet, true)
  }

  toString = (): string => `${this.name}(${this.at})`
}

const weights: Record<string, number> = { deliver: 8, deliverFirst: 12, produce: 3, produceAll: 2, inactivityTimeout: 4, wait: 1, callerGone: 1, deadline: 1, quarantine: 1 }
const anyAction = fc.oneof(...Object.keys(ACTIONS).map(name => ({ weight: weights[name] ?? 2, arbitrary: fc.nat({ max: 9 }).map(at => new Action(name, at)) })))

function checkHistories (options: { idempotent: boolean, streamed: boolean }): void {
  fc.assert(fc.property(fc.commands([anyAction], { maxCommands: 60, size: 'max' }), fc.integer({ min: 1, max: 4 }), (commands, agents) => {
    const fleet = new SimulatedFleet({ agents, ...options })
    fc.modelRun(() => ({ model: {}, real: fleet }), commands)
    fleet.apply({ kind: 'deadline' })
    // Messages still in transit arrive after the caller has received its result.
    for (let deliveries = 500; deliveries > 0 && fleet.network.length > 0; deliveries--) fleet.deliver(0)
    checkEnd(fleet, options.streamed)
    if (fleet.end === undefined) throw new Error('the request never ended')
    if (fleet.starts > MAX_ATTEMPTS) throw new Error(`${fleet.starts} starts`)
    if (!options.idempotent && fleet.executions.length > 1) throw new Error(`ran ${fleet.executions.length} times`)
    if (fleet.startsInQuarantine > 0) throw new Error('sent after it was quarantined')
  }), { seed: SEED, numRuns: RUNS })
}

describe('stepRequest over random histories', () => {
  it('reports outcomes of non-idempotent calls correctly and runs them at most once', () => {
    checkHistories({ idempotent: false, streamed: false })
  })

  it('reports outcomes of idempotent requests correctly and completes them only with a complete response', () => {
    checkHistories({ idempotent: true, streamed: false })
  })

  it('continues streams at other endpoints without gap or repetition', () => {
    checkHistories({ idempotent: true, streamed: true })
  })
})

describe('a gateway after a process pause', () => {
  it('does not report a discarded attempt as one that never ran', () => {
    // Guards against a caller that receives not_run for a call that ran: its agent has discarded the attempt after the retention.
    const fleet = new SimulatedFleet({ agents: 2, idempotent: false, streamed: false })
    fleet.deliver(0)
    fleet.produce(0, RESPONSE.length)
    fleet.network = []
    fleet.wait(61_000)
    fleet.apply({ kind: 'inactivity_timeout', stream: 1 })
    while (fleet.network.length > 0) fleet.deliver(0)
    expect(fleet.end).toMatchObject({ outcome: 'failed', ran: 'unknown', failure: { code: 'outcome_unknown' } })
    expect(fleet.executions).toHaveLength(1)
  })
})

describe('an agent that is replaced repeatedly', () => {
  it('does not make one request exhaust the retry budget of all', () => {
    // Guards against one request at a host that is replaced in a loop, after which no other request can be retried.
    const fleet = new SimulatedFleet({ agents: 1, idempotent: true, streamed: false })
    for (let rounds = 0; rounds < 50 && fleet.end === undefined; rounds++) {
      fleet.deliver(0)
      fleet.kill(0)
      fleet.restart(0)
      while (fleet.network.length > 0 && fleet.network[0].to !== 'agent') fleet.deliver(0)
    }
    expect([fleet.end?.outcome, fleet.starts]).toEqual(['failed', MAX_ATTEMPTS])
  })
})

describe('a request without an endpoint to run at', () => {
  it('waits when an agent had accepted it into its queue', () => {
    // Guards against queued requests that are refused when an engine restarts, although they have time left.
    const fleet = new SimulatedFleet({ agents: 1, idempotent: false, streamed: false })
    const final = { outcome: 'endpoint_failed', totalBytes: 0, ran: 'not_run', detail: 'the endpoint went down', retryAfterMs: 0, outputTokens: 0, wasAlone: false } as const
    fleet.apply({ kind: 'accepted', stream: 1, incarnation: '1' })
    fleet.agents[0].listed = false
    fleet.apply({ kind: 'final', stream: 1, final })
    expect([fleet.end, fleet.waiting, fleet.notes]).toEqual([undefined, true, ['endpoint_down']])
    fleet.agents[0].listed = true
    fleet.apply({ kind: 'targets_changed' })
    expect(fleet.starts).toBe(2)
  })

  it('is refused at once when no agent had accepted it', () => {
    const fleet = new SimulatedFleet({ agents: 0, idempotent: true, streamed: false })
    expect(fleet.end).toMatchObject({ outcome: 'failed', ran: 'not_run', failure: { code: 'unavailable', retryAfterMs: expect.any(Number) } })
  })
})
