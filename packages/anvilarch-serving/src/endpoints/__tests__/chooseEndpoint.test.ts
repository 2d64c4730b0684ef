import type { Endpoint } from '../../model/types'
import { chooseEndpoint, type ChoiceInput, DEFAULT_PLACEMENT_WEIGHTS } from '../chooseEndpoint'
import type { EndpointLoad } from '../loadTable'

function endpoint (id: string, change: Partial<Endpoint> = {}): Endpoint {
  return { id, startId: id, bornAtMs: undefined, service: 's', address: id, failureDomain: 'b', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1, ...change }
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
  it('takes the one with the least online work', () => {
    expect(choose(TWO, { e1: { online: 3 }, e2: { online: 2 } })).toBe('e2')
  })

  it('prefers a slot that batch would have to leave to a queue', () => {
    expect(choose(TWO, { e1: { online: 8 }, e2: { online: 2, batchRunning: 5 } })).toBe('e2')
  })

  it('takes a free slot rather than one from a batch item', () => {
    expect(choose(TWO, { e1: { online: 2, batchRunning: 5 }, e2: { online: 4 } })).toBe('e2')
  })

  it('prefers an endpoint to which a connection is open, while loads are alike', () => {
    const connected = { hasIdleConnection: (candidate: Endpoint) => candidate.id === 'e2' }
    expect(choose(TWO, {}, connected)).toBe('e2')
    expect(choose(TWO, { e2: { online: 2 } }, connected)).toBe('e1')
  })

  // Guards against this: requests of a plain service, one after another, all go to the same endpoint of several.
  it('does not hold to an endpoint whose load nobody tells', () => {
    const connected = { hasIdleConnection: (candidate: Endpoint) => candidate.id === 'e2' }
    expect(choose(TWO, { e1: { ageMs: Infinity }, e2: { ageMs: Infinity } }, connected)).toBe('e1')
  })

  it('keeps requests with a shared part together while loads are alike', () => {
    const chosen = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6'].map(part => choose(TWO, {}, { sharedPrefixes: [part] }))
    expect(chosen).toEqual(['p1', 'p2', 'p3', 'p4', 'p5', 'p6'].map(part => choose([TWO[1], TWO[0]], {}, { sharedPrefixes: [part], random: () => 0.9 })))
    expect(new Set(chosen).size).toBe(2)
    expect(choose(TWO, { [chosen[0] ?? '']: { online: 1 } }, { sharedPrefixes: ['p1'] })).not.toBe(chosen[0])
  })

  it('stays in its failure domain between equals only', () => {
    const mixed = [endpoint('far'), endpoint('near', { failureDomain: 'a' })]
    expect(choose(mixed, {})).toBe('near')
    expect(choose(mixed, { near: { online: 1 } })).toBe('far')
  })

  it('passes over endpoints under suspicion, unless there are no others', () => {
    expect(choose(TWO, { e1: { suspected: true }, e2: { online: 9 } })).toBe('e2')
    expect(choose(TWO, { e1: { suspected: true }, e2: { suspected: true, online: 9 } })).toBe('e1')
  })

  it('takes none where there is none', () => {
    expect(choose([], {})).toBeUndefined()
  })

  it('does not compare what is known now with what was known before', () => {
    expect(choose(TWO, { e1: { online: 3 }, e2: { online: 0, ageMs: 300 } })).toBe('e1')
    expect(choose(TWO, { e1: { online: 3, ageMs: 400 }, e2: { online: 0, ageMs: 300 } })).toBe('e2')
  })

  // Guards against this: engines whose agents are lost stand idle while requests queue at the others.
  it('uses an endpoint whose agent is lost when those that are known are busier than it probably is', () => {
    const lost = { isResponsive: (candidate: Endpoint) => candidate.id !== 'e2' }
    expect(choose(TWO, { e1: { online: 0 }, e2: { ownInProgress: 0, ageMs: Infinity } }, lost)).toBe('e1')
    expect(choose(TWO, { e1: { online: 6 }, e2: { ownInProgress: 1, ageMs: Infinity } }, lost)).toBe('e2')
  })

  it('goes on to an endpoint that is not known when all that are known are under suspicion', () => {
    expect(choose(TWO, { e1: { suspected: true }, e2: { ageMs: 500 } })).toBe('e2')
  })
})
