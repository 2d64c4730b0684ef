import { ROW_KEYS } from 'anvilarch-protocol'
import { type EngineStandin, type EngineStandinOptions, startEngineStandin } from 'anvilarch-standins'
import { type AgentHarness, type HarnessOptions, offerDocument, readFrames, startAgentHarness, startMessage, TEST_DOCUMENT, waitUntil } from '../__fixtures__/agentHarness'

const ENGINE = { baseStepMs: 5, perSequenceMs: 0, prefillPerTokenMs: 0, perThousandContextTokensMs: 0 }

function chat (tokens: number): Record<string, unknown> {
  return { model: 'small', messages: [{ role: 'user', content: 'control' }], max_tokens: tokens }
}

describe('control of an agent', () => {
  let engine: EngineStandin
  let harness: AgentHarness
  let tableIsDown: boolean
  let tableReads: number
  let rows: Map<string, string>

  const start = async (given: Partial<HarnessOptions> = {}, engineOptions: EngineStandinOptions = { preload: ['small:1'] }): Promise<void> => {
    tableIsDown = false
    tableReads = 0
    rows = new Map([[ROW_KEYS.placementLease, JSON.stringify({ epoch: 5 })]])
    engine = await startEngineStandin({ engine: ENGINE, ...engineOptions })
    harness = await startAgentHarness({
      endpoints: [{ name: 'engine', kind: 'model', url: engine.url }],
      table: { rows, isDown: isTableDown },
      // Longer than any test, however slowly its attempts run.
      agent: { drainTimeoutMs: 60_000 },
      ...given,
      options: { orderResponseTimeoutMs: 50, ...given.options }
    })
  }

  const isTableDown = (): boolean => {
    tableReads++
    return tableIsDown
  }

  const restartEngine = async (options: EngineStandinOptions = {}): Promise<void> => {
    await engine.close()
    engine = await startEngineStandin({ engine: ENGINE, port: engine.port, ...options })
  }

  const order = async (action: string, token: number, fields: { service?: string, model?: string, version?: string } = {}) =>
    await harness.client.order({ endpoint: 'engine', fencingToken: BigInt(token), orderId: `${action}-${token}`, action, service: 'assistant', model: 'small', version: '1', adapters: [], ...fields })

  const run = async (attemptId: string, fields: object = {}) => await readFrames(harness.client.startAttempt(startMessage({ attemptId, body: chat(5), ...fields })))

  const isReady = (): boolean => harness.agent.state().endpoints[0].models.some(loaded => loaded.state === 'ready')

  afterEach(async () => {
    await harness.stop()
    await engine.close()
    expect(harness.violations).toEqual([])
  })

  // Guards against an endpoint executing orders of a placement process that has lost its lease.
  it('refuses orders before it has read the lowest valid token, and orders below it', async () => {
    await start({}, { preload: [], checksFencing: false })
    tableIsDown = true
    expect(await order('load', 9)).toMatchObject({ outcome: 'refused', reason: 'no_floor' })
    tableIsDown = false
    expect(await order('load', 4)).toMatchObject({ outcome: 'refused', reason: 'stale_fencing_token', fencingToken: 9n })
    expect(await order('load', 9)).toMatchObject({ outcome: 'started' })
    expect(await order('unload', 8)).toMatchObject({ outcome: 'refused', reason: 'stale_fencing_token' })
    await waitUntil(isReady)
    expect(engine.ledger().orders).toMatchObject([{ action: 'load', fencingToken: 9, accepted: true }])
  })

  it('checks the token again right before it sends an order to the engine', async () => {
    await start()
    const running = run('long', { body: chat(200) })
    await waitUntil(() => harness.events('long').includes('attempts.first_token'))
    expect(await order('unload', 6)).toMatchObject({ outcome: 'started' })
    expect(await order('assign', 7)).toMatchObject({ outcome: 'started' })
    expect((await running).final?.outcome).toBe('completed')
    await waitUntil(() => harness.context.timeline.query().some(event => event.event === 'orders.refused'))
    expect(engine.ledger().orders).toEqual([])
    await waitUntil(() => harness.context.timeline.query().filter(event => event.event === 'orders.done').length === 1)
  })

  // Guards against ordering a load twice because its effect is not visible yet, and against waiting for a load that was lost.
  it('reports an order as settled once the endpoint has been probed after its end', async () => {
    const settledOrder = (): string => harness.agent.state().endpoints[0].settledOrder
    await start({}, { preload: ['small:1'] })
    const running = run('long', { body: chat(200) })
    await waitUntil(() => harness.events('long').includes('attempts.first_token'))
    expect(await order('unload', 6)).toMatchObject({ outcome: 'started' })
    // The unload waits for the run, however many probes succeed in the meantime.
    await waitUntil(() => {
      const isOver = harness.events('long').includes('attempts.ended')
      if (!isOver) expect(settledOrder()).toBe('')
      return isOver
    })
    await running
    await waitUntil(() => settledOrder() === 'unload-6')
    expect(harness.agent.state().endpoints[0].models).toEqual([])
    await order('load', 7)
    await restartEngine()
    await waitUntil(() => settledOrder() === 'load-7' && harness.agent.state().endpoints[0].models.length === 0)
  })

  it('forwards the token to the engine, and the refusal of an engine that has seen a newer one', async () => {
    // The outcome is the engine's response, for which a busy machine takes longer than the harness waits.
    await start({ options: { orderResponseTimeoutMs: 5000 } }, { preload: ['small:1'], checksFencing: true })
    await fetch(`${engine.url}/orders`, { method: 'POST', body: JSON.stringify({ action: 'load', model: 'other', version: '1', fencingToken: 50 }) })
    expect(await order('load', 10)).toMatchObject({ outcome: 'refused', reason: 'stale_fencing_token' })
    expect(await order('load', 51)).toMatchObject({ outcome: 'done' })
  })

  it('serves a service once its model is loaded, and stops when the endpoint is assigned to another service', async () => {
    await start({}, { preload: [] })
    expect((await run('early')).refused?.reason).toBe('model_not_loaded')
    await order('load', 6)
    await waitUntil(isReady)
    expect((await run('loaded')).final?.outcome).toBe('completed')
    await order('assign', 6, { service: 'other' })
    expect((await run('late')).refused?.reason).toBe('model_not_loaded')
  })

  // Guards against all replicas of a service refusing work for up to a second after a change of its adapters or version.
  it('keeps serving a service with the previously matching model while a change of the service loads', async () => {
    await start()
    expect((await run('before')).final?.outcome).toBe('completed')
    const { assistant } = TEST_DOCUMENT.services
    offerDocument(harness.context, 2, { ...TEST_DOCUMENT, services: { ...TEST_DOCUMENT.services, assistant: { ...assistant, version: '2' } as typeof assistant } })
    expect((await run('after')).final?.outcome).toBe('completed')
    expect((await harness.client.exchange({ gateway: 'g', gatewayIncarnation: 'i', configurationVersion: 2n, quarantined: [] })).endpoints[0].service).toBe('assistant')
  })

  // Guards against a crashed engine staying idle while the table is down, since placement can't give orders then.
  it('repeats the last load after a crash while no order can be given', async () => {
    await start({}, { preload: [], checksFencing: true })
    await order('load', 9)
    await order('assign', 10, { service: 'assistant' })
    await waitUntil(isReady)
    tableIsDown = true
    await restartEngine({ checksFencing: true })
    await waitUntil(() => engine.models().length > 0)
    await waitUntil(isReady)
    expect(await run('after')).toMatchObject({ status: 200, final: { outcome: 'completed' } })
    expect(engine.ledger().orders).toMatchObject([{ action: 'load', model: 'small', version: '1', fencingToken: 9, accepted: true }])
  })

  // Guards against an endpoint that serves nothing after a reload because the adapters of its service have changed since.
  it('continues with the service of its last load after a crash', async () => {
    await start({}, { preload: [] })
    await order('load', 9)
    await waitUntil(isReady)
    tableIsDown = true
    const { assistant } = TEST_DOCUMENT.services
    offerDocument(harness.context, 2, {
      ...TEST_DOCUMENT,
      models: { small: { ...TEST_DOCUMENT.models.small, adapters: ['notes'] } },
      services: { ...TEST_DOCUMENT.services, assistant: { ...assistant, adapters: ['notes'] } as typeof assistant }
    })
    await restartEngine()
    await waitUntil(() => engine.models().length > 0)
    await waitUntil(isReady)
    expect((await run('after', { configurationVersion: 2n })).final?.outcome).toBe('completed')
  })

  // Guards against exceeding the number of concurrent weight loads that placement allows.
  it('leaves the load after a crash to placement while the table is reachable', async () => {
    await start({}, { preload: [] })
    await order('load', 9)
    await waitUntil(isReady)
    const readsBefore = tableReads
    await restartEngine()
    await waitUntil(() => tableReads >= readsBefore + 3)
    expect(engine.ledger().orders).toEqual([])
    expect(await order('load', 9)).toMatchObject({ outcome: 'started' })
    await waitUntil(isReady)
  })

  it('stops repeating a load after a crash when the engine refuses it because of a newer order', async () => {
    await start({}, { preload: [] })
    await order('load', 9)
    await waitUntil(isReady)
    tableIsDown = true
    await engine.close()
    const { port } = engine
    engine = await startEngineStandin({ engine: ENGINE, port, checksFencing: true, preload: ['other:1'] })
    await fetch(`${engine.url}/orders`, { method: 'POST', body: JSON.stringify({ action: 'load', model: 'other', version: '1', fencingToken: 50 }) })
    await waitUntil(() => harness.context.timeline.query().some(event => event.event === 'orders.reload' && event.detail?.outcome === 'stale_fencing_token'))
    const readsBefore = tableReads
    await new Promise(resolve => { setTimeout(resolve, 1000) })
    expect(tableReads).toBe(readsBefore)
    expect(engine.models().map(loaded => loaded.model)).toEqual(['other'])
  })

  it('unloads a model only after the attempts on it have ended', async () => {
    await start()
    const running = run('long', { body: chat(200) })
    await waitUntil(() => harness.events('long').includes('attempts.first_token'))
    expect(await order('unload', 6)).toMatchObject({ outcome: 'started' })
    expect((await run('new')).refused?.reason).toBe('model_not_loaded')
    expect((await running).final?.outcome).toBe('completed')
    await waitUntil(() => engine.models().length === 0)
  })

  it('refuses requests that were quarantined through an exchange, and reports its state', async () => {
    await start()
    const state = await harness.client.exchange({ gateway: 'g', gatewayIncarnation: 'i', configurationVersion: 1n, quarantined: ['bad'] })
    expect(state).toMatchObject({ agent: 'agent-1', agentIncarnation: 'incarnation-1', state: 'serving', configurationVersion: 1n })
    expect(state.endpoints).toMatchObject([{ endpoint: 'engine', kind: 'model', service: 'assistant', health: 'ready', models: [{ model: 'small', version: '1', state: 'ready' }], load: { freeOnline: 4 } }])
    expect((await run('a', { fingerprint: 'bad' })).refused?.reason).toBe('quarantined')
  })

  it('accepts a pushed configuration, returns it to pulls, and ignores an older one', async () => {
    await start({ withoutDocument: true })
    expect((await run('early')).refused?.reason).toBe('stale_configuration')
    expect(offerDocument(harness.context, 3, TEST_DOCUMENT)).toBe('applied')
    const pulled = await harness.client.pullConfiguration({})
    expect(pulled.version).toBe(3n)
    expect(await harness.client.pushConfiguration({ ...pulled, version: 2n })).toMatchObject({ version: 3n })
    expect(await harness.client.pushConfiguration({ ...pulled, version: 4n })).toMatchObject({ version: 4n })
    expect((await run('older', { configurationVersion: 2n })).final?.outcome).toBe('completed')
    expect((await run('newer', { configurationVersion: 9n })).final?.outcome).toBe('completed')
    expect((await run('unknown', { configurationVersion: 9n, service: 'new-service' })).refused?.reason).toBe('stale_configuration')
  })

  // Guards against a planned shutdown interrupting a request.
  it('finishes running work in a drain, returns batch work, and refuses new work', async () => {
    await start({ options: { batchDrainGraceMs: 50 } })
    const stream = run('stream', { body: chat(200), outputMode: 'stream' })
    const batch = run('batch', { body: chat(4000), workClass: 'batch' })
    await waitUntil(() => ['stream', 'batch'].every(id => harness.events(id).includes('attempts.first_token')))
    expect(await harness.client.drain({ reason: 'test' })).toMatchObject({ running: 2 })
    const drained = harness.agent.drain('test').then(() => harness.events('stream').includes('attempts.ended'))
    expect((await run('late')).refused?.reason).toBe('draining')
    expect((await harness.client.exchange({})).state).toBe('draining')
    expect((await batch).final).toMatchObject({ outcome: 'preempted', ran: 'ran' })
    expect((await stream).final?.outcome).toBe('completed')
    expect(await drained).toBe(true)
    expect(harness.agent.state()).toMatchObject({ state: 'draining', attempts: 0, isReady: false })
    expect(engine.load().running).toBe(0)
  })
})
