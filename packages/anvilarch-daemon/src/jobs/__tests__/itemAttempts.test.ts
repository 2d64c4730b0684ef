import fc from 'fast-check'
import { AnvilarchError, createFakeClock, createRandom, type FakeClock, type Random, sleep } from 'anvilarch-utils'
import type { RequestRunner, WorkRequest, WorkResult } from '../../attempts/types'
import type { DaemonContext } from '../../context'
import { createFakeRunner } from '../__fixtures__/fakeRunner'
import { createTestContext, TEST_DOCUMENT } from '../__fixtures__/testContext'
import { chunkLines } from '../chunkLines'
import { createPartItems, type PartItems } from '../partItems'
import type { JobRow, PartRow } from '../rows'

/** Behaviour of an endpoint: completes items, returns 500, accepts none, or is lost with each item that it accepts. */
type Behaviour = 'works' | 'fails' | 'unavailable' | 'lost'

const ENDPOINTS = ['e1', 'e2', 'e3']
const MAX_ATTEMPTS = 4
const RUN_MS = 100
const DAY_MS = 86_400_000
/** Longest time between two changes of behaviour. */
const MAX_PHASE_MS = 20_000
const SEED = Number(process.env.ITEM_ATTEMPTS_SEED ?? 20_802)
const HISTORIES = Number(process.env.ITEM_ATTEMPTS_HISTORIES ?? 200)

/** Simulates the items of one part at endpoints whose behaviour the test sets. */
class ItemSimulation {
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
    const idle = createFakeRunner({ clock: this.clock, random: this.random, maxRunMs: 0, refusedShare: 0, slots: 1 })
    return { ...idle, run: async request => await this.run(request) }
  }

  private async run (request: WorkRequest): Promise<WorkResult> {
    this.requestIds.push(request.requestId)
    const target = this.choose(request.avoid)
    const { messages: [{ content }] } = JSON.parse(Buffer.from(request.call.body).toString()) as { messages: Array<{ content: string }> }
    await sleep(this.clock, RUN_MS)
    if (target === undefined) return completed(503, [])
    if (this.behaviour.get(target) === 'lost') return lost(target)
    this.runs.set(content, (this.runs.get(content) ?? 0) + 1)
    return completed(this.behaviour.get(target) === 'fails' || content.startsWith('FAIL') ? 500 : 200, [target])
  }

  private choose (avoid: ReadonlySet<string> = new Set()): string | undefined {
    const available = ENDPOINTS.filter(name => this.behaviour.get(name) !== 'unavailable')
    const others = available.filter(name => !avoid.has(name))
    const pool = others.length > 0 ? others : available
    return pool.length === 0 ? undefined : this.random.pick(pool)
  }

  /** @returns whether all items are final */
  async advance (durationMs: number): Promise<boolean> {
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

function completed (status: number, acceptedBy: string[]): WorkResult {
  return { outcome: 'completed', status, headers: {}, body: Buffer.from('{}'), attempts: 1, outputTokens: 0, acceptedBy }
}

function lost (target: string): WorkResult {
  const error = new AnvilarchError('the endpoint went down', { code: 'unavailable', step: 'test', ran: 'unknown' })
  return { outcome: 'failed', error, attempts: 1, acceptedBy: [target] }
}

const behaviour = fc.constantFrom<Behaviour>('works', 'unavailable', 'lost')
const phase = fc.record({
  failing: fc.constantFrom('e1', 'e1', 'e1', 'none'),
  others: fc.tuple(behaviour, behaviour),
  ms: fc.integer({ min: 500, max: MAX_PHASE_MS })
})

describe('attempts of items', () => {
  // Guards against an item that fails because the only remaining endpoint fails everything.
  it('completes an item that one endpoint fails repeatedly once another endpoint is available', async () => {
    const simulation = new ItemSimulation(['a', 'b', 'c'], SEED)
    simulation.set(['fails', 'unavailable', 'unavailable'])
    expect(await simulation.advance(60_000)).toBe(false)
    simulation.set(['fails', 'works', 'unavailable'])
    expect(await simulation.advance(60_000)).toBe(true)
    expect([...simulation.kinds.values()]).toEqual(['output', 'output', 'output'])
  })

  // Guards against an endpoint that was lost during a run being counted as one that has failed the item.
  it('does not count an endpoint that was lost while it ran the item as one that has failed it', async () => {
    const simulation = new ItemSimulation(['a'], SEED, 2)
    const runSpy = jest.spyOn(simulation as unknown as { run: (request: WorkRequest) => Promise<WorkResult> }, 'run')
    runSpy.mockResolvedValueOnce(completed(500, ['e2', 'e1']))
    simulation.set(['fails', 'unavailable', 'unavailable'])
    expect(await simulation.advance(60_000)).toBe(false)
    simulation.set(['fails', 'works', 'unavailable'])
    expect(await simulation.advance(60_000)).toBe(true)
    expect([...simulation.kinds.values()]).toEqual(['output'])
  })

  // Guards against an item that fails at one endpoint for good because other endpoints were lost with it before.
  it('does not count the loss of an endpoint as an attempt of the items that it ran', async () => {
    const simulation = new ItemSimulation(['a', 'b'], SEED)
    simulation.set(['unavailable', 'lost', 'unavailable'])
    for (let run = 1; run < MAX_ATTEMPTS; run++) expect(await simulation.advance(2_000)).toBe(false)
    simulation.set(['fails', 'unavailable', 'unavailable'])
    expect(await simulation.advance(20_000)).toBe(false)
    simulation.set(['works', 'unavailable', 'unavailable'])
    expect(await simulation.advance(60_000)).toBe(true)
    expect([...simulation.kinds.values()]).toEqual(['output', 'output'])
  })

  it('completes all valid items, whatever the other endpoints do beside one that fails', async () => {
    const property = fc.asyncProperty(fc.array(phase, { minLength: 1, maxLength: 8 }), fc.nat({ max: 1_000 }), async (phases, seed) => {
      const simulation = new ItemSimulation(['a', 'FAIL b', 'c', 'd', 'FAIL e', 'f'], seed)
      for (const { failing, others, ms } of phases) {
        simulation.set([failing === 'e1' ? 'fails' : 'works', ...others])
        await simulation.advance(ms)
      }
      simulation.set(['works', 'works', 'works'])
      expect(await simulation.advance(10 * 60_000)).toBe(true)
      expect(Object.fromEntries(simulation.kinds)).toEqual({ 0: 'output', 1: 'error', 2: 'output', 3: 'output', 4: 'error', 5: 'output' })
      expect(new Set(simulation.requestIds).size).toBe(simulation.requestIds.length)
    })
    await fc.assert(property, { seed: SEED, numRuns: HISTORIES })
  }, 60_000)

  // Guards against an item that every endpoint fails and that keeps its job active and the endpoints busy.
  it('ends an item that every endpoint fails after its maximum number of attempts', async () => {
    const simulation = new ItemSimulation(['FAIL a'], SEED)
    expect(await simulation.advance(60_000)).toBe(true)
    expect([simulation.kinds.get(0), simulation.runs.get('FAIL a')]).toEqual(['error', MAX_ATTEMPTS])
  })

  it('ends an item that the only endpoint of its service fails after its maximum number of attempts', async () => {
    const simulation = new ItemSimulation(['FAIL a'], SEED, 1)
    simulation.set(['works', 'unavailable', 'unavailable'])
    expect(await simulation.advance(60_000)).toBe(true)
    expect([simulation.kinds.get(0), simulation.runs.get('FAIL a')]).toEqual(['error', MAX_ATTEMPTS])
  })

  it('ends an item within minutes when the endpoints that have not failed it stay unavailable', async () => {
    const simulation = new ItemSimulation(['FAIL a'], SEED)
    simulation.set(['works', 'unavailable', 'unavailable'])
    expect(await simulation.advance(10 * 60_000)).toBe(true)
    expect(simulation.kinds.get(0)).toBe('error')
    expect(simulation.runs.get('FAIL a')).toBeLessThanOrEqual(20)
  })
})
