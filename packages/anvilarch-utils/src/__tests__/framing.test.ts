import { framingOf, isFramed, type ResponseFraming } from '../framing'

const framed = (status: number, headers: Record<string, string>): boolean => isFramed(status, name => headers[name])

describe('isFramed', () => {
  it.each([
    [200, { 'content-length': '0' }],
    [200, { 'transfer-encoding': 'chunked' }],
    [200, { 'transfer-encoding': 'gzip,  Chunked ' }],
    [204, {}],
    [304, { 'transfer-encoding': 'gzip' }]
  ])('detects the end of a response with status %d and headers %j', (status, headers) => {
    expect(framed(status, headers)).toBe(true)
  })

  // Guards against truncated close-delimited responses that are taken for complete.
  it.each([
    [200, {}],
    [206, {}],
    [200, { 'transfer-encoding': 'gzip' }],
    [200, { 'transfer-encoding': 'identity' }],
    [200, { 'transfer-encoding': 'chunked, gzip' }],
    [200, { 'transfer-encoding': 'xchunked' }],
    [200, { 'transfer-encoding': '' }],
    [200, { 'transfer-encoding': 'gzip', 'content-length': '4' }]
  ])('does not detect the end of a response with status %d and headers %j', (status, headers) => {
    expect(framed(status, headers)).toBe(false)
  })
})

describe('framingOf', () => {
  // Guards against a coded body that is taken for the body itself, since its connection was closed in order.
  it.each<[ResponseFraming, number, Record<string, string>]>([
    ['framed', 200, { 'content-length': '0' }],
    ['framed', 200, { 'transfer-encoding': 'chunked' }],
    ['framed', 204, {}],
    ['framed', 304, { 'transfer-encoding': 'gzip' }],
    ['until_close', 200, {}],
    ['until_close', 500, { connection: 'keep-alive', 'keep-alive': 'timeout=5' }],
    ['unknown_coding', 200, { 'transfer-encoding': 'gzip' }],
    ['unknown_coding', 200, { 'transfer-encoding': 'chunked, gzip' }],
    ['unknown_coding', 200, { 'transfer-encoding': 'xchunked' }],
    ['unknown_coding', 200, { 'transfer-encoding': '' }],
    ['unknown_coding', 200, { 'transfer-encoding': 'gzip', 'content-length': '4' }]
  ])('is %s for status %d and headers %j', (framing, status, headers) => {
    expect(framingOf(status, name => headers[name])).toBe(framing)
  })
})
