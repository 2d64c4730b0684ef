import { continuedChat, continuingModel, WORDS } from '../__fixtures__/continuingModel'
import { startTestGateway, type TestGateway, type TestGatewayOptions } from '../__fixtures__/testGateway'

let gateway: TestGateway

// The server library of the fake agent logs each stream that its peer resets, which these tests cause on purpose.
beforeAll(() => { jest.spyOn(console, 'error').mockImplementation(() => {}) })

const start = async (options: TestGatewayOptions): Promise<void> => { gateway = await startTestGateway(options) }
afterEach(async () => { await gateway.stop() })

async function chat (content = 'hello'): Promise<{ status: number, text: string, events: string[] }> {
  const response = await fetch(`${gateway.url}/v1/chat/completions`, { method: 'POST', body: JSON.stringify({ model: 'writer', stream: true, messages: [{ role: 'user', content }] }) })
  const raw = await response.text()
  const events = raw.split('\n\n').filter(each => each !== '').map(each => each.slice('data: '.length))
  const chunks = events.filter(each => each.includes('choices')).map(each => JSON.parse(each) as { choices: Array<{ delta: { content?: string } }> })
  return { status: response.status, text: chunks.map(each => each.choices[0].delta.content ?? '').join(''), events }
}

const lookup = async (name = 'a.example'): Promise<Response> => await fetch(`${gateway.url}/services/names/names/${name}`)
const reserve = async (): Promise<Response> => await fetch(`${gateway.url}/services/names/names/a.example/reservations`, { method: 'POST', body: '{}' })
const errorOf = async (response: Response): Promise<{ code: string, ran: string, retry_after_ms?: number }> => ((await response.json()) as { error: never }).error
const executions = (): number[] => gateway.agents.map(agent => agent.executions.length)
const waitUntil = async (isMet: () => boolean): Promise<void> => {
  for (let tries = 0; !isMet(); tries++) {
    if (tries > 1_000) throw new Error(`condition not met: ${isMet.toString()}`)
    await new Promise(resolve => { setTimeout(resolve, 5) })
  }
}

describe('inactivity timeouts', () => {
  it('resumes a stream whose connection became unresponsive, over a new connection and from its offset', async () => {
    // Guards against a streamed response that stops in the middle for good.
    await start({ agents: [continuingModel('a1', { hold: true })] })
    const response = chat()
    await waitUntil(() => gateway.agents[0].executions.length === 1)
    gateway.agents[0].faults.stallOpenStreams = true
    gateway.agents[0].release()
    expect(await response).toMatchObject({ status: 200, text: WORDS.join('') })
    expect(gateway.agents[0]).toMatchObject({ resumes: 1, executions: [expect.any(String)] })
    expect(gateway.agents[0].sessions.size).toBe(2)
  })

  it('runs a call elsewhere when the agent proves that it never received the start', async () => {
    // Guards against a non-idempotent call that fails because its start was sent over an unresponsive connection.
    await start({ agents: [{ name: 'a1' }, { name: 'a2' }] })
    gateway.agents[0].faults.ignoreStarts = true
    const response = await reserve()
    expect(response.status).toBe(200)
    expect(executions()).toEqual([0, 1])
    expect(gateway.agents[0].barred.size).toBe(1)
  })

  it('detects an unanswered start soon enough for a short deadline', async () => {
    await start({ agents: [{ name: 'a1' }, { name: 'a2' }], gateway: { silenceMs: 5_000 } })
    gateway.agents[0].faults.ignoreStarts = true
    const response = await fetch(`${gateway.url}/services/names/names/a.example`, { headers: { 'x-deadline-ms': '800' } })
    expect(response.status).toBe(200)
    expect(executions()).toEqual([0, 1])
  })
})

describe('refusals', () => {
  it('retries elsewhere when an agent is draining, also a non-idempotent call', async () => {
    await start({ agents: [{ name: 'a1' }, { name: 'a2' }] })
    gateway.agents[0].faults.refuse = 'draining'
    expect((await reserve()).status).toBe(200)
    expect(executions()).toEqual([0, 1])
    expect(gateway.directory.notes).toEqual(['a1 draining'])
    expect((await lookup()).status).toBe(200)
    expect(gateway.agents[0].starts).toHaveLength(1)
  })

  it('are reported at once as not_run with a Retry-After when all agents refuse', async () => {
    await start({ agents: [{ name: 'a1' }, { name: 'a2' }] })
    gateway.agents.forEach(agent => { agent.faults.refuse = 'overloaded' })
    const response = await lookup()
    expect([response.status, response.headers.get('retry-after')]).toEqual([503, '1'])
    expect(await errorOf(response)).toMatchObject({ code: 'overloaded', ran: 'not_run', retry_after_ms: 700 })
    expect(gateway.agents.map(agent => agent.starts.length)).toEqual([1, 1])
  })
})

describe('a lost agent', () => {
  it('continues a stream at another endpoint, complete and with one role', async () => {
    // Guards against a streamed response that breaks off.
    await start({ agents: [continuingModel('a1'), continuingModel('a2')] })
    gateway.agents[0].faults.dieAfterChunks = 3
    const response = await chat()
    expect(response).toMatchObject({ status: 200, text: WORDS.join('') })
    expect(response.events.filter(each => each.includes('"role"'))).toHaveLength(1)
    expect(response.events.at(-1)).toBe('[DONE]')
    expect(executions()).toEqual([1, 1])
  })

  it('reports an unknown outcome to the caller of a non-idempotent call', async () => {
    // Guards against a reservation that is made twice.
    await start({ agents: [{ name: 'a1', answer: () => ['{"half":', '1}'] }, { name: 'a2' }] })
    gateway.agents[0].faults.dieAfterChunks = 1
    const response = await reserve()
    expect(response.status).toBe(502)
    expect((await errorOf(response)).ran).not.toBe('not_run')
    expect(executions()).toEqual([1, 0])
  })

  it('ends a stream that no other endpoint can continue with an error event and without its end marker', async () => {
    await start({ agents: [continuingModel('a1')] })
    gateway.agents[0].faults.dieAfterChunks = 3
    const { events } = await chat()
    expect(events).not.toContain('[DONE]')
    expect(JSON.parse(events.at(-1) as string)).toMatchObject({ error: { ran: 'ran' } })
  })

  it('uses another agent when the first refuses connections', async () => {
    await start({ agents: [{ name: 'a1' }, { name: 'a2' }] })
    await gateway.agents[0].close()
    expect((await reserve()).status).toBe(200)
    expect(executions()).toEqual([0, 1])
  })
})

describe('a request that crashes endpoints', () => {
  it('runs once more alone, is then quarantined and is not sent again', async () => {
    // Guards against a request that crashes one endpoint after another.
    await start({ agents: [continuingModel('a1'), continuingModel('a2'), continuingModel('a3')] })
    gateway.agents.forEach(agent => { agent.faults.crashOn = 'poison' })
    const first = await chat('poison')
    expect([first.status, executions().sort()]).toEqual([422, [0, 1, 1]])
    const again = await chat('poison')
    expect([again.status, executions().sort()]).toEqual([422, [0, 1, 1]])
    expect(gateway.quarantine.list()).toHaveLength(1)
  })

  it.each([['beside others when it had produced tokens', true, false], ['alone until its first token when it had produced none', false, true]])('runs a request that shared the endpoint %s, and does not quarantine it', async (_how, hasTokens, soloFirstToken) => {
    const first = hasTokens ? continuedChat : (request: StartAttemptRequest): string[] => ['', ...continuedChat(request)]
    await start({ agents: [continuingModel('a1', { hold: true, answer: first }), continuingModel('a2')] })
    const [spare] = gateway.directory.views.splice(1, 1)
    const neighbour = chat('harmless')
    await waitUntil(() => gateway.agents[0].executions.length === 1)
    gateway.agents[0].faults.crashOn = 'poison'
    const poison = gateway.runner.run({
      requestId: 'p',
      caller: 'c',
      workClass: 'online',
      service: 'writer',
      outputMode: 'whole',
      idempotent: true,
      deadlineMs: gateway.context.clock.nowMs() + 5_000,
      fingerprint: 'p',
      affinityKey: '',
      call: { method: 'POST', path: '/v1/completions', headers: {}, body: Buffer.from('"poison"') }
    })
    gateway.directory.add(spare)
    expect(await neighbour).toMatchObject({ status: 200, text: WORDS.join('') })
    expect(gateway.agents[1].starts.find(each => each.requestId !== 'p')).toMatchObject({ soloFirstToken, isolated: false })
    expect((await poison).outcome).toBe('completed')
    expect(gateway.quarantine.list()).toEqual([])
  })
})

describe('waiting for an endpoint', () => {
  it('waits for the only endpoint to restart when the request had begun', async () => {
    // Guards against responses in progress that are lost when the only endpoint crashes.
    await start({ agents: [continuingModel('a1', { hold: true })] })
    const [agent] = gateway.agents
    const response = chat()
    await waitUntil(() => agent.executions.length === 1)
    agent.faults.crashOn = 'poison'
    const poison = chat('poison')
    await waitUntil(() => gateway.directory.notes.length === 2)
    gateway.directory.notifyListeners()
    agent.faults.crashOn = undefined
    agent.release()
    agent.view.endpoints[0].health = 'ready'
    gateway.directory.notifyListeners()
    expect(await response).toMatchObject({ status: 200, text: WORDS.join('') })
    expect(await poison).toMatchObject({ status: 200, text: WORDS.join('') })
  })

  it('refuses a request at once when no agent had accepted it', async () => {
    await start({ agents: [] })
    const response = await lookup()
    expect([response.status, response.headers.get('retry-after')]).toEqual([503, '1'])
    expect(await errorOf(response)).toMatchObject({ code: 'unavailable', ran: 'not_run' })
  })
})

describe('cancellation', () => {
  it('responds at the deadline and cancels at the agent', async () => {
    await start({ agents: [continuingModel('a1', { hold: true })] })
    const response = await fetch(`${gateway.url}/v1/completions`, { method: 'POST', headers: { 'x-deadline-ms': '150' }, body: JSON.stringify({ model: 'writer', prompt: 'x' }) })
    expect([response.status, response.headers.get('retry-after')]).toEqual([504, '1'])
    await waitUntil(() => gateway.agents[0].cancelled.length === 1)
  })

  it('cancels at the agent when the caller disconnects', async () => {
    await start({ agents: [continuingModel('a1', { hold: true })] })
    const controller = new AbortController()
    const response = await fetch(`${gateway.url}/v1/chat/completions`, { method: 'POST', signal: controller.signal, body: JSON.stringify({ model: 'writer', stream: true, messages: [{ role: 'user', content: 'x' }] }) })
    expect(response.status).toBe(200)
    controller.abort()
    await waitUntil(() => gateway.agents[0].cancelled.length === 1)
    expect(gateway.runner.inProgress().online).toBe(0)
  })
})
