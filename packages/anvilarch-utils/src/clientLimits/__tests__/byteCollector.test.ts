import fc from 'fast-check'
import { createByteCollector } from '../byteCollector'

const RUNS = { seed: 20261206, numRuns: 300 }

describe('createByteCollector', () => {
  it('returns the bytes of all chunks in order, after a part of them as well', () => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 1500 }), { maxLength: 20 }), chunks => {
      const collector = createByteCollector()
      chunks.forEach((chunk, index) => {
        collector.append(chunk)
        expect(collector.length()).toBe(chunks.slice(0, index + 1).reduce((sum, { length }) => sum + length, 0))
      })
      expect(collector.bytes()).toEqual(Buffer.concat(chunks))
      expect(collector.bytes()).toEqual(Buffer.concat(chunks))
    }), RUNS)
  })

  it('starts again after it was cleared', () => {
    const collector = createByteCollector()
    collector.append(Buffer.from('abc'))
    collector.clear()
    collector.append(Buffer.from('d'))
    expect([collector.length(), collector.bytes().toString()]).toEqual([1, 'd'])
  })

  it('holds no chunk that it was given', () => {
    const chunk = Buffer.from('abc')
    const collector = createByteCollector()
    collector.append(chunk)
    chunk.fill('x')
    expect(collector.bytes().toString()).toBe('abc')
  })
})
