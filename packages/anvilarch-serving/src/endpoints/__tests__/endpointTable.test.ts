import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { type Endpoint, startIdOf } from '../../model/types'
import { createEndpointTable, type EndpointTable } from '../endpointTable'
import { EXPIRED_RETENTION_MS, LAST_RESORT_MS, MIN_EXPIRY_OUTAGE_MS } from '../entryStatus'

const ENDPOINT: Endpoint = { id: 'e1', startId: 'e1', bornAtMs: undefined, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1 }

let clock: FakeClock
let lastFailureMs: number | undefined
let lastOutageMs: number
let table: EndpointTable
let services: string[]

/** @returns the row of an endpoint that differs from the usual one */
function rowOf (change: Partial<Endpoint> = {}): { row: 'endpoint', endpoint: Endpoint } {
  const endpoint = { ...ENDPOINT, ...change }
  return { row: 'endpoint', endpoint: { ...endpoint, startId: startIdOf(endpoint.id, endpoint.bornAtMs) } }
}

beforeEach(() => {
  clock = createFakeClock(100_000)
  lastFailureMs = undefined
  lastOutageMs = MIN_EXPIRY_OUTAGE_MS
  services = ['s']
  table = createEndpointTable({
    clock,
    log: SILENT_LOGGER,
    storeFailureTimes: { lastFailureMs: () => lastFailureMs, lastOutageMs: () => lastOutageMs },
    isConfiguredService: service => services.includes(service)
  })
  table.onListing([rowOf(), rowOf({ id: 'e2', address: '10.0.0.2:80' })])
})

function usableIds (): string[] {
  return table.usable('s').map(endpoint => endpoint.id)
}

describe('usable', () => {
  it('leaves draining endpoints out while there are others', () => {
    table.onRow(rowOf({ state: 'draining' }))
    expect(usableIds()).toEqual(['e2'])
  })

  it('falls back to an endpoint that has just begun to leave, for a short time', () => {
    table.onRow(rowOf({ state: 'draining' }))
    table.onRemoved('e2')
    expect(usableIds()).toEqual(['e1', 'e2'])
    clock.advance(LAST_RESORT_MS + 1)
    expect(usableIds()).toEqual([])
  })

  it('does not lengthen that time when a draining endpoint is removed', () => {
    table.onRemoved('e2')
    table.onRow(rowOf({ state: 'draining' }))
    clock.advance(LAST_RESORT_MS - 1)
    table.onRemoved('e1')
    clock.advance(2)
    expect(usableIds()).toEqual([])
  })

  // Guards against this: callers are refused for seconds after an outage of the store, although all endpoints are well.
  it('keeps entries that may only have lapsed until they can be back', () => {
    lastFailureMs = clock.nowMs() - 500
    table.onListing([])
    expect(usableIds()).toEqual(['e1', 'e2'])
    clock.advance(EXPIRED_RETENTION_MS - 1)
    table.onRow(rowOf())
    clock.advance(2)
    expect(usableIds()).toEqual(['e1'])
  })
})

describe('an endpoint whose entry is removed soon after a failed call', () => {
  // Guards against this: requests reach an endpoint more than two seconds after the store has said that it leaves.
  it('is left alone if the store has failed for too short a time for entries to lapse', () => {
    lastFailureMs = clock.nowMs() - 1800
    lastOutageMs = MIN_EXPIRY_OUTAGE_MS - 1
    table.onRemoved('e1')
    expect(usableIds()).toEqual(['e2'])
  })

  it('is left alone within two seconds, also as a last resort', () => {
    lastFailureMs = clock.nowMs() - 1800
    table.onRemoved('e1')
    table.onRemoved('e2')
    expect(usableIds()).toEqual(['e1', 'e2'])
    clock.advance(1900)
    expect(usableIds()).toEqual([])
  })
})

describe('an endpoint that has restarted', () => {
  // Guards against this: for some seconds after engines have restarted, requests are refused and items are sent and refused again.
  it('is sent to as its new incarnation only', () => {
    table.onRow(rowOf({ id: 'e3', listedVersion: 5 }))
    expect(usableIds()).toEqual(['e2', 'e3'])
    expect(table.atAddress(ENDPOINT.address)?.id).toBe('e3')
    table.onRow(rowOf({ listedVersion: 1 }))
    expect(usableIds()).toEqual(['e2', 'e3'])
  })
})

describe('atAddress', () => {
  // Guards against this: an agent sends items to an engine more than two seconds after the store has said that it leaves.
  it('does not find an endpoint whose entry is gone', () => {
    table.onRemoved('e1')
    expect(table.atAddress(ENDPOINT.address)).toBeUndefined()
  })

  it('finds the new incarnation at an address', () => {
    table.onRemoved('e1')
    table.onRow(rowOf({ id: 'e3' }))
    expect(table.atAddress(ENDPOINT.address)?.id).toBe('e3')
  })

  it('finds an endpoint whose entry may only have lapsed', () => {
    lastFailureMs = clock.nowMs()
    table.onRemoved('e1')
    expect(table.atAddress(ENDPOINT.address)?.id).toBe('e1')
    clock.advance(EXPIRED_RETENTION_MS)
    expect(table.atAddress(ENDPOINT.address)).toBeUndefined()
  })
})

describe('an endpoint that starts again under its id', () => {
  const gone: string[] = []

  beforeEach(() => {
    gone.length = 0
    table.onEvicted(endpoint => gone.push(endpoint.startId))
    table.onListing([rowOf({ bornAtMs: 1000 }), rowOf({ id: 'e2', address: '10.0.0.2:80', bornAtMs: 1000 })])
    gone.length = 0
  })

  // Guards against this: an endpoint that has just come back is passed over, or gets more than it can take.
  it('is another endpoint, and the former start is gone', () => {
    table.onRow(rowOf({ bornAtMs: 2000, listedVersion: 2 }))
    expect(gone).toEqual(['e1@1000'])
    expect(table.usable('s').map(endpoint => endpoint.startId)).toEqual(['e2@1000', 'e1@2000'])
    expect([table.hasStart('e1@1000'), table.hasStart('e1@2000')]).toEqual([false, true])
  })

  // Guards against this: an endpoint that has just come back gets nothing for a heartbeat, or its former start is sent to.
  it('is not replaced by a late row of its former start', () => {
    table.onRow(rowOf({ bornAtMs: 2000, listedVersion: 2 }))
    table.onRow(rowOf({ bornAtMs: 1000, state: 'draining', listedVersion: 3 }))
    expect(table.atAddress(ENDPOINT.address)).toMatchObject({ startId: 'e1@2000', state: 'ready' })
  })

  it('does not inherit the time since which its former start has been leaving', () => {
    table.onRow(rowOf({ bornAtMs: 1000, state: 'draining' }))
    table.onRemoved('e2')
    clock.advance(LAST_RESORT_MS + 1)
    expect(usableIds()).toEqual([])
    table.onRow(rowOf({ bornAtMs: 2000, state: 'draining' }))
    expect(usableIds()).toEqual(['e1'])
  })

  it('is not kept as lapsed when a later start has been listed', () => {
    lastFailureMs = clock.nowMs() - 500
    table.onRow(rowOf({ bornAtMs: 2000, listedVersion: 2 }))
    table.onRemoved('e1')
    expect(table.usable('s').map(endpoint => endpoint.startId)).toEqual(['e2@1000', 'e1@2000'])
  })
})

describe('rows that name no endpoint', () => {
  const UNUSABLE = { row: 'unusable' as const, id: 'e1', field: 'state', reason: 'not known' }

  it('take the endpoint that they replace out of use at once, also after an outage', () => {
    lastFailureMs = clock.nowMs() - 500
    table.onRow(UNUSABLE)
    expect(usableIds()).toEqual(['e2'])
    expect(table.atAddress(ENDPOINT.address)).toBeUndefined()
    table.onRow(rowOf())
    expect(usableIds()).toEqual(['e2', 'e1'])
  })

  it('take it out of use in a listing too, and let it come back', () => {
    lastFailureMs = clock.nowMs() - 500
    table.onListing([UNUSABLE, rowOf({ id: 'e2', address: '10.0.0.2:80' })])
    expect(usableIds()).toEqual(['e2'])
    table.onListing([rowOf(), rowOf({ id: 'e2', address: '10.0.0.2:80' })])
    expect(usableIds().sort()).toEqual(['e1', 'e2'])
  })

  it('are those that no longer say when the endpoint was started', () => {
    table.onListing([rowOf({ bornAtMs: 1000 }), rowOf({ id: 'e2', address: '10.0.0.2:80', bornAtMs: 1000 })])
    table.onRow(rowOf())
    expect(usableIds()).toEqual(['e2'])
  })

  it('are those without a start where most endpoints say theirs, and no others', () => {
    table.onListing([rowOf({ bornAtMs: 1000 }), rowOf({ id: 'e2', address: '10.0.0.2:80', bornAtMs: 1000 }), rowOf({ id: 'e3', address: '10.0.0.3:80' })])
    expect(usableIds()).toEqual(['e1', 'e2'])
    table.onListing([rowOf({ id: 'f1' }), rowOf({ id: 'f2', address: '10.0.0.2:80' }), rowOf({ id: 'f3', address: '10.0.0.3:80', bornAtMs: 1000 })])
    expect(usableIds().sort()).toEqual(['f1', 'f2', 'f3'])
  })

  it('are those of services that the configuration does not name, until it does', () => {
    table.onRow(rowOf({ id: 'e3', service: 'other', listedVersion: 9 }))
    expect(usableIds()).toEqual(['e1', 'e2'])
    expect(table.usable('other')).toEqual([])
    services = ['s', 'other']
    table.onServicesChanged()
    expect(table.usable('other').map(endpoint => endpoint.id)).toEqual(['e3'])
    expect(usableIds()).toEqual(['e2'])
  })
})
