import OpenAI from 'openai'
import { continuedChat, continuingModel, WORDS } from '../__fixtures__/continuingModel'
import type { FakeAgentOptions } from '../__fixtures__/fakeAgent'
import { startTestGateway, type TestGateway } from '../__fixtures__/testGateway'

let gateway: TestGateway

// The server library of the fake agent logs each stream that its peer resets, which these tests cause on purpose.
beforeAll(() => { jest.spyOn(console, 'error').mockImplementation(() => {}) })
afterEach(async () => { await gateway.stop() })

/** Prevents a slow response on a busy host from timing out, which would send the request to the next agent. */
const LONG_INACTIVITY_TIMEOUT = { silenceMs: 5_000 }

/** Reads a stream whose first endpoint is lost after this many events. */
async function readAfterLoss (agents: FakeAgentOptions[], lostAfter: number): Promise<string> {
  gateway = await startTestGateway({ agents, gateway: LONG_INACTIVITY_TIMEOUT })
  gateway.agents[0].faults.dieAfterChunks = lostAfter
  const body = JSON.stringify({ model: 'writer', stream: true, messages: [{ role: 'user', content: 'hello' }] })
  return await (await fetch(`${gateway.url}/v1/chat/completions`, { method: 'POST', body })).text()
}

const textOf = (raw: string): string => [...raw.matchAll(/"content":"([^"]*)"/g)].map(found => found[1]).join('')
const count = (raw: string, part: string): number => raw.split(part).length - 1

describe('a stream that another endpoint continues', () => {
  // Guards against a stream that ends as complete, because the response of the continuing endpoint was not the rest of it.
  it.each<[string, Partial<FakeAgentOptions>]>([
    ['a complete JSON response', { contentType: 'application/json', answer: () => ['{"choices":[{"index":0,"message":{"content":"x"},"finish_reason":"stop"}]}'] }],
    ['another success status', { status: 202, answer: () => ['data: {}\n\n'] }],
    ['an empty response', { status: 204, contentType: '', answer: () => [] }],
    ['a client error', { status: 404, contentType: 'application/json', answer: () => ['{"error":{}}'] }],
    ['a server error', { status: 500, contentType: 'application/json', answer: () => ['{"error":{}}'] }]
  ])('continues at a third one when the second returns %s', async (_what, secondOptions) => {
    const raw = await readAfterLoss([continuingModel('a1'), continuingModel('a2', secondOptions), continuingModel('a3')], 3)
    expect([textOf(raw), count(raw, '[DONE]')]).toEqual([WORDS.join(''), 1])
    expect(gateway.agents[1].executions).toHaveLength(1)
  })

  it.each<[string, Partial<FakeAgentOptions>]>([
    ['a complete JSON response', { contentType: 'application/json', answer: () => ['{"choices":[]}'] }],
    ['a server error', { status: 500, contentType: 'application/json', answer: () => ['{"error":{}}'] }]
  ])('ends with an error for the OpenAI client when the only other one returns %s', async (_what, secondOptions) => {
    gateway = await startTestGateway({ agents: [continuingModel('a1'), continuingModel('a2', secondOptions)] })
    gateway.agents[0].faults.dieAfterChunks = 3
    const client = new OpenAI({ baseURL: `${gateway.url}/v1`, apiKey: 'k', maxRetries: 0 })
    const read = async (): Promise<void> => {
      for await (const chunk of await client.chat.completions.create({ model: 'writer', stream: true, messages: [{ role: 'user', content: 'x' }] })) expect(chunk.choices).toHaveLength(1)
    }
    await expect(read()).rejects.toMatchObject({ error: { ran: 'ran' } })
  })

  // Guards against a stream without its end marker that ends as complete.
  it.each<[string, (events: string[]) => string[]]>([
    ['its end marker', events => events.slice(0, -1)],
    ['its last words', () => []],
    ['a finish reason', events => [...events.slice(0, -2), 'data: [DONE]\n\n']]
  ])('continues at a third one when the second ends without %s', async (_what, cut) => {
    const raw = await readAfterLoss([continuingModel('a1'), continuingModel('a2', { answer: request => cut(continuedChat(request)) }), continuingModel('a3')], 3)
    expect([textOf(raw), count(raw, '[DONE]'), count(raw, '"stop"')]).toEqual([WORDS.join(''), 1, 1])
  })

  it('forwards a first response unchanged when its status is an error', async () => {
    gateway = await startTestGateway({ agents: [continuingModel('a1', { status: 500, answer: () => ['data: {"error":{}}\n\n'] })] })
    const response = await fetch(`${gateway.url}/v1/chat/completions`, { method: 'POST', body: JSON.stringify({ model: 'writer', stream: true, messages: [{ role: 'user', content: 'x' }] }) })
    expect([response.status, await response.text()]).toEqual([500, 'data: {"error":{}}\n\n'])
  })
})
