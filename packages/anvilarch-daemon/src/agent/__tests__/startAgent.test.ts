import { type EngineStandin, expectedPlainAnswer, expectedText, type PlainStandin, startEngineStandin, startPlainStandin } from 'anvilarch-standins'
import { type AgentHarness, readFrames, startAgentHarness, startMessage, textOfEvents, waitUntil } from '../__fixtures__/agentHarness'

const FAST_ENGINE = { baseStepMs: 2, perSequenceMs: 0, prefillPerTokenMs: 0, perThousandContextTokensMs: 0 }
const CHAT = { model: 'small', messages: [{ role: 'user', content: 'Explain a transfer hold.' }], max_tokens: 20 }

describe('startAgent', () => {
  let engine: EngineStandin
  let plain: PlainStandin
  let harness: AgentHarness

  beforeEach(async () => {
    engine = await startEngineStandin({ engine: FAST_ENGINE, preload: ['small:1'] })
    plain = await startPlainStandin()
    harness = await startAgentHarness({
      endpoints: [{ name: 'engine', kind: 'model', url: engine.url, slots: 8 }, { name: 'plain', kind: 'plain', url: plain.url, service: 'lookup' }]
    })
  })

  afterEach(async () => {
    await harness.stop()
    await Promise.all([engine.close(), plain.close()])
    expect(harness.violations).toEqual([])
  })

  it('assembles a whole chat completion with its usage', async () => {
    const read = await readFrames(harness.client.startAttempt(startMessage({ attemptId: 'whole', body: CHAT })))
    expect(read.status).toBe(200)
    const body = JSON.parse(read.output.toString())
    expect(body.object).toBe('chat.completion')
    expect(body.choices[0].message).toEqual({ role: 'assistant', content: expectedText('/v1/chat/completions', CHAT), refusal: null })
    expect(body.choices[0].finish_reason).toBe('length')
    expect(body.usage.completion_tokens).toBe(20)
    expect(read.final).toMatchObject({ outcome: 'completed', ran: 'ran', outputTokens: 20, wasAlone: true })
    expect(harness.events('whole')).toEqual(['attempts.accepted', 'attempts.first_token', 'attempts.ended'])
  })

  it('passes the events of a stream through, without a usage event that the caller did not request', async () => {
    const read = await readFrames(harness.client.startAttempt(startMessage({ attemptId: 'stream', body: { ...CHAT, stream: true }, outputMode: 'stream' })))
    expect(textOfEvents(read.output)).toEqual({ text: expectedText('/v1/chat/completions', CHAT), tokens: 20, isWhole: true })
    expect(read.output.toString()).not.toContain('"usage"')
    expect(read.final?.outcome).toBe('completed')
  })

  it('passes a call to a plain service through', async () => {
    const read = await readFrames(harness.client.startAttempt(startMessage({ attemptId: 'raw', endpoint: 'plain', service: 'lookup', workClass: 'lookup', method: 'GET', path: '/names/a.ar', outputMode: 'raw' })))
    expect(JSON.parse(read.output.toString())).toMatchObject({ path: '/names/a.ar', requestId: 'request-raw', answer: expectedPlainAnswer('GET', '/names/a.ar', '') })
    expect(read.final).toMatchObject({ outcome: 'completed', ran: 'ran' })
  })

  it('fills an idle engine with batch items', async () => {
    const body = { ...CHAT, max_tokens: 500 }
    const reading = Promise.all(Array.from({ length: 8 }, async (_, id) => await readFrames(harness.client.startAttempt(startMessage({ attemptId: `b${id}`, body, workClass: 'batch' })))))
    await waitUntil(() => engine.load().running === 8)
    const outcomes = (await reading).map(read => read.final?.outcome)
    expect(new Set(outcomes)).toEqual(new Set(['completed']))
  })

  it('passes an error response of an engine through as a complete response', async () => {
    const read = await readFrames(harness.client.startAttempt(startMessage({ attemptId: 'bad', body: { model: 'small' } })))
    expect(read.status).toBe(400)
    expect(read.final).toMatchObject({ outcome: 'completed', ran: 'ran' })
  })
})
