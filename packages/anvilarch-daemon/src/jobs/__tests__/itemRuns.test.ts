import type { FakeAgentOptions } from '../../attempts/__fixtures__/fakeAgent'
import { startTestGateway, type TestGateway } from '../../attempts/__fixtures__/testGateway'
import { chunkLines } from '../chunkLines'
import type { ItemResult } from '../itemLine'
import { createPartItems, type PartItems } from '../partItems'
import type { JobRow, PartRow } from '../rows'

const ITEMS = 24
/** Longer than every delay between two runs, so that no test waits for one. */
const LATER_MS = 600_000

const endpoint = (name: string): FakeAgentOptions => ({ name, kind: 'model' })

const itemLine = (index: number): string => JSON.stringify({
  custom_id: `i${index}`, method: 'POST', url: '/v1/chat/completions', body: { model: 'large', messages: [{ role: 'user', content: `prompt ${index}` }] }
})

describe('runs of items at endpoints that fail', () => {
  let gateway: TestGateway
  let items: PartItems
  let results: ItemResult[]
  let runEnded: () => void

  const start = async (agents: FakeAgentOptions[]): Promise<void> => {
    gateway = await startTestGateway({ agents, gateway: { routingPolicy: 'affinity' } })
    const { context, runner } = gateway
    const job = { id: 'batch_j', caller: 'c', expiresAtMs: context.clock.wallMs() + LATER_MS } as JobRow
    const row = { items: ITEMS, completed: 0, failed: 0, done: '', epoch: 1 } as PartRow
    const lines = chunkLines(Buffer.from(Array.from({ length: ITEMS }, (_value, index) => itemLine(index)).join('\n')))
    const onResult = (_index: number, result: ItemResult): void => { results.push(result) }
    results = []
    items = createPartItems({ context, runner, job, part: 0, row, lines, onResult, onRunEnded: () => { runEnded() } })
  }

  const runOne = async (): Promise<boolean> => {
    const ready = items.next(gateway.context.clock.nowMs() + LATER_MS)
    if (ready === undefined) return false
    const ended = new Promise<void>(resolve => { runEnded = resolve })
    items.start(ready)
    await ended
    return true
  }

  const runAll = async (): Promise<void> => {
    while (await runOne());
  }

  const kinds = (): Record<string, number> => {
    const counts: Record<string, number> = { output: 0, error: 0 }
    for (const { kind } of results) counts[kind]++
    return counts
  }

  afterEach(async () => { await gateway.stop() })

  // Guards against an item whose runs all go to the one endpoint that fails it, while other endpoints would complete it.
  it('sends the next run of a failed item to another endpoint', async () => {
    await start([{ ...endpoint('a1'), status: 500 }, endpoint('a2'), endpoint('a3')])
    await runAll()
    expect(gateway.agents[0].executions).not.toEqual([])
    expect(kinds()).toEqual({ output: ITEMS, error: 0 })
  })

  // Guards against an item that is never completed because the only endpoint that accepts it is excluded after a failure.
  it('returns to the endpoint that failed an item when no other endpoint accepts it', async () => {
    const failing: FakeAgentOptions = { ...endpoint('a1'), status: 500 }
    await start([failing, endpoint('a2')])
    gateway.agents[1].faults.refuse = 'overloaded'
    await runOne()
    failing.status = 200
    await runAll()
    expect(kinds()).toEqual({ output: ITEMS, error: 0 })
    expect(gateway.agents.map(agent => agent.executions.length)).toEqual([ITEMS + 1, 0])
  })
})
