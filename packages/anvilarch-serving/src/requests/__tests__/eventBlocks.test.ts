import fc from 'fast-check'
import { createEventSplitter, holdsNoEvent } from '../eventBlocks'

const RUNS = { seed: 20261202, numRuns: 500 }

function event (id: number, data: string): string {
  return `id: ${id}\ndata: ${data}\n\n`
}

describe('createEventSplitter', () => {
  it('returns the same events wherever the bytes are cut', () => {
    fc.assert(fc.property(fc.array(fc.string({ unit: 'grapheme' }).map(text => text.replace(/[\r\n]/g, '')), { minLength: 1, maxLength: 6 }), fc.array(fc.nat(40), { maxLength: 30 }), (texts, cuts) => {
      const bytes = Buffer.from(texts.map((text, index) => event(index + 1, text)).join(''))
      const splitter = createEventSplitter()
      const blocks = []
      let offset = 0
      for (const cut of [...cuts, bytes.length]) {
        blocks.push(...splitter.push(bytes.subarray(offset, offset + cut)))
        offset += cut
        if (offset >= bytes.length) break
      }
      expect(blocks.map(block => block.id)).toEqual(texts.map((_, index) => index + 1))
      expect(blocks.map(block => block.data)).toEqual(texts)
      expect(Buffer.concat(blocks.map(block => block.bytes))).toEqual(bytes)
      expect(splitter.rest()).toHaveLength(0)
    }), RUNS)
  })

  it('returns the same blocks of lines with and without carriage returns wherever the bytes are cut', () => {
    fc.assert(fc.property(fc.array(fc.constantFrom('\n', '\r', '\r\n', 'id: 1', 'data: a', ':')), fc.array(fc.nat(3)), (parts, cuts) => {
      const bytes = Buffer.from(parts.join(''))
      const whole = createEventSplitter()
      const cut = createEventSplitter()
      const blocks = []
      let offset = 0
      for (const length of [...cuts, bytes.length]) {
        blocks.push(...cut.push(bytes.subarray(offset, offset + length)))
        offset += length
      }
      expect(blocks).toEqual(whole.push(bytes))
      expect(cut.rest()).toEqual(whole.rest())
      expect(cut.restLength()).toBe(whole.rest().length)
    }), RUNS)
  })

  it('buffers an incomplete event', () => {
    const splitter = createEventSplitter()
    expect(splitter.push(Buffer.from(event(1, 'a') + 'id: 2\nda'))).toHaveLength(1)
    expect(splitter.rest().toString()).toBe('id: 2\nda')
  })

  it('parses events with carriage returns and unknown fields', () => {
    const [block] = createEventSplitter().push(Buffer.from('x-versions: 3\r\nid: 7\r\ndata:a\r\ndata: b\r\n\r\n'))
    expect(block).toMatchObject({ id: 7, data: 'a\nb' })
  })

  // Guards against counting an event without an id as event 0.
  it.each(['', 'x', '1.5', '-1', '0x1'])('does not accept %j as an id', value => {
    expect(createEventSplitter().push(Buffer.from(`id: ${value}\ndata: a\n\n`))).toMatchObject([{ id: undefined, data: 'a' }])
  })
})

describe('holdsNoEvent', () => {
  it.each([
    [': alive', true], ['retry: 500', true], [': alive\r\n: still', true],
    ['data: a', false], ['event: note', false], ['{"error":"busy"}', false], [': alive\ndata: a', false]
  ])('classifies %j', (text, expected) => {
    const [block] = createEventSplitter().push(Buffer.from(`${text}\n\n`))
    expect(holdsNoEvent(block)).toBe(expected)
  })
})
