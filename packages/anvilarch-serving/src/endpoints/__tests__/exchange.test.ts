import { isFramed } from '../exchange'

describe('isFramed', () => {
  // Guards against this: an answer whose connection broke passes for a whole one.
  it.each([
    ['chunks as the last coding', 200, { 'transfer-encoding': 'gzip, Chunked' }, true],
    ['a length', 200, { 'content-length': '3' }, true],
    ['a status that has no body', 204, {}, true],
    ['no length', 200, {}, false],
    ['another coding', 200, { 'transfer-encoding': 'identity' }, false],
    ['a compression only', 200, { 'transfer-encoding': 'gzip' }, false],
    ['chunks that are not the last coding', 200, { 'transfer-encoding': 'chunked, gzip' }, false]
  ])('is right about an answer with %s', (_name, status, headers, framed) => {
    expect(isFramed(status, new Map(Object.entries(headers)))).toBe(framed)
  })
})
