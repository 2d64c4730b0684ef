import { create } from '@bufbuild/protobuf'
import { EndpointLoadSchema, EndpointStateSchema } from 'anvilarch-protocol'
import { createRandom } from 'anvilarch-utils'
import { createFakeDirectory, createTestContext, TEST_DOCUMENT } from '../../attempts/__fixtures__/testContext'
import type { AgentView } from '../../membership/types'
import { candidatesByService } from '../candidates'
import { createLoadTable } from '../loadTable'
import { chooseTarget } from '../policies'
import { createRouter } from '../router'
import type { PolicyInput, RoutingPolicy, Target } from '../types'

const target = (name: string, more: Partial<Target> = {}): Target => ({ key: `${name}/e`, agent: name, address: '', endpoint: 'e', incarnation: '1', failureDomain: 'hall-a', region: 'west', ...more })
const load = (runningOnline: number, freeOnline = 10): ReturnType<typeof create<typeof EndpointLoadSchema>> => create(EndpointLoadSchema, { runningOnline, freeOnline, freeBatch: 4 })

function input (targets: Target[], loads: Record<string, number>, more: Partial<PolicyInput> = {}): PolicyInput {
  return {
    service: 's',
    workClass: 'online',
    affinityKey: '',
    exclude: new Set(),
    avoid: new Set(),
    targets,
    ownFailureDomain: 'hall-a',
    ownRegion: 'west',
    turn: 0,
    loadOf: each => ({ requests: loads[each.agent] ?? 0, free: 10 - (loads[each.agent] ?? 0) }),
    random: createRandom(1).next,
    ...more
  }
}

function agent (name: string, more: Partial<AgentView> = {}, endpoint: Record<string, unknown> = {}): AgentView {
  return {
    name,
    host: name,
    address: `${name}:1`,
    operationsAddress: '',
    incarnation: '1',
    failureDomain: 'hall-a',
    region: 'west',
    state: 'serving',
    configurationVersion: 1,
    lastHeardMs: 0,
    endpoints: [create(EndpointStateSchema, { endpoint: 'e', kind: 'model', service: 'writer', health: 'ready', models: [{ model: 'large', version: '1', state: 'ready' }], ...endpoint })],
    ...more
  }
}

describe('candidatesByService', () => {
  const of = (...agents: AgentView[]): string[] => (candidatesByService(agents, TEST_DOCUMENT).get('writer') ?? []).map(each => each.agent)

  it('omits agents that are draining or unreachable, and endpoints that are not ready', () => {
    expect(of(agent('a'), agent('b', { state: 'draining' }), agent('c', { state: 'unreachable' }), agent('d', {}, { health: 'crashed' }))).toEqual(['a'])
  })

  it('omits endpoints of another service, or whose model is still loading', () => {
    expect(of(agent('a'), agent('b', {}, { service: 'names' }), agent('c', {}, { models: [{ model: 'large', version: '1', state: 'loading' }] }))).toEqual(['a'])
  })

  it('keeps serving with the previous version until the one of the document is loaded somewhere', () => {
    const former = { models: [{ model: 'large', version: '0', state: 'ready' }] }
    expect(of(agent('a', {}, former))).toEqual(['a'])
    expect(of(agent('a', {}, former), agent('b'))).toEqual(['b'])
  })
})

describe('chooseTarget', () => {
  const three = ['a', 'b', 'c'].map(name => target(name))
  const policies: RoutingPolicy[] = ['affinity', 'round_robin', 'random', 'least_reported_load']

  it.each(policies)('never chooses an excluded endpoint, and returns undefined when none is left: %s', policy => {
    const exclude = new Set(['a/e', 'c/e'])
    expect(chooseTarget(policy, input(three, {}, { exclude, affinityKey: 'p' }))?.agent).toBe('b')
    expect(chooseTarget(policy, input(three, {}, { exclude: new Set(three.map(each => each.key)) }))).toBeUndefined()
  })

  it.each(policies)('chooses an endpoint to avoid only when no other is left: %s', policy => {
    const avoid = new Set(['a/e', 'c/e'])
    expect(chooseTarget(policy, input(three, { b: 9 }, { avoid, affinityKey: 'p' }))?.agent).toBe('b')
    expect(chooseTarget(policy, input(three, {}, { avoid, exclude: new Set(['b/e', 'c/e']) }))?.agent).toBe('a')
  })

  it('sends the same prefix to the same endpoint, also after another one was removed', () => {
    const chosen = (targets: Target[], key: string): string | undefined => chooseTarget('affinity', input(targets, {}, { affinityKey: key }))?.agent
    const keys = Array.from({ length: 200 }, (_, each) => `prefix-${each}`)
    const before = keys.map(key => chosen(three, key))
    expect(new Set(before).size).toBe(3)
    const stayed = keys.filter((key, each) => before[each] !== 'c' && chosen(three.slice(0, 2), key) !== before[each])
    expect(stayed).toEqual([])
  })

  it('chooses the next endpoint in hash order once the first has more than its share', () => {
    const first = chooseTarget('affinity', input(three, {}, { affinityKey: 'hot' }))?.agent as string
    const second = chooseTarget('affinity', input(three, { [first]: 9 }, { affinityKey: 'hot' }))?.agent
    expect(second).not.toBe(first)
  })

  it('stays with the endpoint of a prefix while few requests run there', () => {
    const first = chooseTarget('affinity', input(three, {}, { affinityKey: 'hot' }))?.agent as string
    expect(chooseTarget('affinity', input(three, { [first]: 3 }, { affinityKey: 'hot' }))?.agent).toBe(first)
  })

  it('keeps every endpoint near the mean when all requests share one prefix', () => {
    const loads: Record<string, number> = { a: 0, b: 0, c: 0 }
    for (let sent = 0; sent < 300; sent++) loads[chooseTarget('affinity', input(three, loads, { affinityKey: 'hot' }))?.agent as string]++
    expect(Math.max(...Object.values(loads))).toBeLessThanOrEqual(126)
  })

  it('prefers its own failure domain when loads are similar, and the less loaded endpoint otherwise', () => {
    const pair = [target('near'), target('far', { failureDomain: 'hall-b' })]
    expect(chooseTarget('affinity', input(pair, { near: 3, far: 2 }))?.agent).toBe('near')
    expect(chooseTarget('affinity', input(pair, { near: 6, far: 2 }))?.agent).toBe('far')
  })

  it('stays in its own region while there is capacity, and uses another one when there is none', () => {
    const pair = [target('near'), target('far', { region: 'east' })]
    expect(chooseTarget('affinity', input(pair, { near: 9 }))?.agent).toBe('near')
    expect(chooseTarget('affinity', input(pair, { near: 10 }))?.agent).toBe('far')
  })
})

describe('createLoadTable', () => {
  it('adds requests that were sent and have no response yet to the last report', () => {
    const table = createLoadTable()
    table.noteReport('a', load(3, 5))
    table.noteSent('a', 'online')
    table.noteSent('a', 'lookup')
    expect(table.estimate('a', 'online')).toEqual({ requests: 5, free: 3 })
    expect(table.estimate('a', 'batch')).toEqual({ requests: 0, free: 4 })
    table.noteResponded('a', 'online')
    table.noteReport('a', load(4, 4))
    expect(table.estimate('a', 'online')).toEqual({ requests: 5, free: 3 })
  })

  it('removes endpoints that are no longer listed, but not while requests of this gateway are in progress there', () => {
    const table = createLoadTable()
    table.noteReport('a', load(3))
    table.noteSent('b', 'batch')
    table.retain(new Set())
    expect([table.estimate('a', 'online').requests, table.estimate('b', 'batch').requests]).toEqual([0, 1])
  })
})

describe('createRouter', () => {
  it('applies changes of the directory at once, and sums the free batch slots of a service', () => {
    const directory = createFakeDirectory([agent('a', {}, { load: load(0) }), agent('b', {}, { load: load(0) })])
    const router = createRouter(createTestContext(), directory)
    const choose = (): string[] => Array.from({ length: 20 }, () => router.choose({ service: 'writer', workClass: 'online', affinityKey: '', exclude: new Set(), avoid: new Set() })?.agent ?? '')
    expect(router.freeBatch('writer')).toBe(8)
    expect(new Set(choose())).toEqual(new Set(['a', 'b']))
    directory.noteDraining('a')
    router.invalidate()
    expect(new Set(choose())).toEqual(new Set(['b']))
    expect(router.freeBatch('writer')).toBe(4)
  })

  // Guards against a restarted engine that receives no requests, because its previous process failed.
  it('does not count the failures of an endpoint against its restarted process', () => {
    const directory = createFakeDirectory([agent('a'), agent('b')])
    const router = createRouter(createTestContext(), directory)
    const choose = (): string[] => Array.from({ length: 20 }, () => router.choose({ service: 'writer', workClass: 'online', affinityKey: '', exclude: new Set(), avoid: new Set() })?.agent ?? '')
    for (let outcome = 0; outcome < 3; outcome++) {
      router.noteOutcome(target('a'), true)
      router.noteOutcome(target('b'), false)
    }
    expect(new Set(choose())).toEqual(new Set(['b']))
    directory.noteEndpointDown('a', 'e')
    router.invalidate()
    expect(new Set(choose())).toEqual(new Set(['b']))
    directory.views[0] = agent('a')
    router.invalidate()
    expect(new Set(choose())).toEqual(new Set(['a', 'b']))
  })
})
