import { createFakeClock } from 'anvilarch-utils'
import { createChatReader } from '../../../clients/chatClient'
import { call, evidence } from '../../__fixtures__/evidence'
import { judgeStream, judgeText } from '../../load/modelCalls'
import { checkEvidence } from '../checkEvidence'

const event = (chunk: object): string => `data: ${JSON.stringify(chunk)}\n\n`
const token = (content: string): string => event({ choices: [{ delta: { content }, finish_reason: null }] })
const REASON = event({ choices: [{ delta: {}, finish_reason: 'stop' }] })
const USAGE = event({ choices: [], usage: { prompt_tokens: 1, completion_tokens: 2 } })
const ERROR = event({ error: { code: 'outcome_unknown', ran: 'unknown' } })
const DONE = 'data: [DONE]\n\n'
const SHORT = ['answers incomplete that were told as whole']

/** Names of the checks that find something in a streamed answer to which "abc" is right. */
function foundIn (events: string, cut?: Error, isGone = false): string[] {
  const reader = createChatReader(createFakeClock())
  reader.result.status = 200
  reader.feed(events)
  const answer = reader.finish('abc', cut)
  const record = call({ kind: 'stream', code: answer.code, ran: answer.ran, ...judgeStream(answer, isGone) })
  return checkEvidence(evidence({ calls: [record] })).filter(({ count }) => count > 0).map(({ name }) => name)
}

describe('a stream whose body ended cleanly', () => {
  test('is sound with all pieces, or with the start and an error', () => {
    expect(foundIn(token('ab') + token('c') + REASON + USAGE + DONE)).toEqual([])
    expect(foundIn(token('ab') + ERROR)).toEqual([])
    expect(foundIn(ERROR + DONE)).toEqual([])
  })

  test.each([
    ['text', token('ab') + REASON + USAGE + DONE],
    ['text and reason', token('ab') + DONE],
    ['text, reason and end', token('ab')],
    ['everything', ''],
    ['the reason', token('abc') + USAGE + DONE],
    ['the usage that was asked for', token('abc') + REASON + DONE],
    ['the end', token('abc') + REASON + USAGE]
  ])('is found when it lacks %s', (_what, events) => {
    expect(foundIn(events)).toEqual(SHORT)
  })
})

// Guards against this: pieces that come twice, or from another run, pass unseen when the stream then breaks.
describe('a stream that was not told as whole', () => {
  const CUT = Object.assign(new Error('other side closed'), { code: 'UND_ERR_SOCKET' })

  test('is sound with the start of its answer', () => {
    expect(foundIn(token('ab'), CUT)).toEqual([])
    expect(foundIn(token('ab'), CUT, true)).toEqual([])
    expect(foundIn('', CUT)).toEqual([])
  })

  test.each([
    ['ended with an error', token('ab') + token('b') + ERROR, undefined, false],
    ['broke', token('ab') + token('b'), CUT, false],
    ['broke after half an event', 'data: {"choices":[\n\n' + token('a'), CUT, false],
    ['was left by its caller', token('ab') + token('b'), CUT, true]
  ])('is found with other pieces when it %s', (_what, events, cut, isGone) => {
    expect(foundIn(events, cut, isGone)).toEqual(['streams with other pieces that were not told as whole'])
  })
})

// Guards against this: a whole answer that was cut before its reason passes as right.
test('a whole answer without a reason for its end is incomplete', () => {
  const body = (reason: string | null): string => JSON.stringify({ choices: [{ message: { content: 'abc' }, finish_reason: reason }] })
  expect(judgeText(body('stop'), 'abc')).toBeUndefined()
  expect(judgeText(body(null), 'abc')).toBe('incomplete')
})
