import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import type { OriginQuery, PeerMessage } from '../../endpoints/peerMessages'
import type { PeerAddress } from '../../endpoints/peerSocket'
import { FIRST_QUERY_COUNT, type PeerGateway } from '../keepers'
import { createOriginQueries, type OriginQueries, QUERY_TIMEOUT_MS } from '../originQueries'

const GATEWAYS: PeerGateway[] = Array.from({ length: 5 }, (_, index) => ({ name: `g${index}`, address: { ip: '10.0.0.1', port: index } }))
const ORIGIN = { service: 's', softwareVersion: 'v1' }

let clock: FakeClock
let sent: Array<{ query: OriginQuery, to: PeerAddress }>
let queries: OriginQueries

beforeEach(() => {
  clock = createFakeClock()
  sent = []
  queries = createOriginQueries({ clock, gateways: () => GATEWAYS, send: (message: PeerMessage, to) => { sent.push({ query: message as OriginQuery, to }) } })
})

function respond (index: number, origin: typeof ORIGIN | undefined, from = sent[index].to): void {
  queries.onResponse({ message: 'origin_response', correlationId: sent[index].query.correlationId, origin }, from)
}

describe('a query for an origin', () => {
  it('ends with the first response that has it', async () => {
    const found = queries.find('r1')
    respond(1, ORIGIN)
    expect(await found).toEqual(ORIGIN)
    expect(clock.pendingCount()).toBe(0)
  })

  it('goes to all other gateways if the keepers have no record', async () => {
    const found = queries.find('r1')
    for (let index = 0; index < FIRST_QUERY_COUNT; index++) respond(index, undefined)
    await clock.advanceAsync(0)
    expect(new Set(sent.map(({ to }) => to.port)).size).toBe(GATEWAYS.length)
    respond(FIRST_QUERY_COUNT, ORIGIN)
    expect(await found).toEqual(ORIGIN)
  })

  it('ends without an origin when nobody responds in time', async () => {
    const found = queries.find('r1')
    await clock.advanceAsync(2 * QUERY_TIMEOUT_MS)
    expect(await found).toBeUndefined()
  })

  // Guards against a stream that goes on at the version of another one, which the process that ran here before had asked for.
  it('ignores responses to a query of an earlier start of the gateway', async () => {
    const startQueries = (): OriginQueries => createOriginQueries({ clock, gateways: () => GATEWAYS, send: (message: PeerMessage, to) => { sent.push({ query: message as OriginQuery, to }) } })
    const formerlyFound = queries.find('r1')
    const [former] = sent
    await clock.advanceAsync(2 * QUERY_TIMEOUT_MS)
    expect(await formerlyFound).toBeUndefined()
    queries = startQueries()
    const found = queries.find('r2')
    queries.onResponse({ message: 'origin_response', correlationId: former.query.correlationId, origin: ORIGIN }, former.to)
    await clock.advanceAsync(2 * QUERY_TIMEOUT_MS)
    expect(await found).toBeUndefined()
  })

  it('ignores responses of processes that were not queried', async () => {
    const found = queries.find('r1')
    respond(0, ORIGIN, { ip: '10.0.0.9', port: 1 })
    await clock.advanceAsync(2 * QUERY_TIMEOUT_MS)
    expect(await found).toBeUndefined()
  })
})
