import type { Endpoint } from '../../model/types'
import { chooseEndpoint, type ChoiceInput, DEFAULT_PLACEMENT_WEIGHTS } from '../chooseEndpoint'
import type { EndpointLoad } from '../loadTable'

function endpoint (id: string, change: Partial<Endpoint> = {}): Endpoint {
  return { id, startId: id, bornAtMs: undefined, service: 's', address: id, failureDomain: 'b', softwareVersion: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1, ...change }
}

function choose (candidates: Endpoint[], loads: Record<string, Partial<EndpointLoad>>, change: Partial<ChoiceInput> = {}): string | undefined {
  return chooseEndpoint({
    candidates,
    loadOf: ({ id }) => ({ online: 0, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: 0, ...loads[id] }),
    isResponsive: () => true,
    gatewayCount: 4,
    sharedPrefixes: [],
    ownFailureDomain: 'a',
    hasIdleConnection: () => false,
    weights: DEFAULT_PLACEMENT_WEIGHTS,
    random: () => 0,
    ...change
  })?.id
}

const TWO = [endpoint('e1'), endpoint('e2')]

describe('chooseEndpoint', () => {
  it('chooses the endpoint with the fewest online requests', () => {
    expect(choose(TWO, { e1: { online: 3 }, e2: { online: 2 } })).toBe('e2')
  })

  it('prefers a slot that a batch item occupies to a queue', () => {
    expect(choose(TWO, { e1: { online: 8 }, e2: { online: 2, batchRunning: 5 } })).toBe('e2')
  })

  it('prefers a free slot to a slot that a batch item occupies', () => {
    expect(choose(TWO, { e1: { online: 2, batchRunning: 5 }, e2: { online: 4 } })).toBe('e2')
  })

  it('prefers an endpoint with an open connection if loads are similar', () => {
    const connected = { hasIdleConnection: (candidate: Endpoint) => candidate.id === 'e2' }
    expect(choose(TWO, {}, connected)).toBe('e2')
    expect(choose(TWO, { e2: { online: 2 } }, connected)).toBe('e1')
  })

  // Guards against sequential requests of a plain service, whose endpoints have no agents, all going to the same endpoint.
  it('ignores open connections if no agent reports the load', () => {
    const connected = { hasIdleConnection: (candidate: Endpoint) => candidate.id === 'e2' }
    expect(choose(TWO, { e1: { ageMs: Infinity }, e2: { ageMs: Infinity } }, connected)).toBe('e1')
  })

  it('sends requests with a shared prefix to the same endpoint if loads are similar', () => {
    const chosen = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6'].map(part => choose(TWO, {}, { sharedPrefixes: [part] }))
    expect(chosen).toEqual(['p1', 'p2', 'p3', 'p4', 'p5', 'p6'].map(part => choose([TWO[1], TWO[0]], {}, { sharedPrefixes: [part], random: () => 0.9 })))
    expect(new Set(chosen).size).toBe(2)
    expect(choose(TWO, { [chosen[0] ?? '']: { online: 1 } }, { sharedPrefixes: ['p1'] })).not.toBe(chosen[0])
  })

  it('prefers its own failure domain only if loads are equal', () => {
    const mixed = [endpoint('far'), endpoint('near', { failureDomain: 'a' })]
    expect(choose(mixed, {})).toBe('near')
    expect(choose(mixed, { near: { online: 1 } })).toBe('far')
  })

  it('skips suspected endpoints unless there are no others', () => {
    expect(choose(TWO, { e1: { suspected: true }, e2: { online: 9 } })).toBe('e2')
    expect(choose(TWO, { e1: { suspected: true }, e2: { suspected: true, online: 9 } })).toBe('e1')
  })

  it('returns undefined without candidates', () => {
    expect(choose([], {})).toBeUndefined()
  })

  it('does not compare fresh loads with stale ones', () => {
    expect(choose(TWO, { e1: { online: 3 }, e2: { online: 0, ageMs: 300 } })).toBe('e1')
    expect(choose(TWO, { e1: { online: 3, ageMs: 400 }, e2: { online: 0, ageMs: 300 } })).toBe('e2')
  })

  // Guards against engines staying idle because their agents are unresponsive, while requests queue at the others.
  it('uses an endpoint with an unresponsive agent if its estimated load is lower than the reported loads', () => {
    const unresponsive = { isResponsive: (candidate: Endpoint) => candidate.id !== 'e2' }
    expect(choose(TWO, { e1: { online: 0 }, e2: { ownInProgress: 0, ageMs: Infinity } }, unresponsive)).toBe('e1')
    expect(choose(TWO, { e1: { online: 6 }, e2: { ownInProgress: 1, ageMs: Infinity } }, unresponsive)).toBe('e2')
  })

  it('falls back to an endpoint with a stale load if all with a fresh load are suspected', () => {
    expect(choose(TWO, { e1: { suspected: true }, e2: { ageMs: 500 } })).toBe('e2')
  })
})
