import { createRandom } from 'anvilarch-utils'
import type { Endpoint } from '../../model/types'
import type { EndpointLoad } from '../loadTable'
import { MAX_CONNECTED_PROBES, INITIAL_PROBES, MAX_FRESH_AGE_MS, ADDITIONAL_PROBES, type ProbeTargetInput, probeTargets } from '../probeTargets'

const ENDPOINTS: Endpoint[] = Array.from({ length: 40 }, (_, index) => ({
  id: `e${index}`, startId: `e${index}`, bornAtMs: undefined, service: 's', address: 'a', failureDomain: 'a', softwareVersion: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1
}))

function input (loads: Record<string, Partial<EndpointLoad>>, change: Partial<ProbeTargetInput> = {}): ProbeTargetInput {
  const random = createRandom(5)
  return {
    candidates: ENDPOINTS,
    preferred: undefined,
    loadOf: ({ id }) => ({ online: 4, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: 500, ...loads[id] }),
    hasIdleConnection: () => false,
    isResponsive: () => true,
    random: () => random.next(),
    ...change
  }
}

describe('probeTargets', () => {
  it('selects a few endpoints on a fleet of any size: the preferred one, the one with the lowest known load, and some at random', () => {
    const selected = probeTargets.initial(input({ e9: { online: 1 } }, { preferred: ENDPOINTS[17] })).map(endpoint => endpoint.id)
    expect(selected).toHaveLength(INITIAL_PROBES)
    expect(selected).toEqual(expect.arrayContaining(['e17', 'e9']))
    expect(new Set(selected).size).toBe(INITIAL_PROBES)
  })

  it('selects some endpoints with an open connection and some at random', () => {
    const connected = new Set(['e1', 'e2', 'e3', 'e4', 'e5'])
    const selected = probeTargets.initial(input({ e9: { online: 1 } }, { hasIdleConnection: ({ id }) => connected.has(id) })).map(endpoint => endpoint.id)
    expect(selected.filter(id => connected.has(id))).toHaveLength(MAX_CONNECTED_PROBES)
    expect(selected).toHaveLength(INITIAL_PROBES)
  })

  it('does not select endpoints with a fresh load', () => {
    expect(probeTargets.initial(input({ e9: { online: 1, ageMs: MAX_FRESH_AGE_MS } }, { candidates: ENDPOINTS.slice(8, 12) })).map(endpoint => endpoint.id)).not.toContain('e9')
  })

  it('selects all endpoints of a small fleet', () => {
    expect(probeTargets.initial(input({}, { candidates: ENDPOINTS.slice(0, 3) }))).toHaveLength(3)
  })

  it('selects additional endpoints only if all with a fresh load are full', () => {
    const selected = ENDPOINTS.slice(0, 4)
    const full = Object.fromEntries(selected.map(({ id }) => [id, { online: 8, ageMs: 1 }]))
    const more = probeTargets.additional(input(full), selected)
    expect(more).toHaveLength(ADDITIONAL_PROBES)
    expect(more.some(endpoint => selected.includes(endpoint))).toBe(false)
    expect(probeTargets.additional(input({ ...full, e2: { online: 7, ageMs: 1 } }), selected)).toEqual([])
  })
})
