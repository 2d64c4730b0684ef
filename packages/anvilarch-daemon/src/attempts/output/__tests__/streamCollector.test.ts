import { chatEvents } from '../../__fixtures__/fakeAgent'
import { createStreamCollector } from '../streamCollector'

const WORDS = ['one ', 'two ', 'three ', 'four ', 'five']
const USAGE = 'data: {"id":"c1","created":1,"choices":[],"usage":{"total_tokens":6}}\n\n'
const HEADERS = { 'content-type': 'text/event-stream' }

function eventsFrom (token: number): string[] {
  const events = chatEvents(WORDS.slice(token))
  return [...events.slice(0, -1), USAGE, ...events.slice(-1)]
}

const WHOLE = eventsFrom(0)

describe('createStreamCollector', () => {
  // Guards against events that the caller receives twice, because the continuing endpoint sends them again.
  it.each(WHOLE.map((_, index) => index + 1))('forwards each event once when the first attempt is lost after %d events', async lostAfter => {
    let passed = ''
    const collector = createStreamCollector({
      onHead: () => {},
      onOutput: data => {
        passed += Buffer.from(data).toString()
        return undefined
      }
    })
    collector.head(200, HEADERS)
    await collector.output(Buffer.from(WHOLE.slice(0, lostAfter).join('') + 'data: {"half'))
    const given = collector.restart()
    expect(collector.head(200, HEADERS)).toBeUndefined()
    await collector.output(Buffer.from(eventsFrom(given?.tokens ?? 0).join('')))
    const parsed = (text: string): unknown[] => text.split('\n\n').filter(each => each.startsWith('data: {')).map(each => JSON.parse(each.slice(6)) as unknown)
    expect(parsed(passed)).toEqual(parsed(WHOLE.join('')))
    expect(passed.split('[DONE]')).toHaveLength(2)
    expect(collector.missing()).toBeUndefined()
  })
})
