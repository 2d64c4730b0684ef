import OpenAI from 'openai'
import { chatEvents } from '../../attempts/__fixtures__/fakeAgent'
import { startTestGateway, type TestGateway } from '../../attempts/__fixtures__/testGateway'

const WORDS = ['The ', 'transfer ', 'hold ', 'ends ', 'on Friday.']
const COMPLETION = { id: 'c1', object: 'chat.completion', created: 1, model: 'large', choices: [{ index: 0, message: { role: 'assistant', content: WORDS.join('') }, finish_reason: 'stop' }] }

describe('the OpenAI client against a gateway', () => {
  let gateway: TestGateway
  let client: OpenAI

  // The server library of the fake agent logs sessions that are aborted by the stop of the gateway.
  beforeAll(() => { jest.spyOn(console, 'error').mockImplementation(() => {}) })
  beforeEach(async () => {
    const respond = (request: { outputMode: string }): string[] => request.outputMode === 'stream' ? chatEvents(WORDS) : [JSON.stringify(COMPLETION)]
    gateway = await startTestGateway({ agents: [{ name: 'a1', kind: 'model', answer: respond }, { name: 'a2', kind: 'model', answer: respond }] })
    client = new OpenAI({ baseURL: `${gateway.url}/v1`, apiKey: 'k', maxRetries: 0 })
  })
  afterEach(async () => { await gateway.stop() })

  const request = { model: 'writer', messages: [{ role: 'user' as const, content: 'When does the hold end?' }] }

  it('receives a complete response', async () => {
    const completion = await client.chat.completions.create(request)
    expect(completion.choices[0].message.content).toBe(WORDS.join(''))
  })

  it('receives a streamed response', async () => {
    let text = ''
    for await (const chunk of await client.chat.completions.create({ ...request, stream: true })) text += chunk.choices[0]?.delta.content ?? ''
    expect(text).toBe(WORDS.join(''))
  })

  it('receives an error for a truncated stream, instead of taking it for complete', async () => {
    gateway.agents.forEach(agent => { agent.faults.dieAfterChunks = 3 })
    const read = async (): Promise<void> => {
      for await (const chunk of await client.chat.completions.create({ ...request, stream: true })) expect(chunk.choices).toHaveLength(1)
    }
    await expect(read()).rejects.toMatchObject({ code: expect.any(String), error: { ran: 'ran' } })
  })

  it('lists the models and retrieves one', async () => {
    const list = await client.models.list()
    expect(list.data.map(model => model.id)).toEqual(['writer', 'large', 'notes'])
    expect((await client.models.retrieve('large')).id).toBe('large')
  })

  it('receives an error for an unknown model, with a similar name', async () => {
    await expect(client.chat.completions.create({ ...request, model: 'writr' })).rejects.toThrow(/did you mean "writer"/)
  })
})
