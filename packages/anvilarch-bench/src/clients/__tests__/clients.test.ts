import { createFakeClock } from 'anvilarch-utils'
import { errorResult } from '../requestResult'
import { createChatReader } from '../chatClient'
import { checkResults } from '../jobClient'

const token = (content: string): string => `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`
const DONE = 'data: [DONE]\n\n'
const ENDING = `data: ${JSON.stringify({ choices: [{ delta: {}, finish_reason: 'stop' }] })}\n\ndata: ${JSON.stringify({ choices: [], usage: {} })}\n\n${DONE}`

describe('createChatReader', () => {
  test('records the time of the first token and the gaps between tokens', () => {
    const clock = createFakeClock(100)
    const reader = createChatReader(clock)
    reader.feed(token('a'))
    clock.advance(20)
    reader.feed(token('b').slice(0, 10))
    clock.advance(5)
    reader.feed(token('b').slice(10) + ENDING)
    expect(reader.finish('ab')).toMatchObject({ outcome: 'completed', firstTokenAtMs: 100, gapsMs: [25], tokens: 2, endedAtMs: 125 })
  })

  test('distinguishes an incomplete response from a wrong one', () => {
    const read = (events: string): string => {
      const reader = createChatReader(createFakeClock())
      reader.feed(events)
      return reader.finish('abc').outcome
    }
    expect(read(token('ab') + DONE)).toBe('incomplete')
    expect(read(token('abc'))).toBe('incomplete')
    expect(read(token('abd') + DONE)).toBe('wrong')
  })

  test('reports an error event as a failure with its code', () => {
    const reader = createChatReader(createFakeClock())
    reader.feed(token('a') + 'data: {"error":{"code":"outcome_unknown","ran":"unknown"}}\n\n')
    expect(reader.finish('ab')).toMatchObject({ outcome: 'failed', code: 'outcome_unknown', ran: 'unknown' })
  })
})

describe('errorResult', () => {
  test('reads the code, whether the request ran and the time to retry after', () => {
    const result = errorResult(503, '2', '{"error":{"code":"overloaded","ran":"not_run"}}', 5)
    expect(result).toMatchObject({ outcome: 'refused', code: 'overloaded', ran: 'not_run', retryAfterMs: 2000 })
  })

  test('does not report an unknown outcome as a refusal', () => {
    expect(errorResult(503, undefined, '{"error":{"code":"outcome_unknown","ran":"unknown"}}', 5).outcome).toBe('failed')
    expect(errorResult(502, undefined, 'no JSON', 5)).toMatchObject({ outcome: 'failed', code: 'http_502', retryAfterMs: undefined })
  })
})

describe('checkResults', () => {
  const line = (customId: string, content: string): string => JSON.stringify({ custom_id: customId, response: { body: { choices: [{ message: { content } }] } } })

  test('counts correct, wrong, duplicated and missing items', async () => {
    const lines = [line('a', 'A'), line('b', 'wrong'), line('a', 'A')]
    const check = await checkResults(lines, customId => customId.toUpperCase(), 3)
    expect(check).toEqual({ lines: 3, right: 1, wrong: 1, doubled: 1, missing: 1 })
  })
})
