import { continuingModel } from '../__fixtures__/continuingModel'
import { startTestGateway, type TestGateway } from '../__fixtures__/testGateway'

const CALLS = 30

let gateway: TestGateway

afterEach(async () => { await gateway.stop() })

async function statusOfChat (): Promise<number> {
  const body = JSON.stringify({ model: 'writer', stream: true, messages: [{ role: 'user', content: 'hello' }] })
  const response = await fetch(`${gateway.url}/v1/chat/completions`, { method: 'POST', body })
  await response.text()
  return response.status
}

async function countFailures (): Promise<number> {
  let failures = 0
  for (let sent = 0; sent < CALLS; sent++) if (await statusOfChat() === 500) failures++
  return failures
}

describe('an endpoint that returns server errors', () => {
  const failing = { status: 500, answer: () => ['data: {"error":{}}\n\n'] }

  // Guards against routing requests to an engine that fails while others are healthy.
  it('receives less than its share while others succeed', async () => {
    gateway = await startTestGateway({ agents: [continuingModel('a1', failing), continuingModel('a2'), continuingModel('a3')] })
    expect(await countFailures()).toBeLessThan(CALLS / 3)
  })

  it('still receives requests when it is the only one', async () => {
    gateway = await startTestGateway({ agents: [continuingModel('a1', failing)] })
    expect(await countFailures()).toBe(CALLS)
  })

  it('receives the same share as the others when all of them fail', async () => {
    gateway = await startTestGateway({ agents: ['a1', 'a2', 'a3'].map(name => continuingModel(name, failing)) })
    expect(await countFailures()).toBe(CALLS)
    expect(gateway.agents.map(agent => agent.executions.length)).toEqual([CALLS / 3, CALLS / 3, CALLS / 3])
  })
})
