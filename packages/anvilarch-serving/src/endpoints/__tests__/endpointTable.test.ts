import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import type { Endpoint } from '../../model/types'
import { createEndpointTable, type EndpointTable, LAPSE_HOLD_MS, LAST_RESORT_MS, MIN_LAPSE_OUTAGE_MS } from '../endpointTable'

const ENDPOINT: Endpoint = { id: 'e1', service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1 }

let clock: FakeClock
let lastFailureMs: number | undefined
let lastOutageMs: number
let table: EndpointTable

beforeEach(() => {
  clock = createFakeClock(100_000)
  lastFailureMs = undefined
  lastOutageMs = MIN_LAPSE_OUTAGE_MS
  table = createEndpointTable({ clock, log: SILENT_LOGGER, contact: { lastFailureMs: () => lastFailureMs, lastOutageMs: () => lastOutageMs } })
  table.onListing([ENDPOINT, { ...ENDPOINT, id: 'e2', address: '10.0.0.2:80' }])
})

function usableIds (): string[] {
  return table.usable('s').map(endpoint => endpoint.id)
}

describe('usable', () => {
  it('leaves draining endpoints out while there are others', () => {
    table.onEntry({ ...ENDPOINT, state: 'draining' })
    expect(usableIds()).toEqual(['e2'])
  })

  it('falls back to an endpoint that has just begun to leave, for a short time', () => {
    table.onEntry({ ...ENDPOINT, state: 'draining' })
    table.onRemoved('e2')
    expect(usableIds()).toEqual(['e1', 'e2'])
    clock.advance(LAST_RESORT_MS + 1)
    expect(usableIds()).toEqual([])
  })

  it('does not lengthen that time when a draining endpoint is removed', () => {
    table.onRemoved('e2')
    table.onEntry({ ...ENDPOINT, state: 'draining' })
    clock.advance(LAST_RESORT_MS - 1)
    table.onRemoved('e1')
    clock.advance(2)
    expect(usableIds()).toEqual([])
  })

  // Symptom: callers are refused for seconds after an outage of the store, although all endpoints are well.
  // Sequence: the store is away; entries lapse meanwhile; it returns, and the entries come back up to two seconds later.
  // Cause: a lapsed entry looks like that of an endpoint that is gone.
  it('keeps entries that may only have lapsed until they can be back', () => {
    lastFailureMs = clock.nowMs() - 500
    table.onListing([])
    expect(usableIds()).toEqual(['e1', 'e2'])
    clock.advance(LAPSE_HOLD_MS - 1)
    table.onEntry(ENDPOINT)
    clock.advance(2)
    expect(usableIds()).toEqual(['e1'])
  })
})

describe('an endpoint whose entry is removed soon after a failed call', () => {
  // Symptom: requests reach an endpoint more than two seconds after the store has said that it leaves.
  // Sequence: connections of a gateway are reset, so that a call or two to the store fail; two seconds later an endpoint leaves.
  // Cause: any failed call was taken for an outage in which entries lapse, and a lapsed entry was kept beyond the bound.
  it('is left alone if the store has failed for too short a time for entries to lapse', () => {
    lastFailureMs = clock.nowMs() - 1800
    lastOutageMs = MIN_LAPSE_OUTAGE_MS - 1
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
  // Symptom: for some seconds after engines have restarted, requests are refused and items are sent and refused again.
  // Sequence: the engine lists its new incarnation; the entry of the former one is still there for three heartbeats.
  // Cause: both entries were taken for endpoints, and an agent found the former one at its engine's address.
  it('is sent to as its new incarnation only', () => {
    table.onEntry({ ...ENDPOINT, id: 'e3', listedVersion: 5 })
    expect(usableIds()).toEqual(['e2', 'e3'])
    expect(table.atAddress(ENDPOINT.address)?.id).toBe('e3')
    table.onEntry({ ...ENDPOINT, listedVersion: 1 })
    expect(usableIds()).toEqual(['e2', 'e3'])
  })
})

describe('atAddress', () => {
  // Symptom: an agent sends items to an engine more than two seconds after the store has said that it leaves.
  // Sequence: the engine's entry is removed without having been marked as draining; the engine serves on for a while.
  // Cause: the entry was still found by its address, in its last state.
  it('does not find an endpoint whose entry is gone', () => {
    table.onRemoved('e1')
    expect(table.atAddress(ENDPOINT.address)).toBeUndefined()
  })

  it('finds the new incarnation at an address', () => {
    table.onRemoved('e1')
    table.onEntry({ ...ENDPOINT, id: 'e3' })
    expect(table.atAddress(ENDPOINT.address)?.id).toBe('e3')
  })

  it('finds an endpoint whose entry may only have lapsed', () => {
    lastFailureMs = clock.nowMs()
    table.onRemoved('e1')
    expect(table.atAddress(ENDPOINT.address)?.id).toBe('e1')
    clock.advance(LAPSE_HOLD_MS)
    expect(table.atAddress(ENDPOINT.address)).toBeUndefined()
  })
})
