import { createResponseParser } from '../responseParser'

interface Seen {
  statuses: number[]
  bodies: string[]
  complete: number
}

function parse (text: string, pieceBytes: number): Seen & { finish: () => void } {
  const seen: Seen = { statuses: [], bodies: [], complete: 0 }
  const parser = createResponseParser({
    onHead: ({ status }) => {
      seen.statuses.push(status)
      seen.bodies.push('')
    },
    onBody: bytes => { seen.bodies[seen.bodies.length - 1] += bytes.toString() },
    onComplete: () => { seen.complete++ }
  })
  for (let at = 0; at < text.length; at += pieceBytes) parser.feed(Buffer.from(text.slice(at, at + pieceBytes)))
  return Object.assign(seen, { finish: parser.finish })
}

const WITH_LENGTH = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
const EMPTY = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
const INTERIM = 'HTTP/1.1 100 Continue\r\n\r\n'

describe('responses on a connection', () => {
  it.each([1, 2, 7, 1000])('are told apart if they come in pieces of %d bytes', pieceBytes => {
    const { statuses, bodies, complete } = parse(WITH_LENGTH + INTERIM + EMPTY + CHUNKED + WITH_LENGTH, pieceBytes)
    expect(statuses).toEqual([200, 503, 200, 200])
    expect(bodies).toEqual(['hello', '', 'abcde', 'hello'])
    expect(complete).toBe(4)
  })

  it.each([['a length', WITH_LENGTH], ['chunks', CHUNKED]])('are not complete if the connection ends early, by %s', (_framing, text) => {
    const seen = parse(text.slice(0, -1), 1000)
    seen.finish()
    expect(seen.complete).toBe(0)
  })

  it('are complete at the end of the connection if they have neither', () => {
    const seen = parse('HTTP/1.1 200 OK\r\n\r\nabc', 1000)
    expect(seen.complete).toBe(0)
    seen.finish()
    expect(seen).toMatchObject({ bodies: ['abc'], complete: 1 })
  })
})
