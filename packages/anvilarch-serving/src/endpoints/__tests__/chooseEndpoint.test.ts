import type { Endpoint } from '../../model/types'
import { chooseEndpoint, type ChoiceInput } from '../chooseEndpoint'
import type { EndpointLoad } from '../loadTable'

function endpoint (id: string, change: Partial<Endpoint> = {}): Endpoint {
  return { id, startId: id, bornAtMs: undefined, service: 's', address: id, failureDomain: 'b', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1, ...change }
}

function choose (candidates: Endpoint[], loads: Record<string, Partial<EndpointLoad>>, change: Partial<ChoiceInput> = {}): string | undefined {
  return chooseEndpoint({
    candidates,
    loadOf: id => ({ online: 0, waiting: 0, batchRunning: 0, ownInProgress: 0, suspected: false, ...loads[id] }),
    excluded: new Set(),
    sharedParts: [],
    ownFailureDomain: 'a',
    draw: () => 0,
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

  it('keeps requests with a shared part together while loads are alike', () => {
    const chosen = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6'].map(part => choose(TWO, {}, { sharedParts: [part] }))
    expect(chosen).toEqual(['p1', 'p2', 'p3', 'p4', 'p5', 'p6'].map(part => choose([TWO[1], TWO[0]], {}, { sharedParts: [part], draw: () => 0.9 })))
    expect(new Set(chosen).size).toBe(2)
    expect(choose(TWO, { [chosen[0] ?? '']: { online: 1 } }, { sharedParts: ['p1'] })).not.toBe(chosen[0])
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

  it('takes none that has been tried', () => {
    expect(choose(TWO, {}, { excluded: new Set(['e1', 'e2']) })).toBeUndefined()
  })
})
