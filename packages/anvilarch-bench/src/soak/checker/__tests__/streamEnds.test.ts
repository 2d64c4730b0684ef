import { createFakeClock } from 'anvilarch-utils'
import { createChatReader } from '../../../clients/chatClient'
import { call, evidence } from '../../__fixtures__/evidence'
import { classifyStream, findTextFault } from '../../load/modelCalls'
import { checkEvidence } from '../checkEvidence'

const event = (chunk: object): string => `data: ${JSON.stringify(chunk)}\n\n`
const token = (content: string): string => event({ choices: [{ delta: { content }, finish_reason: null }] })
const FINISH_REASON = event({ choices: [{ delta: {}, finish_reason: 'stop' }] })
const USAGE = event({ choices: [], usage: { prompt_tokens: 1, completion_tokens: 2 } })
const ERROR = event({ error: { code: 'outcome_unknown', ran: 'unknown' } })
const DONE = 'data: [DONE]\n\n'
const INCOMPLETE = ['answers incomplete that were told as whole']

/** Names of the checks that find a violation in a streamed response whose expected text is "abc". */
function failedChecks (events: string, cut?: Error, hasDisconnected = false): string[] {
  const reader = createChatReader(createFakeClock())
  reader.result.status = 200
  reader.feed(events)
  const response = reader.finish('abc', cut)
  const record = call({ kind: 'stream', code: response.code, ran: response.ran, ...classifyStream(response, hasDisconnected) })
  return checkEvidence(evidence({ calls: [record] })).filter(({ count }) => count > 0).map(({ name }) => name)
}

describe('a stream whose body ended normally', () => {
  test('is valid with all pieces, or with the first pieces and an error', () => {
    expect(failedChecks(token('ab') + token('c') + FINISH_REASON + USAGE + DONE)).toEqual([])
    expect(failedChecks(token('ab') + ERROR)).toEqual([])
    expect(failedChecks(ERROR + DONE)).toEqual([])
  })

  test.each([
    ['text', token('ab') + FINISH_REASON + USAGE + DONE],
    ['text and reason', token('ab') + DONE],
    ['text, reason and end', token('ab')],
    ['everything', ''],
    ['the reason', token('abc') + USAGE + DONE],
    ['the requested usage', token('abc') + FINISH_REASON + DONE],
    ['the end', token('abc') + FINISH_REASON + USAGE]
  ])('is reported when it lacks %s', (_what, events) => {
    expect(failedChecks(events)).toEqual(INCOMPLETE)
  })
})

// Guards against missing duplicate pieces, or pieces of another execution, when the stream then breaks.
describe('a stream without a complete response', () => {
  const CUT = Object.assign(new Error('other side closed'), { code: 'UND_ERR_SOCKET' })

  test('is valid with the first pieces of its response', () => {
    expect(failedChecks(token('ab'), CUT)).toEqual([])
    expect(failedChecks(token('ab'), CUT, true)).toEqual([])
    expect(failedChecks('', CUT)).toEqual([])
  })

  test.each([
    ['ended with an error', token('ab') + token('b') + ERROR, undefined, false],
    ['broke', token('ab') + token('b'), CUT, false],
    ['broke after half an event', 'data: {"choices":[\n\n' + token('a'), CUT, false],
    ['was closed by its caller', token('ab') + token('b'), CUT, true]
  ])('is reported with wrong pieces when it %s', (_what, events, cut, hasDisconnected) => {
    expect(failedChecks(events, cut, hasDisconnected)).toEqual(['streams with other pieces that were not told as whole'])
  })
})

// Guards against accepting a response that was cut before its finish reason.
test('a complete response without a finish reason is incomplete', () => {
  const body = (reason: string | null): string => JSON.stringify({ choices: [{ message: { content: 'abc' }, finish_reason: reason }] })
  expect(findTextFault(body('stop'), 'abc')).toBeUndefined()
  expect(findTextFault(body(null), 'abc')).toBe('incomplete')
})
