import { forwardedHeaders } from '../headers'

describe('forwardedHeaders', () => {
  it('leaves out what concerns one connection, what that connection names, and what the sender sets itself', () => {
    const raw = ['Host', 'a', 'Connection', 'keep-alive, X-Hop', 'X-Hop', '1', 'Transfer-Encoding', 'chunked', 'X-Model', 'm', 'X-Deadline', '5', 'x-model', 'n']
    expect(forwardedHeaders(raw, new Set(['x-deadline']))).toEqual(['Host', 'a', 'X-Model', 'm', 'x-model', 'n'])
  })
})
