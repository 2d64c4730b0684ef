import { forwardedHeaders } from '../headers'

describe('forwardedHeaders', () => {
  it('omits hop-by-hop headers, those that `Connection` lists, and those that the sender sets itself', () => {
    const raw = ['Host', 'a', 'Connection', 'keep-alive, X-Hop', 'X-Hop', '1', 'Transfer-Encoding', 'chunked', 'X-Model', 'm', 'X-Deadline', '5', 'x-model', 'n']
    expect(forwardedHeaders(raw, new Set(['x-deadline']))).toEqual(['Host', 'a', 'X-Model', 'm', 'x-model', 'n'])
  })
})
