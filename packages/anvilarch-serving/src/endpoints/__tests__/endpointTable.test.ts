import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { type Endpoint, startIdOf } from '../../model/types'
import { createVersionHistory } from '../../streams/versionHistory'
import { createEndpointTable, type EndpointTable } from '../endpointTable'
import { EXPIRED_RETENTION_MS, LAST_RESORT_MS, MIN_EXPIRY_OUTAGE_MS } from '../entryStatus'

const ENDPOINT: Endpoint = { id: 'e1', startId: 'e1', bornAtMs: undefined, service: 's', address: '10.0.0.1:80', failureDomain: 'a', softwareVersion: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1 }

const RETENTION_MS = 10_000

let clock: FakeClock
let lastFailureMs: number | undefined
let lastOutageMs: number
let table: EndpointTable
let services: string[]

/** @returns the row of `ENDPOINT` with some fields changed */
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
    versions: createVersionHistory(clock, () => RETENTION_MS),
    isConfiguredService: service => services.includes(service)
  })
  table.onListing([rowOf(), rowOf({ id: 'e2', address: '10.0.0.2:80' })])
})

function usableIds (): string[] {
  return table.usable('s').map(endpoint => endpoint.id)
}

describe('usable', () => {
  it('excludes draining endpoints if there are others', () => {
    table.onRow(rowOf({ state: 'draining' }))
    expect(usableIds()).toEqual(['e2'])
  })

  it('falls back to a draining or removed endpoint for a short time', () => {
    table.onRow(rowOf({ state: 'draining' }))
    table.onRemoved('e2')
    expect(usableIds()).toEqual(['e1', 'e2'])
    clock.advance(LAST_RESORT_MS + 1)
    expect(usableIds()).toEqual([])
  })

  it('does not extend that time when a draining endpoint is removed', () => {
    table.onRemoved('e2')
    table.onRow(rowOf({ state: 'draining' }))
    clock.advance(LAST_RESORT_MS - 1)
    table.onRemoved('e1')
    clock.advance(2)
    expect(usableIds()).toEqual([])
  })

  // Guards against refusing callers for seconds after an outage of the store although all endpoints work.
  it('retains entries that may only have expired until they can be listed again', () => {
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
  // Guards against requests that reach an endpoint more than two seconds after the store removed its entry.
  it('is not used if the outage was too short for entries to expire', () => {
    lastFailureMs = clock.nowMs() - 1800
    lastOutageMs = MIN_EXPIRY_OUTAGE_MS - 1
    table.onRemoved('e1')
    expect(usableIds()).toEqual(['e2'])
  })

  it('is no longer used after two seconds, not even as a last resort', () => {
    lastFailureMs = clock.nowMs() - 1800
    table.onRemoved('e1')
    table.onRemoved('e2')
    expect(usableIds()).toEqual(['e1', 'e2'])
    clock.advance(1900)
    expect(usableIds()).toEqual([])
  })
})

describe('an endpoint that has restarted', () => {
  // Guards against requests and items being refused for some seconds after a restart, because they are sent to the previous
  // start, whose entry has not expired yet.
  it('receives requests under its new id only', () => {
    table.onRow(rowOf({ id: 'e3', listedVersion: 5 }))
    expect(usableIds()).toEqual(['e2', 'e3'])
    expect(table.atAddress(ENDPOINT.address)?.id).toBe('e3')
    table.onRow(rowOf({ listedVersion: 1 }))
    expect(usableIds()).toEqual(['e2', 'e3'])
  })
})

describe('atAddress', () => {
  // Guards against an agent sending items to an engine more than two seconds after the store removed its entry.
  it('does not find an endpoint whose entry is removed', () => {
    table.onRemoved('e1')
    expect(table.atAddress(ENDPOINT.address)).toBeUndefined()
  })

  it('finds the new start at an address', () => {
    table.onRemoved('e1')
    table.onRow(rowOf({ id: 'e3' }))
    expect(table.atAddress(ENDPOINT.address)?.id).toBe('e3')
  })

  it('finds an endpoint whose entry may only have expired', () => {
    lastFailureMs = clock.nowMs()
    table.onRemoved('e1')
    expect(table.atAddress(ENDPOINT.address)?.id).toBe('e1')
    clock.advance(EXPIRED_RETENTION_MS)
    expect(table.atAddress(ENDPOINT.address)).toBeUndefined()
  })
})

describe('an endpoint that restarts under the same id', () => {
  const evicted: string[] = []

  beforeEach(() => {
    evicted.length = 0
    table.onEvicted(endpoint => evicted.push(endpoint.startId))
    table.onListing([rowOf({ bornAtMs: 1000 }), rowOf({ id: 'e2', address: '10.0.0.2:80', bornAtMs: 1000 })])
    evicted.length = 0
  })

  // Guards against loads and failures of the previous start being attributed to the new one, which is then skipped or overloaded.
  it('replaces the previous start, which is evicted', () => {
    table.onRow(rowOf({ bornAtMs: 2000, listedVersion: 2 }))
    expect(evicted).toEqual(['e1@1000'])
    expect(table.usable('s').map(endpoint => endpoint.startId)).toEqual(['e2@1000', 'e1@2000'])
    expect([table.hasStart('e1@1000'), table.hasStart('e1@2000')]).toEqual([false, true])
  })

  // Guards against a restarted endpoint receiving nothing until its next heartbeat, or requests going to its previous start.
  it('is not replaced by a late row of its previous start', () => {
    table.onRow(rowOf({ bornAtMs: 2000, listedVersion: 2 }))
    table.onRow(rowOf({ bornAtMs: 1000, state: 'draining', listedVersion: 3 }))
    expect(table.atAddress(ENDPOINT.address)).toMatchObject({ startId: 'e1@2000', state: 'ready' })
  })

  // Guards against a running endpoint that receives nothing more because another writer has once listed a later start under its id.
  it('is replaced by the previous start if only that one goes on to write', () => {
    table.onRow(rowOf({ bornAtMs: 1000, listedVersion: 2 }))
    table.onRow(rowOf({ bornAtMs: 9000, listedVersion: 3, address: '10.9.9.9:1' }))
    for (const listedVersion of [4, 4, 5]) table.onRow(rowOf({ bornAtMs: 1000, listedVersion }))
    expect(table.hasStart('e1@9000')).toBe(true)
    table.onRow(rowOf({ bornAtMs: 1000, listedVersion: 6 }))
    expect([table.hasStart('e1@1000'), table.hasStart('e1@9000')]).toEqual([true, false])
  })

  it('is not replaced by late rows of its previous start while it writes as often', () => {
    table.onRow(rowOf({ bornAtMs: 2000, listedVersion: 2 }))
    for (let version = 3; version < 30; version += 3) {
      table.onRow(rowOf({ bornAtMs: 1000, listedVersion: version }))
      table.onRow(rowOf({ bornAtMs: 1000, listedVersion: version + 1 }))
      table.onRow(rowOf({ bornAtMs: 2000, listedVersion: version + 2 }))
    }
    expect(table.hasStart('e1@2000')).toBe(true)
  })

  it('does not inherit the time at which its previous start began to drain', () => {
    table.onRow(rowOf({ bornAtMs: 1000, state: 'draining' }))
    table.onRemoved('e2')
    clock.advance(LAST_RESORT_MS + 1)
    expect(usableIds()).toEqual([])
    table.onRow(rowOf({ bornAtMs: 2000, state: 'draining' }))
    expect(usableIds()).toEqual(['e1'])
  })

  it('does not retain its previous start once the new one is listed', () => {
    lastFailureMs = clock.nowMs() - 500
    table.onRow(rowOf({ bornAtMs: 2000, listedVersion: 2 }))
    table.onRemoved('e1')
    expect(table.usable('s').map(endpoint => endpoint.startId)).toEqual(['e2@1000', 'e1@2000'])
  })
})

describe('unusable rows', () => {
  const UNUSABLE = { row: 'unusable' as const, id: 'e1', field: 'state', reason: 'not known' }

  it('evict the endpoint that they replace at once, also after an outage', () => {
    lastFailureMs = clock.nowMs() - 500
    table.onRow(UNUSABLE)
    expect(usableIds()).toEqual(['e2'])
    expect(table.atAddress(ENDPOINT.address)).toBeUndefined()
    table.onRow(rowOf())
    expect(usableIds()).toEqual(['e2', 'e1'])
  })

  it('evict it in a listing too, and a later usable row restores it', () => {
    lastFailureMs = clock.nowMs() - 500
    table.onListing([UNUSABLE, rowOf({ id: 'e2', address: '10.0.0.2:80' })])
    expect(usableIds()).toEqual(['e2'])
    table.onListing([rowOf(), rowOf({ id: 'e2', address: '10.0.0.2:80' })])
    expect(usableIds().sort()).toEqual(['e1', 'e2'])
  })

  it('include rows that lack the start time that an earlier row had', () => {
    table.onListing([rowOf({ bornAtMs: 1000 }), rowOf({ id: 'e2', address: '10.0.0.2:80', bornAtMs: 1000 })])
    table.onRow(rowOf())
    expect(usableIds()).toEqual(['e2'])
  })

  it('include rows without a start time only if most endpoints report theirs', () => {
    table.onListing([rowOf({ bornAtMs: 1000 }), rowOf({ id: 'e2', address: '10.0.0.2:80', bornAtMs: 1000 }), rowOf({ id: 'e3', address: '10.0.0.3:80' })])
    expect(usableIds()).toEqual(['e1', 'e2'])
    table.onListing([rowOf({ id: 'f1' }), rowOf({ id: 'f2', address: '10.0.0.2:80' }), rowOf({ id: 'f3', address: '10.0.0.3:80', bornAtMs: 1000 })])
    expect(usableIds().sort()).toEqual(['f1', 'f2', 'f3'])
  })

  it('include rows of services that are not configured, until they are', () => {
    table.onRow(rowOf({ id: 'e3', service: 'other', listedVersion: 9 }))
    expect(usableIds()).toEqual(['e1', 'e2'])
    expect(table.usable('other')).toEqual([])
    services = ['s', 'other']
    table.onServicesChanged()
    expect(table.usable('other').map(endpoint => endpoint.id)).toEqual(['e3'])
    expect(usableIds()).toEqual(['e2'])
  })
})
