import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createFakeClock, createRandom, createSystemClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { createDirectTransport, createRelayedTransport, type RelayedTransport, type StoreResponse, type StoreCall, type StoreTransport } from '../transport'

const CALL: StoreCall = { name: 'read', method: 'GET', path: '/', headers: [], body: undefined, timeoutMs: 1000 }
const DONE: StoreResponse = { outcome: 'answered', status: 200, body: Buffer.alloc(0) }
const BUSY: StoreResponse = { outcome: 'answered', status: 503, body: Buffer.alloc(0) }
const SILENT: StoreResponse = { outcome: 'no_answer', reason: 'timeout' }

let clock: FakeClock
let direct: StoreResponse
let throughPeer: StoreResponse
let directCalls: number
let peerCalls: number
let transport: RelayedTransport

beforeEach(() => {
  clock = createFakeClock(10_000)
  direct = DONE
  throughPeer = DONE
  directCalls = 0
  peerCalls = 0
  const answerDirect: StoreTransport = async () => {
    directCalls++
    return direct
  }
  const answerThroughPeer: StoreTransport = async () => {
    peerCalls++
    return throughPeer
  }
  transport = createRelayedTransport({
    clock, log: SILENT_LOGGER, random: createRandom(1), direct: answerDirect, peers: () => ['10.0.0.2:1'], createPeerTransport: () => answerThroughPeer
  })
})

describe('createRelayedTransport', () => {
  it('goes straight to the store while it answers', async () => {
    await transport.call(CALL)
    expect([directCalls, peerCalls]).toEqual([1, 0])
  })

  it('asks a peer when the store turns this host away', async () => {
    direct = BUSY
    for (let index = 0; index < 5; index++) expect(await transport.call(CALL)).toEqual(DONE)
    expect(peerCalls).toBe(5)
    expect(directCalls).toBeLessThan(5)
  })

  it('notices that the store serves this host again', async () => {
    direct = BUSY
    for (let index = 0; index < 3; index++) await transport.call(CALL)
    direct = DONE
    clock.advance(1000)
    await transport.call(CALL)
    const before = peerCalls
    await transport.call(CALL)
    expect(peerCalls).toBe(before)
  })

  // Guards against this: a transaction is done twice.
  it('does not send again what may have been done', async () => {
    direct = SILENT
    expect(await transport.call(CALL)).toEqual(SILENT)
    expect(peerCalls).toBe(0)
  })

  it('leaves peers alone for a while when they do not reach the store either', async () => {
    direct = BUSY
    throughPeer = BUSY
    for (let index = 0; index < 10; index++) await transport.call(CALL)
    expect(peerCalls).toBe(1)
  })

  it('tells when the store last answered and last did not', async () => {
    direct = BUSY
    throughPeer = BUSY
    await transport.call(CALL)
    expect(transport.contact).toEqual({ lastSuccessMs: undefined, lastFailureMs: 10_000, lastOutageMs: 0 })
    clock.advance(900)
    await transport.call(CALL)
    expect(transport.contact).toEqual({ lastSuccessMs: undefined, lastFailureMs: 10_900, lastOutageMs: 900 })
  })

  // Guards against this: after a start of all hosts, one that the store turns away serves nobody for 0.7 s, although peers are served.
  it('asks another peer when the first one is turned away as well', async () => {
    direct = BUSY
    const asked: string[] = []
    const relayed = createRelayedTransport({
      clock,
      log: SILENT_LOGGER,
      random: createRandom(1),
      direct: async () => direct,
      peers: () => ['10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'],
      createPeerTransport: address => async () => {
        asked.push(address)
        return asked.length < 3 ? BUSY : DONE
      }
    })
    expect(await relayed.call(CALL)).toEqual(DONE)
    expect(new Set(asked).size).toBe(3)
  })

  // Guards against this: a transaction is done twice.
  it('asks no other peer after one whose call may have been done', async () => {
    direct = BUSY
    let asked = 0
    const relayed = createRelayedTransport({
      clock,
      log: SILENT_LOGGER,
      random: createRandom(1),
      direct: async () => direct,
      peers: () => ['10.0.0.2:1', '10.0.0.3:1'],
      createPeerTransport: () => async () => {
        asked++
        return SILENT
      }
    })
    expect(await relayed.call(CALL)).toEqual(SILENT)
    expect(asked).toBe(1)
  })
})

describe('the time of a call', () => {
  // Guards against this: a daemon knows of no change for several timeouts in a row, though it counts as in contact.
  it.each([['reach nobody', undefined], ['are silent', SILENT]])('is kept over all its tries when the store cannot be reached and peers %s', async (_title, last) => {
    const notDone: StoreResponse = { outcome: 'not_done', reason: 'UND_ERR_CONNECT_TIMEOUT' }
    const answer = (given: StoreResponse, afterMs: number): Promise<StoreResponse> => new Promise(resolve => { clock.after(afterMs, () => resolve(given)) })
    let tries = 0
    const through: StoreTransport = call => {
      tries++
      return tries < 3 ? answer(notDone, Math.min(700, call.timeoutMs)) : answer(last ?? notDone, call.timeoutMs)
    }
    const relayed = createRelayedTransport({
      clock, log: SILENT_LOGGER, random: createRandom(1), direct: () => answer(notDone, 700), peers: () => ['10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'], createPeerTransport: () => through
    })
    let endedMs: number | undefined
    relayed.call({ ...CALL, timeoutMs: 2500 }).then(() => { endedMs = clock.nowMs() }).catch(error => { throw error })
    await clock.advanceAsync(10_000)
    expect(endedMs).toBeLessThanOrEqual(10_000 + 2500)
  })
})

describe('calls that wait at the store', () => {
  /** Answers after a time, or not at all, unless the call is given up. */
  const answerAfter = (answersAfterMs: number | undefined): StoreTransport => call => new Promise(resolve => {
    clock.after(call.timeoutMs, () => resolve(SILENT))
    call.signal?.addEventListener('abort', () => resolve({ outcome: 'no_answer', reason: 'given_up' }))
    if (answersAfterMs !== undefined) clock.after(answersAfterMs, () => resolve(DONE))
  })
  const WAITING: StoreCall = { ...CALL, timeoutMs: 3500, isLongPoll: true }

  it('are given up when the store is back after a silence, and do not count as another one', async () => {
    const store = { answersAfterMs: undefined as number | undefined }
    const relayed = createRelayedTransport({
      clock, log: SILENT_LOGGER, random: createRandom(1), direct: call => answerAfter(store.answersAfterMs)(call), peers: () => [], createPeerTransport: () => answerAfter(undefined)
    })
    const lost = relayed.call(CALL)
    await clock.advanceAsync(900)
    const waiting = relayed.call(WAITING)
    await clock.advanceAsync(200)
    expect(await lost).toEqual(SILENT)
    store.answersAfterMs = 4
    const answered = relayed.call(CALL)
    await clock.advanceAsync(10)
    expect(await answered).toEqual(DONE)
    expect(await waiting).toEqual({ outcome: 'no_answer', reason: 'given_up' })
    expect(relayed.contact.lastFailureMs).toBe(11_000)
  })

  // Guards against this: a daemon whose waiting call was given up on the way through a peer asks no peer for seconds.
  it('leave the way through peers open when they are given up there', async () => {
    const store = { answersAfterMs: undefined as number | undefined }
    let throughPeers = 0
    const relayed = createRelayedTransport({
      clock,
      log: SILENT_LOGGER,
      random: createRandom(1),
      direct: call => answerAfter(store.answersAfterMs)(call),
      peers: () => ['10.0.0.2:1'],
      createPeerTransport: () => call => {
        throughPeers++
        return answerAfter(undefined)(call)
      }
    })
    const first = [relayed.call(CALL), relayed.call(CALL)]
    await clock.advanceAsync(1000)
    await Promise.all(first)
    const probe = relayed.call(CALL)
    const waiting = relayed.call(WAITING)
    store.answersAfterMs = 4
    await clock.advanceAsync(1000)
    await probe
    const answered = relayed.call(CALL)
    await clock.advanceAsync(10)
    await answered
    expect([await waiting, throughPeers]).toEqual([{ outcome: 'no_answer', reason: 'given_up' }, 1])
  })
})

/** @returns what becomes of half of an answer that ends with its connection */
async function unframedAnswer (status: number): Promise<StoreResponse> {
  const server = createServer((_request, response) => {
    response.shouldKeepAlive = false
    response.removeHeader('Transfer-Encoding')
    response.writeHead(status)
    response.end('half of the obj')
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const answer = await createDirectTransport(`127.0.0.1:${(server.address() as AddressInfo).port}`, createSystemClock())(CALL)
  server.closeAllConnections()
  server.close()
  return answer
}

describe('createDirectTransport', () => {
  // Guards against this: after a gateway wakes up it takes the store for silent, and does not know whether its transactions are done.
  it('reads an answer that came while its own process stood still, and marks it', async () => {
    // The answer lies in the client's socket when the process goes on.
    const standStill = (): void => {
      const untilMs = performance.now() + 300
      while (performance.now() < untilMs);
    }
    const server = createServer(({ url }, response) => {
      if (url === '/late') standStill()
      response.end('done')
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const send = createDirectTransport(`127.0.0.1:${(server.address() as AddressInfo).port}`, createSystemClock())
    expect(await send(CALL)).toMatchObject({ outcome: 'answered' })
    const answer = send({ ...CALL, path: '/late', timeoutMs: 100 })
    expect(await answer).toEqual({ outcome: 'answered', status: 200, body: Buffer.from('done'), readAfterPause: true })
    server.closeAllConnections()
    server.close()
  })

  // Guards against this: a part of a stored object passes for the whole of it.
  it('does not take for whole an answer whose end a broken connection cannot be told from', async () => {
    expect(await unframedAnswer(200)).toEqual({ outcome: 'no_answer', reason: 'unframed_answer' })
  })

  // Guards against this: a refused transaction counts as one that may have been done.
  it('takes a refusal for one whatever its body', async () => {
    expect(await unframedAnswer(503)).toMatchObject({ outcome: 'answered', status: 503 })
  })

  it('closes the connection of a call that is given up', async () => {
    const controller = new AbortController()
    const server = createServer()
    const closed = new Promise<void>(resolve => {
      server.once('request', request => {
        request.socket.once('close', () => resolve())
        controller.abort()
      })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const call = { ...CALL, signal: controller.signal }
    const answer = await createDirectTransport(`127.0.0.1:${(server.address() as AddressInfo).port}`, createSystemClock())(call)
    await closed
    expect(answer).toEqual({ outcome: 'no_answer', reason: 'given_up' })
    server.close()
  })
})
