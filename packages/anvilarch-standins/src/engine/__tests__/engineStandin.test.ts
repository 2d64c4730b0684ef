import { call, callForJson } from '../../__fixtures__/callStandin'
import { startLedgerStandin } from '../../ledger/ledgerStandin'
import { startWeightStandin } from '../../weights/weightStandin'
import { expectedText } from '../completionPlan'
import { type EngineStandin, type EngineStandinOptions, startEngineStandin } from '../engineStandin'

const CHAT = '/v1/chat/completions'
const MESSAGES = [{ role: 'user', content: 'why is my domain on hold' }]
const FAST = { baseStepMs: 1, perSequenceMs: 0, prefillPerTokenMs: 0, loadLagMs: 0, cacheEventLagMs: 0 }

describe('startEngineStandin', () => {
  let engine: EngineStandin

  const start = async (options: EngineStandinOptions = {}): Promise<void> => {
    engine = await startEngineStandin({ name: 'engine-1', preload: ['m:1'], ...options, engine: { ...FAST, ...options.engine } })
  }
  afterEach(async () => { await engine.close() })

  const requestCompletion = async (path: string, body: object, attemptId = 'a1'): Promise<Awaited<ReturnType<typeof call>>> =>
    await call(engine.url + path, { body: { model: 'm', ...body }, headers: { 'x-request-id': 'r1', 'x-attempt-id': attemptId } })

  const callStream = async (attemptId: string, action: 'resume' | 'cancel', body: object = {}): Promise<Awaited<ReturnType<typeof call>>> =>
    await call(`${engine.url}/v1/streams/${attemptId}/${action}`, { body })

  const chunksOf = (text: string): any[] => text.split('\n\n').filter(event => event.startsWith('data: {')).map(event => JSON.parse(event.slice('data: '.length)))
  const textOf = (text: string): string => chunksOf(text).map(chunk => chunk.choices[0]?.delta?.content ?? chunk.choices[0]?.text ?? '').join('')

  test('responds with a complete text that depends on the request alone', async () => {
    await start()
    const response = JSON.parse((await requestCompletion(CHAT, { messages: MESSAGES })).text)
    expect(response.choices[0]).toMatchObject({ message: { role: 'assistant', content: expectedText(CHAT, { messages: MESSAGES }) }, finish_reason: 'stop' })
    const completion = JSON.parse((await requestCompletion('/v1/completions', { prompt: 'a prompt', max_tokens: 4 }, 'a2')).text)
    expect(completion.choices[0]).toMatchObject({ text: expectedText('/v1/completions', { prompt: 'a prompt', max_tokens: 4 }), finish_reason: 'length' })
    expect(completion.usage).toMatchObject({ prompt_tokens: 2, completion_tokens: 4, total_tokens: 6 })
  })

  test('streams one token per event, then the finish reason, the usage and the final event', async () => {
    await start()
    const { text, headers } = await requestCompletion(CHAT, { messages: MESSAGES, max_tokens: 3, stream: true, stream_options: { include_usage: true } })
    expect(headers['content-type']).toBe('text/event-stream')
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true)
    const chunks = chunksOf(text)
    expect(chunks).toHaveLength(5)
    expect(chunks[3].choices[0]).toMatchObject({ delta: {}, finish_reason: 'length' })
    expect(chunks[4]).toMatchObject({ choices: [], usage: { completion_tokens: 3 } })
    expect(textOf(text)).toBe(expectedText(CHAT, { messages: MESSAGES, max_tokens: 3 }))
  })

  test('sends an existing stream again from an offset', async () => {
    await start()
    const body = { messages: MESSAGES, max_tokens: 6, stream: true }
    const whole = await requestCompletion(CHAT, body)
    const rest = await callStream('a1', 'resume', { offsetTokens: 4 })
    expect(chunksOf(rest.text)).toEqual(chunksOf(whole.text).slice(4))
    expect(engine.ledger().executions).toHaveLength(1)
  })

  test('fails a share of the work requests before they run, while health checks succeed', async () => {
    await start({ faults: { failShare: 0.5 } })
    const body = { messages: MESSAGES, max_tokens: 1 }
    const responses = await Promise.all(Array.from({ length: 40 }, async (_, index) => await requestCompletion(CHAT, body, `a${index}`)))
    const failed = responses.filter(({ status }) => status === 500)
    expect(new Set(responses.map(({ status }) => status))).toEqual(new Set([200, 500]))
    expect(engine.ledger().executions).toHaveLength(responses.length - failed.length)
    engine.faults.set({ failShare: 1 })
    expect((await requestCompletion(CHAT, body, 'b1')).status).toBe(500)
    const ran = engine.ledger().executions[0].attemptId
    expect((await callStream(ran, 'resume', { offsetTokens: 0 })).status).toBe(500)
    expect(await callForJson(`${engine.url}/health`)).toMatchObject({ status: 'ok' })
  })

  test('frees the slot of a cancelled stream and continues the stream when it is resumed', async () => {
    await start({ engine: { slots: 1 } })
    const body = { messages: MESSAGES, max_tokens: 100, stream: true }
    const first = requestCompletion(CHAT, body)
    const waiting = requestCompletion(CHAT, { messages: MESSAGES, max_tokens: 1 }, 'a2')
    while (engine.load().waiting === 0) await callForJson(`${engine.url}/load`)
    const cancelled = JSON.parse((await callStream('a1', 'cancel')).text)
    expect(cancelled.state).toBe('cancelled')
    expect((await waiting).status).toBe(200)
    const firstPart = (await first).text
    expect(firstPart).not.toContain('[DONE]')
    const rest = (await callStream('a1', 'resume', { offsetTokens: cancelled.tokens })).text
    expect(textOf(firstPart) + textOf(rest)).toBe(expectedText(CHAT, body))
    expect(engine.ledger().executions.map(({ attemptId, state }) => [attemptId, state])).toEqual([['a1', 'completed'], ['a2', 'completed']])
  })

  test('continues a stream that another engine started, if its text is the start of the completion', async () => {
    await start()
    const body = { messages: MESSAGES, max_tokens: 5, stream: true }
    const full = expectedText(CHAT, body)
    const firstPart = expectedText(CHAT, { ...body, max_tokens: 2 })
    const rest = await requestCompletion(CHAT, { ...body, continuation: { tokens: 2, text: firstPart } })
    expect(firstPart + textOf(rest.text)).toBe(full)
    expect((await requestCompletion(CHAT, { ...body, continuation: { tokens: 5, text: full } }, 'a2')).text).toContain('[DONE]')
    expect((await requestCompletion(CHAT, { ...body, continuation: { tokens: 2, text: 'other' } }, 'a3')).status).toBe(400)
  })

  test('rejects a repeated attempt id and requests for unknown streams', async () => {
    await start()
    await requestCompletion(CHAT, { messages: MESSAGES, max_tokens: 1 })
    expect((await requestCompletion(CHAT, { messages: MESSAGES, max_tokens: 1 })).status).toBe(409)
    expect((await callStream('unknown', 'resume')).status).toBe(404)
    expect((await callStream('unknown', 'cancel')).status).toBe(404)
  })

  test.each([
    [{}, '"messages" must be a list'],
    [{ messages: MESSAGES, max_tokens: 0 }, '"max_tokens" is 0'],
    [{ messages: MESSAGES, continuation: { tokens: -1, text: '' } }, '"continuation.tokens" is -1']
  ])('rejects the invalid request %j', async (body, message) => {
    await start()
    const response = await requestCompletion(CHAT, body)
    expect(response.status).toBe(400)
    expect(JSON.parse(response.text).error.message).toContain(message)
  })

  test('loads a model on an order, in the time that the weight store takes for the transfer', async () => {
    const weights = await startWeightStandin({ transferMs: 5 })
    await start({ preload: [], weightsUrl: weights.url })
    expect((await requestCompletion(CHAT, { messages: MESSAGES })).status).toBe(404)
    const order = { action: 'load', model: 'm', version: '2', adapters: ['x'], fencingToken: 7 }
    expect((await call(`${engine.url}/orders`, { body: order })).status).toBe(202)
    while (engine.models()[0]?.state !== 'ready') await call(`${engine.url}/models`)
    expect(await callForJson(`${engine.url}/models`)).toMatchObject({ models: [{ model: 'm', version: '2', adapters: ['x'], state: 'ready' }], fencingToken: 7 })
    expect((await call(`${engine.url}/orders`, { body: order })).status).toBe(200)
    expect((await requestCompletion(CHAT, { messages: MESSAGES }, 'a2')).status).toBe(200)
    await call(`${engine.url}/orders`, { body: { ...order, action: 'unload' } })
    expect(engine.models()).toEqual([])
    await weights.close()
  })

  test.each([[true, 409], [false, 200]])('with checksFencing %s, responds with %s to an order with an old token', async (checksFencing, status) => {
    await start({ checksFencing })
    const order = { action: 'load', model: 'm', version: '1' }
    await call(`${engine.url}/orders`, { body: { ...order, fencingToken: 5 } })
    expect((await call(`${engine.url}/orders`, { body: { ...order, fencingToken: 4 } })).status).toBe(status)
    expect(engine.ledger().orders.map(({ fencingToken, accepted }) => [fencingToken, accepted])).toEqual([[5, true], [4, !checksFencing]])
  })

  test('crashes when a request with the text of crashOn runs, after the collector has recorded its execution', async () => {
    // Guards against a request that ran twice being counted once, because the record of the crashed execution was lost.
    const ledger = await startLedgerStandin()
    await start({ ledgerUrl: ledger.url, faults: { crashOn: 'poison' } })
    await expect(requestCompletion(CHAT, { messages: [{ role: 'user', content: 'poison' }] })).rejects.toThrow()
    expect(engine.crashed()).toBe(true)
    expect(ledger.ledger().executions).toMatchObject([{ requestId: 'r1', attemptId: 'a1', state: 'running', endpoint: 'engine-1' }])
    await ledger.close()
  })

  test('publishes cache events in order of their sequence numbers, with gaps', async () => {
    await start({ engine: { cacheEventGapShare: 0.5 }, seed: 3 })
    await requestCompletion('/v1/completions', { prompt: 'p'.repeat(64 * 20), max_tokens: 1 })
    const { events, latest } = await callForJson(`${engine.url}/cache-events?after=0`)
    expect(events.length).toBeGreaterThan(0)
    expect(events.length).toBeLessThan(20)
    expect(await callForJson(`${engine.url}/cache-events?after=${latest as number}`)).toEqual({ events: [], latest })
  })
})
