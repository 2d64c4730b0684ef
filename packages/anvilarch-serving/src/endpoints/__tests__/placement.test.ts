import { createFakeClock } from 'anvilarch-utils'
import type { Endpoint } from '../../model/types'
import { createLoadTable } from '../loadTable'
import { createPlacement, type Placement } from '../placement'

function endpoint (id: string): Endpoint {
  return { id, bornAtMs: undefined, startId: id, service: 's', address: `${id}:1`, failureDomain: 'a', softwareVersion: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1 }
}

function placementOf (listed: readonly string[]): Placement {
  return createPlacement({
    endpoints: { usable: () => listed.map(endpoint) },
    loads: createLoadTable(createFakeClock()),
    prober: { probe: async () => {}, isResponsive: () => true },
    ownFailureDomain: 'a',
    gatewayCount: () => 1,
    openConnections: () => 0,
    random: () => 0
  })
}

const CRITERIA = { service: 's', sharedPrefixes: [], gapObjectiveMs: 0 }

describe('a placement', () => {
  it('chooses no endpoint that is excluded', () => {
    expect(placementOf(['a', 'b']).choose({ ...CRITERIA, excluded: new Set(['a']) })?.id).toBe('b')
  })

  it('chooses only endpoints that are allowed and listed', () => {
    const allowed = new Set(['b', 'gone'])
    expect(placementOf(['a', 'b', 'c']).choose({ ...CRITERIA, excluded: new Set(), allowed })?.id).toBe('b')
    expect(placementOf(['a', 'c']).choose({ ...CRITERIA, excluded: new Set(), allowed })).toBeUndefined()
  })
})
