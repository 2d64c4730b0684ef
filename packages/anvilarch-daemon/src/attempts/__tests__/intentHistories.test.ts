import { createFakeClock, type FakeClock, SILENT_LOGGER, AnvilarchError, type RunStatus } from 'anvilarch-utils'
import fc from 'fast-check'
import { createMemoryTable, type MemoryTable } from '../__fixtures__/memoryTable'
import { createTestContext } from '../__fixtures__/testContext'
import { createKeyedCallRunner } from '../intents/keyedCallRunner'
import type { KeyedCallRunner, KeyedResult } from '../intents/types'
import type { WorkResult } from '../types'

const SEED = 99
const RUNS = 400
const TIMEOUT_MS = 2_000

/** A gateway; once it is killed, none of its actions reaches the table or a caller. */
interface Gateway {
  runner: KeyedCallRunner
  alive: boolean
}

interface Call {
  key: string
  body: string
  gateway: Gateway
  result: KeyedResult | undefined
  executed: boolean
}

class Simulation {
  readonly clock: FakeClock = createFakeClock(1_000)
  readonly table: MemoryTable = createMemoryTable()
  readonly gateways: Gateway[] = []
  readonly calls: Call[] = []
  /** Calls in progress, and functions that end them. */
  running: Array<{ call: Call, end: (result: WorkResult) => void }> = []
  starts = 0

  constructor () {
    this.addGateway()
    this.addGateway()
  }

  addGateway (): void {
    const gateway: Gateway = { alive: true, runner: undefined as never }
    const { port } = this.table
    const commit: typeof port.commit = async request => {
      if (!gateway.alive) return await new Promise(() => {})
      return await port.commit(request)
    }
    const context = createTestContext({ clock: this.clock, incarnation: `g${this.starts++}`, platform: { table: { ...port, commit } } })
    gateway.runner = createKeyedCallRunner({ ...context, logger: SILENT_LOGGER })
    this.gateways.push(gateway)
  }

  call (at: number): void {
    const gateway = this.gateways[this.gateways.length - 1 - at % 2]
    const call: Call = { key: `k${at % 3}`, body: at % 7 === 0 ? 'other' : 'same', gateway, result: undefined, executed: false }
    this.calls.push(call)
    const execute = async (): Promise<WorkResult> => {
      // A killed gateway sends nothing more.
      if (!gateway.alive) return await new Promise(() => {})
      call.executed = true
      return await new Promise(resolve => { this.running.push({ call, end: resolve }) })
    }
    gateway.runner.run({ caller: 'c', key: call.key, requestId: `r${this.calls.length}`, callHash: call.body, timeoutMs: TIMEOUT_MS }, execute)
      .then(result => { if (gateway.alive) call.result = result }, () => {})
  }

  finish (at: number, result: (call: Call) => WorkResult): void {
    if (this.running.length === 0) return
    const [{ call, end }] = this.running.splice(at % this.running.length, 1)
    const ended = result(call)
    // An end as not_run is proved by the attempts slice, so the call counts as never executed.
    if (ended.outcome === 'failed' && ended.error.ran === 'not_run') call.executed = false
    end(ended)
  }
}

const completed = (call: Call): WorkResult => ({ outcome: 'completed', status: 200, headers: {}, body: Buffer.from(`${call.key} ${call.body}`), attempts: 1, outputTokens: 0, acceptedBy: [] })
const failed = (ran: RunStatus) => (): WorkResult => ({ outcome: 'failed', attempts: 1, acceptedBy: [], error: new AnvilarchError('x', { code: 'unavailable', step: 's', ran }) })

const ACTIONS: Record<string, (world: Simulation, at: number) => Promise<void> | void> = {
  call: (world, at) => { world.call(at) },
  callTwice: (world, at) => { world.call(at); world.call(at + 1) },
  pass: async (world, at) => { await world.clock.advanceAsync(at * 30) },
  passLong: async (world, at) => { await world.clock.advanceAsync(at * 1_500) },
  answer: (world, at) => { world.finish(at, completed) },
  failNotRun: (world, at) => { world.finish(at, failed('not_run')) },
  failUnknown: (world, at) => { world.finish(at, failed('unknown')) },
  loseReplies: (world, at) => { world.table.faults.loseReplies = at },
  tableDown: world => { world.table.faults.down = true },
  tableUp: world => { world.table.faults.down = false },
  kill: world => {
    world.gateways[world.gateways.length - 1].alive = false
    world.addGateway()
  }
}

class Action implements fc.AsyncCommand<object, Simulation> {
  constructor (readonly name: string, readonly at: number) {}
  check = (): boolean => true
  async run (_model: object, world: Simulation): Promise<void> {
    await ACTIONS[this.name](world, this.at)
    await world.clock.advanceAsync(0)
  }

  toString = (): string => `${this.name}(${this.at})`
}

/** Checks the results that callers received against the calls that ran. */
function check (world: Simulation): void {
  for (const key of new Set(world.calls.map(call => call.key))) {
    const calls = world.calls.filter(call => call.key === key)
    const executed = calls.filter(call => call.executed)
    if (executed.length > 1) throw new Error(`${key} ran ${executed.length} times`)
    for (const call of calls) checkResult(call, calls)
  }
}

function checkResult (call: Call, calls: readonly Call[]): void {
  const { result } = call
  const executed = calls.find(each => each.executed)
  if (result?.kind === 'replayed' && Buffer.from(result.body).toString() !== `${call.key} ${call.body}`) throw new Error('another response was replayed')
  if (result?.kind === 'replayed' && executed === undefined) throw new Error('a response was replayed for a call that did not run')
  if (result?.kind === 'refused' && result.error.ran === 'not_run' && call.executed) throw new Error('reported not_run, but ran')
  if (result?.kind === 'refused' && result.error.ran === 'not_run' && result.error.code === 'conflict' && calls.every(each => each.body === call.body)) throw new Error('a resend was refused as having another body')
}

const weights: Record<string, number> = { call: 6, callTwice: 3, pass: 8, answer: 4 }
const anyAction = fc.oneof(...Object.keys(ACTIONS).map(name => ({ weight: weights[name] ?? 1, arbitrary: fc.nat({ max: 9 }).map(at => new Action(name, at)) })))

describe('createKeyedCallRunner over random histories', () => {
  it('runs a call at most once per key and reports its outcome correctly', async () => {
    await fc.assert(fc.asyncProperty(fc.commands([anyAction], { maxCommands: 40, size: 'max' }), async commands => {
      const world = new Simulation()
      await fc.asyncModelRun(() => ({ model: {}, real: world }), commands)
      check(world)
      Object.assign(world.table.faults, { down: false, loseReplies: 0 })
      for (let rounds = 0; rounds < 10; rounds++) {
        while (world.running.length > 0) world.finish(0, completed)
        await world.clock.advanceAsync(2_000)
      }
      check(world)
      const unanswered = world.calls.filter(call => call.gateway.alive && call.result === undefined)
      if (unanswered.length > 0) throw new Error(`${unanswered.length} callers never received a result`)
    }), { seed: SEED, numRuns: RUNS })
  })
})

describe('createKeyedCallRunner', () => {
  const run = async (world: Simulation, at: number): Promise<Call> => {
    world.call(at)
    await world.clock.advanceAsync(2_000)
    return world.calls[world.calls.length - 1]
  }
  const refusal = (call: Call): Partial<AnvilarchError> => call.result?.kind === 'refused' ? call.result.error : {}

  it('replays the recorded response to a resend through another gateway', async () => {
    const world = new Simulation()
    await run(world, 2)
    world.finish(0, completed)
    await world.clock.advanceAsync(100)
    expect((await run(world, 5)).result).toMatchObject({ kind: 'replayed', status: 200 })
    expect(world.calls.map(call => call.executed)).toEqual([true, false])
  })

  it('refuses another body with the same key, and a resend while the call runs', async () => {
    const world = new Simulation()
    await run(world, 1)
    expect(refusal(await run(world, 7))).toMatchObject({ code: 'conflict', ran: 'not_run', retryAfterMs: undefined })
    expect(refusal(await run(world, 4))).toMatchObject({ code: 'conflict', ran: 'unknown', retryAfterMs: expect.any(Number) })
  })

  it('reports an unknown outcome and never runs the call again when the gateway that ran it was killed', async () => {
    // Guards against a reservation that is made twice.
    const world = new Simulation()
    await run(world, 2)
    world.gateways[1].alive = false
    world.addGateway()
    expect(refusal(await run(world, 2))).toMatchObject({ code: 'conflict', ran: 'unknown' })
    await world.clock.advanceAsync(10_000)
    expect(refusal(await run(world, 2))).toMatchObject({ code: 'outcome_unknown', ran: 'unknown' })
    expect(world.calls.filter(call => call.executed)).toHaveLength(1)
  })

  it('refuses as not_run within two seconds while the table does not respond, and frees the key afterwards', async () => {
    // Guards against a caller that receives not_run, and on a resend the error that its call is in progress.
    const world = new Simulation()
    world.table.faults.loseReplies = 3
    expect(refusal(await run(world, 1))).toMatchObject({ code: 'platform_unavailable', ran: 'not_run', retryAfterMs: expect.any(Number) })
    await world.clock.advanceAsync(3_000)
    expect([...world.table.rows.keys()]).toEqual([])
    expect((await run(world, 1)).executed).toBe(true)
  })

  it('settles a commit whose reply was lost by sending its id again', async () => {
    const world = new Simulation()
    world.table.faults.loseReplies = 1
    expect((await run(world, 1)).executed).toBe(true)
    expect(new Set(world.table.commits).size).toBe(1)
    expect(world.table.commits).toHaveLength(2)
  })

  it('writes many intents in few commits', async () => {
    const world = new Simulation()
    const context = createTestContext({ clock: world.clock, platform: { table: world.table.port } })
    const runner = createKeyedCallRunner(context)
    const ended = Promise.all(Array.from({ length: 100 }, async (_, each) => await runner.run({ caller: 'c', key: `many-${each}`, requestId: 'r', callHash: 'h', timeoutMs: TIMEOUT_MS }, async () => completed(world.calls[0] ?? { key: '', body: '' } as Call))))
    await world.clock.advanceAsync(1_000)
    expect((await ended).every(each => each.kind === 'ran')).toBe(true)
    expect(world.table.commits.length).toBeLessThanOrEqual(5)
  })
})
