import { type EngineOptions, type EngineStandin, expectedText, startEngineStandin } from 'anvilarch-standins'
import { type AgentHarness, type HarnessOptions, readFrames, startAgentHarness, startMessage, textOfEvents, waitUntil } from '../__fixtures__/agentHarness'

const ENGINE = { baseStepMs: 5, perSequenceMs: 0, prefillPerTokenMs: 0, perThousandContextTokensMs: 0 }
const PATH = '/v1/chat/completions'

function chat (content: string, tokens: number): Record<string, unknown> {
  return { model: 'small', messages: [{ role: 'user', content }], max_tokens: tokens }
}

describe('an agent with a failing engine', () => {
  let engine: EngineStandin
  let harness: AgentHarness

  const start = async (given: { engine?: Partial<EngineOptions>, slots?: number, agent?: HarnessOptions['agent'], options?: HarnessOptions['options'], crashOn?: string } = {}): Promise<void> => {
    engine = await startEngineStandin({ engine: { ...ENGINE, ...given.engine }, preload: ['small:1'], faults: { crashOn: given.crashOn ?? '' } })
    harness = await startAgentHarness({
      endpoints: [{ name: 'engine', kind: 'model', url: engine.url, slots: given.slots ?? 4 }], agent: given.agent, options: given.options
    })
  }

  const executions = (attemptId: string): Array<{ state: string }> => engine.ledger().executions.filter(execution => execution.attemptId === attemptId)

  const produced = (attemptId: string): boolean => harness.events(attemptId).includes('attempts.first_token')

  afterEach(async () => {
    await harness.stop()
    await engine.close()
    expect(harness.violations).toEqual([])
  })

  // Guards against a caller waiting forever for the rest of a stream.
  it('continues over a new connection when the open ones stop responding, with each token once and one execution', async () => {
    await start()
    const body = chat('silence', 200)
    const reading = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'a', body, outputMode: 'stream' })))
    await waitUntil(() => produced('a'))
    engine.faults.set({ silence: true })
    const read = await reading
    expect(textOfEvents(read.output)).toEqual({ text: expectedText(PATH, body), tokens: 200, isWhole: true })
    expect(read.final).toMatchObject({ outcome: 'completed', outputTokens: 200 })
    expect(executions('a')).toHaveLength(1)
    expect(harness.events('a')).toContain('attempts.resumed')
  })

  it('sends heartbeats while the engine sends no data', async () => {
    await start({ engine: { baseStepMs: 400 }, agent: { endpointSilenceMs: 2000 } })
    const read = await readFrames(harness.client.startAttempt(startMessage({ attemptId: 'a', body: chat('slow', 2) })))
    const heartbeats = read.frames.filter(frame => frame.kind.case === 'heartbeat')
    expect(heartbeats.length).toBeGreaterThanOrEqual(3)
    expect(heartbeats[0].load).toMatchObject({ endpoint: 'engine', runningOnline: 1 })
  })

  // Guards against a request that is retried repeatedly and crashes an endpoint each time.
  it('ends all attempts in progress as crashed when the engine crashes, and refuses new ones until it has restarted', async () => {
    await start({ crashOn: 'deadly' })
    const beside = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'beside', body: chat('harmless', 400), outputMode: 'stream' })))
    await waitUntil(() => produced('beside'))
    const deadly = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'deadly', body: chat('deadly', 10) })))
    const ends = (await Promise.all([beside, deadly])).map(read => read.final)
    expect(ends).toMatchObject([{ outcome: 'endpoint_crashed', ran: 'ran', wasAlone: false }, { outcome: 'endpoint_crashed', wasAlone: false }])
    const refused = await readFrames(harness.client.startAttempt(startMessage({ attemptId: 'late', body: chat('late', 1) })))
    expect(refused.refused?.reason).toBe('endpoint_down')
    expect(harness.agent.state().endpoints[0].health).toBe('crashed')

    const { port } = engine
    engine = await startEngineStandin({ engine: ENGINE, preload: ['small:1'], port })
    await waitUntil(() => harness.agent.state().endpoints[0].health === 'ready')
    const after = await readFrames(harness.client.startAttempt(startMessage({ attemptId: 'after', fingerprint: 'fingerprint of beside', body: chat('after', 3) })))
    expect(after.final?.outcome).toBe('completed')
  })

  it('reports a request that crashed the engine in an isolated run as alone', async () => {
    await start({ crashOn: 'deadly' })
    const first = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'first', body: chat('first', 200) })))
    await waitUntil(() => produced('first'))
    const deadly = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'deadly', body: chat('deadly', 10), isolated: true })))
    expect((await first).final?.outcome).toBe('completed')
    expect((await deadly).final).toMatchObject({ outcome: 'endpoint_crashed', wasAlone: true })
  })

  it('reports a request that crashed the engine in a solo prefill as alone, and the cause as known to the others', async () => {
    await start({ crashOn: 'deadly' })
    const beside = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'beside', body: chat('harmless', 400), outputMode: 'stream' })))
    await waitUntil(() => produced('beside'))
    const deadly = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'deadly', body: chat('deadly', 10), soloFirstToken: true })))
    expect((await deadly).final).toMatchObject({ outcome: 'endpoint_crashed', wasAlone: true, causeKnown: false, outputTokens: 0 })
    expect((await beside).final).toMatchObject({ outcome: 'endpoint_crashed', wasAlone: false, causeKnown: true })
  })

  it('reports a completed run with a solo prefill as alone, which clears a suspect', async () => {
    await start({})
    const beside = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'beside', body: chat('harmless', 100), outputMode: 'stream' })))
    await waitUntil(() => produced('beside'))
    const suspect = await readFrames(harness.client.startAttempt(startMessage({ attemptId: 'suspect', body: chat('suspect', 5), soloFirstToken: true })))
    expect(suspect.final).toMatchObject({ outcome: 'completed', wasAlone: true })
    expect((await beside).final).toMatchObject({ outcome: 'completed' })
  })

  // Guards against a request that crashes one endpoint after another, once for each gateway that its caller tries.
  it('refuses to start a suspect beside other requests until it has completed alone', async () => {
    await start({ crashOn: 'deadly' })
    const message = (attemptId: string, fields: object = {}) => startMessage({ attemptId, fingerprint: 'f', body: chat('harmless in the end', 5), ...fields })
    await readFrames(harness.client.startAttempt(message('deadly', { body: chat('deadly', 10) })))
    const { port } = engine
    engine = await startEngineStandin({ engine: ENGINE, preload: ['small:1'], port })
    await waitUntil(() => harness.agent.state().endpoints[0].health === 'ready')
    expect((await readFrames(harness.client.startAttempt(message('beside')))).refused?.reason).toBe('suspect')
    expect((await harness.client.exchange({})).suspects).toEqual(['f'])
    expect((await readFrames(harness.client.startAttempt(message('alone', { isolated: true })))).final).toMatchObject({ outcome: 'completed', wasAlone: true })
    expect((await harness.client.exchange({})).suspects).toEqual([])
    expect((await readFrames(harness.client.startAttempt(message('again')))).final?.outcome).toBe('completed')
  })

  it('treats a frozen engine as down, not as crashed, and ends its attempts', async () => {
    await start({ agent: { endpointSilenceMs: 100 } })
    const reading = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'a', body: chat('frozen', 400) })))
    await waitUntil(() => produced('a'))
    engine.faults.set({ frozen: true })
    expect((await reading).final).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran' })
    await waitUntil(() => harness.agent.state().endpoints[0].health === 'crashed')
    expect(harness.context.timeline.query().map(event => event.event)).not.toContain('endpoint.crashed')
    engine.faults.set({ frozen: false })
  })

  // Guards against an online request waiting for a batch item, and against a preempted item losing or repeating tokens.
  it('preempts a batch item for online work and resumes it at its offset', async () => {
    await start({ slots: 1 })
    const body = chat('batch', 200)
    const batch = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'batch', body, workClass: 'batch' })))
    await waitUntil(() => produced('batch'))
    const online = await readFrames(harness.client.startAttempt(startMessage({ attemptId: 'online', body: chat('online', 5) })))
    expect(online.final?.outcome).toBe('completed')
    expect(JSON.parse((await batch).output.toString()).choices[0].message.content).toBe(expectedText(PATH, body))
    expect(harness.events('batch')).toEqual(expect.arrayContaining(['attempts.preempted', 'attempts.resumed']))
    expect(executions('batch')).toMatchObject([{ state: 'completed' }])
  })

  it('continues the text of a preempted item whose stream the engine has discarded', async () => {
    await start({ slots: 1, engine: { retentionMs: 0 } })
    const body = chat('forgotten', 200)
    const batch = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'batch', body, workClass: 'batch', outputMode: 'stream' })))
    await waitUntil(() => produced('batch'))
    await readFrames(harness.client.startAttempt(startMessage({ attemptId: 'online', body: chat('online', 5) })))
    expect(textOfEvents((await batch).output)).toEqual({ text: expectedText(PATH, body), tokens: 200, isWhole: true })
    expect(executions('batch')).toHaveLength(2)
  })

  // Guards against an engine that still runs ended attempts, and is slower than the agent's count of running attempts explains.
  it.each([
    ['cancelled', 60_000, true],
    ['deadline', 1000, false]
  ])('frees the slot at the engine when an attempt ends as %s', async (outcome, remainingMs, cancels) => {
    await start()
    const reading = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'a', body: chat('long', 2000), remainingMs })))
    await waitUntil(() => produced('a'))
    if (cancels) expect(await harness.client.cancelAttempt({ attemptId: 'a' })).toMatchObject({ outcome: 'cancelled' })
    expect((await reading).final).toMatchObject({ outcome, ran: 'ran' })
    await waitUntil(() => engine.load().running === 0)
    expect(executions('a')).toMatchObject([{ state: 'cancelled' }])
    expect(await harness.client.cancelAttempt({ attemptId: 'a' })).toMatchObject({ outcome: 'finished' })
  })

  it('fails a response that exceeds the maximum output size', async () => {
    await start({ agent: { maxOutputBytes: 2000 } })
    const read = await readFrames(harness.client.startAttempt(startMessage({ attemptId: 'a', body: chat('large', 300), outputMode: 'stream' })))
    expect(read.final).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran' })
    expect(read.final?.detail).toContain('maxOutputBytes')
    await waitUntil(() => engine.load().running === 0)
  })
})
