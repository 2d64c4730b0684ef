import type { EndpointLoad } from 'anvilarch-protocol'
import { createLifecycleManager } from 'anvilarch-utils'
import { documentText } from '../../configuration/__fixtures__/documents'
import { applyConfiguration } from '../../configuration/applyConfiguration'
import { createFakeFleet, type FakeFleet, hostEntry } from '../__fixtures__/fakeAgents'
import { type Membership, startMembership } from '../startMembership'

/** Fleet size that the design must support. */
const AGENTS = 340
/** Maximum time until a configuration change is active on all agents. */
const IN_FORCE_MS = 13_000

interface Started extends FakeFleet {
  directory: Membership
  fingerprints: string[]
  suspects: string[]
}

async function startFleet (count: number): Promise<Started> {
  const fleet = createFakeFleet(count)
  const lifecycle = createLifecycleManager({ clock: fleet.clock })
  const fingerprints: string[] = []
  const quarantine = { has: () => false, add: () => {}, list: () => fingerprints, addedSince: (sequence: number) => ({ fingerprints: fingerprints.slice(sequence), sequence: fingerprints.length }) }
  const suspects: string[] = []
  const parts = { clients: fleet.clients, quarantine, suspects: { add: (fingerprint: string) => { suspects.push(fingerprint) } } }
  const directory = await startMembership(fleet.context, parts, lifecycle)
  return { ...fleet, directory, fingerprints, suspects }
}

const countExchanges = (fleet: FakeFleet): number => fleet.agents.reduce((sum, agent) => sum + agent.exchanges.length, 0)
const stateOf = (fleet: Started, index: number): string | undefined => fleet.directory.get(`agent-${fleet.agents[index].address}`)?.state
const apply = async (fleet: Started, variant: number): Promise<unknown> =>
  await applyConfiguration(fleet.context, { documentText: documentText(variant), fileName: 'd', appliedBy: 'ana' })

describe('startMembership', () => {
  it('discovers 340 agents within 5 s and then makes at most 4 exchanges a second, over all agents', async () => {
    const fleet = await startFleet(AGENTS)
    await fleet.clock.advanceAsync(5000)
    expect(fleet.directory.list().filter(agent => agent.state === 'serving')).toHaveLength(AGENTS)
    const before = countExchanges(fleet)
    await fleet.clock.advanceAsync(300_000)
    expect((countExchanges(fleet) - before) / 300).toBeLessThanOrEqual(4)
    expect(Math.min(...fleet.agents.map(agent => agent.exchanges.length))).toBeGreaterThanOrEqual(3)
  })

  // Guards against a restarted gateway that rejects work with "no endpoint of this service is ready", although all endpoints are.
  it('is initialized only once every listed agent was queried', async () => {
    const fleet = await startFleet(2)
    fleet.agents[1].fault = 'silent'
    expect(fleet.directory.isInitialized()).toBe(false)
    await fleet.clock.advanceAsync(500)
    expect(fleet.agents[0].exchanges.length).toBeGreaterThan(0)
    expect(fleet.directory.isInitialized()).toBe(false)
    await fleet.clock.advanceAsync(5000)
    expect(fleet.directory.isInitialized()).toBe(true)
    fleet.hosts.push(hostEntry('10.0.0.1:9'))
    await fleet.clock.advanceAsync(2500)
    expect(fleet.directory.isInitialized()).toBe(true)
  })

  it('pushes a change to 340 agents within the activation time', async () => {
    const fleet = await startFleet(AGENTS)
    await fleet.clock.advanceAsync(5000)
    await apply(fleet, 1)
    await fleet.clock.advanceAsync(IN_FORCE_MS)
    expect(fleet.agents.map(agent => agent.version)).toEqual(Array(AGENTS).fill(1))
    expect(fleet.agents.every(agent => agent.pushes === 1)).toBe(true)
  })

  // Guards against a change that takes more than a minute to become active on one agent.
  it('pushes again when a push was lost', async () => {
    const fleet = await startFleet(AGENTS)
    await fleet.clock.advanceAsync(5000)
    fleet.agents[7].fault = 'silent'
    await apply(fleet, 1)
    await fleet.clock.advanceAsync(4000)
    fleet.agents[7].fault = 'none'
    await fleet.clock.advanceAsync(IN_FORCE_MS - 4000)
    expect(fleet.agents[7].version).toBe(1)
  })

  // Guards against a new service that is unavailable through one gateway, because it has not yet discovered the endpoints.
  it('queries model endpoints more often while a service lacks endpoints, but only for a limited time', async () => {
    const fleet = await startFleet(AGENTS)
    for (const agent of fleet.agents) agent.models = []
    await fleet.clock.advanceAsync(5000)
    await apply(fleet, 1)
    await fleet.clock.advanceAsync(20_000)
    const during = countExchanges(fleet)
    expect(Math.min(...fleet.agents.map(agent => agent.exchanges.length))).toBeGreaterThanOrEqual(2)
    await fleet.clock.advanceAsync(180_000)
    const after = countExchanges(fleet)
    await fleet.clock.advanceAsync(100_000)
    expect(during).toBeLessThan(after)
    expect((countExchanges(fleet) - after) / 100).toBeLessThanOrEqual(4)
  })

  // Guards against an engine that stays idle for seconds after a crash, because gateways query its agent too late.
  it.each([{ health: 'crashed' }, { models: [{ model: 'm', version: '1', state: 'loading' }] }])('detects within half a second that an endpoint has changed, but queries an agent so often only for a limited time (%j)', async change => {
    const fleet = await startFleet(2)
    const [agent] = fleet.agents
    agent.models = []
    await fleet.clock.advanceAsync(5000)
    Object.assign(agent, change)
    await fleet.clock.advanceAsync(3000)
    agent.exchanges = []
    Object.assign(agent, { health: 'ready', models: [{ model: 'm', version: '1', state: 'ready' }] })
    await fleet.clock.advanceAsync(500)
    expect(fleet.directory.get(`agent-${agent.address}`)?.endpoints).toMatchObject([{ health: 'ready', models: [{ state: 'ready' }] }])
    Object.assign(agent, change)
    await fleet.clock.advanceAsync(20_000)
    agent.exchanges = []
    await fleet.clock.advanceAsync(20_000)
    expect(agent.exchanges.length).toBeLessThanOrEqual(21)
  })

  it('queries an agent that responds to attempts less often, and shows the load of these responses', async () => {
    const fleet = await startFleet(2)
    fleet.agents[0].models = []
    await fleet.clock.advanceAsync(2000)
    const before = fleet.agents.map(agent => agent.exchanges.length)
    for (let reply = 0; reply < 300; reply++) {
      fleet.directory.noteLoad(`agent-${fleet.agents[0].address}`, { endpoint: 'engine', queued: reply } as EndpointLoad)
      await fleet.clock.advanceAsync(100)
    }
    const asked = fleet.agents.map((agent, index) => agent.exchanges.length - before[index])
    expect(asked[0]).toBeLessThanOrEqual(asked[1] / 1.5)
    expect(fleet.directory.get(`agent-${fleet.agents[0].address}`)?.endpoints[0].load?.queued).toBeGreaterThan(290)
  })

  it('scales the poll interval of the host list with its size', async () => {
    const fleet = await startFleet(AGENTS)
    let reads = 0
    const { list } = fleet.platform.hosts
    fleet.platform.hosts.list = async () => {
      reads++
      return await list()
    }
    await fleet.clock.advanceAsync(60_000)
    expect(reads).toBeGreaterThanOrEqual(12)
    expect(reads).toBeLessThanOrEqual(18)
  })

  it('queries an agent soon after an order was sent to it', async () => {
    const fleet = await startFleet(AGENTS)
    await fleet.clock.advanceAsync(10_000)
    const [agent] = fleet.agents
    const before = agent.exchanges.length
    fleet.directory.noteOrderSent(`agent-${agent.address}`)
    await fleet.clock.advanceAsync(3000)
    expect(agent.exchanges.length).toBeGreaterThanOrEqual(before + 2)
    await fleet.clock.advanceAsync(60_000)
    expect(agent.exchanges.length).toBeLessThanOrEqual(before + 12)
  })

  it('pulls a higher version from an agent, once it has a configuration', async () => {
    const fleet = await startFleet(3)
    await apply(fleet, 1)
    const { hash, documentJson } = fleet.context.configuration.current() as { hash: string, documentJson: string }
    Object.assign(fleet.agents[2], { version: 5, hash, documentJson })
    await fleet.clock.advanceAsync(5000)
    expect(fleet.context.configuration.version()).toBe(5)
    expect(fleet.agents.map(agent => agent.version)).toEqual([5, 5, 5])
  })

  // Guards against requests that wait for an unresponsive agent.
  it('takes an unresponsive and a dead agent out of use, opens a new connection, and uses them again once they recover', async () => {
    const fleet = await startFleet(3)
    await fleet.clock.advanceAsync(2000)
    fleet.agents[0].fault = 'silent'
    fleet.agents[1].fault = 'dead'
    await fleet.clock.advanceAsync(6000)
    expect([0, 1, 2].map(index => stateOf(fleet, index))).toEqual(['unreachable', 'unreachable', 'serving'])
    expect(fleet.reconnected).toContain(fleet.agents[0].address)
    for (const agent of fleet.agents) agent.fault = 'none'
    await fleet.clock.advanceAsync(20_000)
    expect([0, 1].map(index => stateOf(fleet, index))).toEqual(['serving', 'serving'])
  })

  it('keeps an unlisted agent while it responds, and removes it when it does not', async () => {
    const fleet = await startFleet(2)
    await fleet.clock.advanceAsync(2000)
    fleet.hosts.splice(0, 2, hostEntry(fleet.agents[1].address, 'leaving'))
    await fleet.clock.advanceAsync(90_000)
    expect([0, 1].map(index => stateOf(fleet, index))).toEqual(['serving', 'draining'])
    fleet.agents[0].fault = 'dead'
    await fleet.clock.advanceAsync(90_000)
    expect(stateOf(fleet, 0)).toBeUndefined()
    expect(fleet.removed).toEqual([fleet.agents[0].address])
  })

  it('keeps its agents during an outage of the host list', async () => {
    const fleet = await startFleet(2)
    await fleet.clock.advanceAsync(2000)
    fleet.platform.outage = true
    await fleet.clock.advanceAsync(600_000)
    expect([0, 1].map(index => stateOf(fleet, index))).toEqual(['serving', 'serving'])
  })

  // Guards against a request that crashes one endpoint for each gateway through which it is sent.
  it('receives the suspects of a crash that another gateway caused', async () => {
    const fleet = await startFleet(2)
    await fleet.clock.advanceAsync(5000)
    fleet.agents[1].suspects = ['f1']
    await fleet.clock.advanceAsync(2000)
    expect(new Set(fleet.suspects)).toEqual(new Set(['f1']))
  })

  it('sends each quarantined fingerprint once to an incarnation, and all of them to its successor', async () => {
    const fleet = await startFleet(1)
    fleet.fingerprints.push('f1')
    await fleet.clock.advanceAsync(5000)
    fleet.fingerprints.push('f2')
    await fleet.clock.advanceAsync(5000)
    const [agent] = fleet.agents
    expect(agent.exchanges.flatMap(exchange => exchange.quarantined)).toEqual(['f1', 'f2'])
    agent.incarnation = 'successor'
    agent.exchanges = []
    await fleet.clock.advanceAsync(5000)
    expect(agent.exchanges.flatMap(exchange => exchange.quarantined)).toEqual(['f1', 'f2'])
  })

  // Guards against an endpoint that gets work long after the host list has reported that it is leaving.
  it('reads the host list before it sends work after a process pause', async () => {
    const fleet = await startFleet(2)
    await fleet.clock.advanceAsync(5000)
    expect(fleet.directory.catchUp?.()).toBeUndefined()
    fleet.hosts.splice(0, 1, hostEntry(fleet.agents[0].address, 'leaving'))
    fleet.clock.stall(6500)
    expect(stateOf(fleet, 0)).toBe('serving')
    const catchingUp = fleet.directory.catchUp?.()
    expect(catchingUp).toBeDefined()
    await fleet.clock.advanceAsync(0)
    await catchingUp
    expect(stateOf(fleet, 0)).toBe('draining')
    expect(fleet.directory.catchUp?.()).toBeUndefined()
  })

  it('waits for an unresponsive host list only briefly', async () => {
    const fleet = await startFleet(1)
    await fleet.clock.advanceAsync(5000)
    fleet.platform.hosts.list = async () => await new Promise(() => {})
    fleet.clock.stall(6500)
    const catchingUp = fleet.directory.catchUp?.()
    await fleet.clock.advanceAsync(500)
    await catchingUp
    expect(fleet.directory.catchUp?.()).toBeUndefined()
  })
})
