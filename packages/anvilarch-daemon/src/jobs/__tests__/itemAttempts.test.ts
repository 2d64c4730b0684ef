import fc from 'fast-check'
import { AnvilarchError, createFakeClock, createRandom, type FakeClock, type Random, sleep } from 'anvilarch-utils'
import type { RequestRunner, WorkRequest, WorkResult } from '../../attempts/types'
import type { DaemonContext } from '../../context'
import { createFakeRunner } from '../__fixtures__/fakeRunner'
import { createTestContext, TEST_DOCUMENT } from '../__fixtures__/testContext'
import { chunkLines } from '../chunkLines'
import { createPartItems, type PartItems } from '../partItems'
import type { JobRow, PartRow } from '../rows'

/** What an endpoint does with items: it runs them, answers 500, takes none, or is lost with each that it takes. */
type Behaviour = 'works' | 'fails' | 'away' | 'lost'

const ENDPOINTS = ['e1', 'e2', 'e3']
const MAX_ATTEMPTS = 4
const RUN_MS = 100
const DAY_MS = 86_400_000
/** Longest time from one change to the next. */
const MAX_PHASE_MS = 20_000
const SEED = Number(process.env.ITEM_ATTEMPTS_SEED ?? 20_802)
const HISTORIES = Number(process.env.ITEM_ATTEMPTS_HISTORIES ?? 200)

/** Items of one part at endpoints whose behaviour the test sets. */
class World {
  readonly clock: FakeClock = createFakeClock(1_000_000)
  readonly behaviour = new Map<string, Behaviour>(ENDPOINTS.map(name => [name, 'works']))
  readonly runs = new Map<string, number>()
  readonly kinds = new Map<number, 'output' | 'error'>()
  readonly requestIds: string[] = []
  readonly random: Random
  readonly items: PartItems

  constructor (prompts: string[], seed: number, replicas = ENDPOINTS.length) {
    this.random = createRandom(seed)
    const { writer } = TEST_DOCUMENT.services
    const services = { writer: { ...writer, replicas } } as typeof TEST_DOCUMENT.services
    const document = { ...TEST_DOCUMENT, services, limits: { ...TEST_DOCUMENT.limits, maxItemAttempts: MAX_ATTEMPTS } }
    const context: DaemonContext = createTestContext({ name: 'g', incarnation: '1', clock: this.clock, platform: undefined as never, seed, document })
    const lines = prompts.map((prompt, index) => JSON.stringify({
      custom_id: `i${index}`, method: 'POST', url: '/v1/chat/completions', body: { model: 'm', messages: [{ role: 'user', content: prompt }] }
    }))
    this.items = createPartItems({
      context,
      runner: this.runner(),
      job: { id: 'batch_j', caller: 'c', expiresAtMs: this.clock.wallMs() + DAY_MS } as JobRow,
      part: 0,
      row: { items: prompts.length, completed: 0, failed: 0, done: '', epoch: 1 } as PartRow,
      lines: chunkLines(Buffer.from(lines.join('\n'))),
      onResult: (index, { kind }) => {
        expect(this.kinds.has(index)).toBe(false)
        this.kinds.set(index, kind)
      },
      onRunEnded: () => {}
    })
  }

  private runner (): RequestRunner {
    const idle = createFakeRunner({ clock: this.clock, random: this.random, maxRunMs: 0, refuse: 0, slots: 1 })
    return { ...idle, run: async request => await this.run(request) }
  }

  private async run (request: WorkRequest): Promise<WorkResult> {
    this.requestIds.push(request.requestId)
    const target = this.choose(request.avoid)
    const { messages: [{ content }] } = JSON.parse(Buffer.from(request.call.body).toString()) as { messages: Array<{ content: string }> }
    await sleep(this.clock, RUN_MS)
    if (target === undefined) return answered(503, [])
    if (this.behaviour.get(target) === 'lost') return lost(target)
    this.runs.set(content, (this.runs.get(content) ?? 0) + 1)
    return answered(this.behaviour.get(target) === 'fails' || content.startsWith('FAIL') ? 500 : 200, [target])
  }

  private choose (avoid: ReadonlySet<string> = new Set()): string | undefined {
    const there = ENDPOINTS.filter(name => this.behaviour.get(name) !== 'away')
    const others = there.filter(name => !avoid.has(name))
    const pool = others.length > 0 ? others : there
    return pool.length === 0 ? undefined : this.random.pick(pool)
  }

  /** @returns whether all items have ended */
  async pass (durationMs: number): Promise<boolean> {
    const untilMs = this.clock.nowMs() + durationMs
    while (this.clock.nowMs() < untilMs && this.items.waiting() + this.items.running() > 0) {
      for (let ready = this.items.next(this.clock.nowMs()); ready !== undefined; ready = this.items.next(this.clock.nowMs())) this.items.start(ready)
      await this.clock.advanceAsync(RUN_MS)
    }
    return this.items.waiting() + this.items.running() === 0
  }

  set (behaviours: Behaviour[]): void {
    for (const [index, name] of ENDPOINTS.entries()) this.behaviour.set(name, behaviours[index])
  }
}

function answered (status: number, takenBy: string[]): WorkResult {
  return { outcome: 'completed', status, headers: {}, body: Buffer.from('{}'), attempts: 1, outputTokens: 0, acceptedBy: takenBy }
}

function lost (target: string): WorkResult {
  const error = new AnvilarchError('the endpoint went down', { code: 'unavailable', step: 'test', ran: 'unknown' })
  return { outcome: 'failed', error, attempts: 1, acceptedBy: [target] }
}

const behaviour = fc.constantFrom<Behaviour>('works', 'away', 'lost')
const phase = fc.record({
  failing: fc.constantFrom('e1', 'e1', 'e1', 'none'),
  others: fc.tuple(behaviour, behaviour),
  ms: fc.integer({ min: 500, max: MAX_PHASE_MS })
})

describe('attempts of items', () => {
  // Guards against this: an item is listed as failed by the one endpoint that is left, which fails everything.
  it('does an item that one endpoint fails again and again, once another one is back', async () => {
    const world = new World(['a', 'b', 'c'], SEED)
    world.set(['fails', 'away', 'away'])
    expect(await world.pass(60_000)).toBe(false)
    world.set(['fails', 'works', 'away'])
    expect(await world.pass(60_000)).toBe(true)
    expect([...world.kinds.values()]).toEqual(['output', 'output', 'output'])
  })

  // Guards against this: one endpoint of two is lost with the item, and counts as one that has failed it.
  it('takes an endpoint that was lost while it ran the item for none that has failed it', async () => {
    const world = new World(['a'], SEED, 2)
    const lostFirst = jest.spyOn(world as unknown as { run: (request: WorkRequest) => Promise<WorkResult> }, 'run')
    lostFirst.mockResolvedValueOnce(answered(500, ['e2', 'e1']))
    world.set(['fails', 'away', 'away'])
    expect(await world.pass(60_000)).toBe(false)
    world.set(['fails', 'works', 'away'])
    expect(await world.pass(60_000)).toBe(true)
    expect([...world.kinds.values()]).toEqual(['output'])
  })

  // Guards against this: an item is listed as failed by one endpoint, since others were lost with it before.
  it('takes the loss of an endpoint for no attempt of the items that it ran', async () => {
    const world = new World(['a', 'b'], SEED)
    world.set(['away', 'lost', 'away'])
    for (let run = 1; run < MAX_ATTEMPTS; run++) expect(await world.pass(2_000)).toBe(false)
    world.set(['fails', 'away', 'away'])
    expect(await world.pass(20_000)).toBe(false)
    world.set(['works', 'away', 'away'])
    expect(await world.pass(60_000)).toBe(true)
    expect([...world.kinds.values()]).toEqual(['output', 'output'])
  })

  it('does the items that can be done, whatever the other endpoints do beside one that fails', async () => {
    const property = fc.asyncProperty(fc.array(phase, { minLength: 1, maxLength: 8 }), fc.nat({ max: 1_000 }), async (phases, seed) => {
      const world = new World(['a', 'FAIL b', 'c', 'd', 'FAIL e', 'f'], seed)
      for (const { failing, others, ms } of phases) {
        world.set([failing === 'e1' ? 'fails' : 'works', ...others])
        await world.pass(ms)
      }
      world.set(['works', 'works', 'works'])
      expect(await world.pass(10 * 60_000)).toBe(true)
      expect(Object.fromEntries(world.kinds)).toEqual({ 0: 'output', 1: 'error', 2: 'output', 3: 'output', 4: 'error', 5: 'output' })
      expect(new Set(world.requestIds).size).toBe(world.requestIds.length)
    })
    await fc.assert(property, { seed: SEED, numRuns: HISTORIES })
  }, 60_000)

  // Guards against this: an item that no endpoint can do keeps its job open and the endpoints busy.
  it('ends an item that every endpoint fails after its attempts', async () => {
    const world = new World(['FAIL a'], SEED)
    expect(await world.pass(60_000)).toBe(true)
    expect([world.kinds.get(0), world.runs.get('FAIL a')]).toEqual(['error', MAX_ATTEMPTS])
  })

  it('ends an item that the only endpoint of its service fails after its attempts', async () => {
    const world = new World(['FAIL a'], SEED, 1)
    world.set(['works', 'away', 'away'])
    expect(await world.pass(60_000)).toBe(true)
    expect([world.kinds.get(0), world.runs.get('FAIL a')]).toEqual(['error', MAX_ATTEMPTS])
  })

  it('ends an item within minutes when the endpoints that have not failed it never come back', async () => {
    const world = new World(['FAIL a'], SEED)
    world.set(['works', 'away', 'away'])
    expect(await world.pass(10 * 60_000)).toBe(true)
    expect(world.kinds.get(0)).toBe('error')
    expect(world.runs.get('FAIL a')).toBeLessThanOrEqual(20)
  })
})
