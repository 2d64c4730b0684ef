import { isFramed } from '../framing'

const framed = (status: number, headers: Record<string, string>): boolean => isFramed(status, name => headers[name])

describe('isFramed', () => {
  it.each([
    [200, { 'content-length': '0' }],
    [200, { 'transfer-encoding': 'chunked' }],
    [200, { 'transfer-encoding': 'gzip,  Chunked ' }],
    [204, {}],
    [304, { 'transfer-encoding': 'gzip' }]
  ])('sees the end of status %d with %j', (status, headers) => {
    expect(framed(status, headers)).toBe(true)
  })

  // Guards against this: an answer that ends with its connection is taken for whole after it was cut.
  it.each([
    [200, {}],
    [206, {}],
    [200, { 'transfer-encoding': 'gzip' }],
    [200, { 'transfer-encoding': 'identity' }],
    [200, { 'transfer-encoding': 'chunked, gzip' }],
    [200, { 'transfer-encoding': 'xchunked' }],
    [200, { 'transfer-encoding': '' }],
    [200, { 'transfer-encoding': 'gzip', 'content-length': '4' }]
  ])('does not see the end of status %d with %j', (status, headers) => {
    expect(framed(status, headers)).toBe(false)
  })
})
