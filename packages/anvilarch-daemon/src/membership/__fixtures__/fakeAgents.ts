/** In-memory agents behind the clients of a gateway. */
import type { ExchangeRequest, HostEntry } from 'anvilarch-protocol'
import { AnvilarchError, createFakeClock, createRandom, type FakeClock, SILENT_LOGGER, sleep } from 'anvilarch-utils'
import { createConfigurationHolder } from '../../configuration/createConfigurationHolder'
import type { DaemonContext } from '../../context'
import { createMetrics } from '../../metrics/createMetrics'
import type { AgentClients } from '../../peers/types'
import { createFakePlatform, type FakePlatform } from '../../platform/__fixtures__/fakePlatform'
import { createTimeline } from '../../timeline/createTimeline'

/** A fake agent. */
export interface FakeAgent {
  address: string
  incarnation: string
  state: string
  version: number
  documentJson: string
  hash: string
  /** Models of its only endpoint; undefined if it has no endpoint. */
  models?: Array<{ model: string, version: string, state: string }>
  /** Health of its endpoint; ready by default. */
  health?: string
  /** `dead`: refuses connections; `silent`: never responds. */
  fault: 'none' | 'dead' | 'silent'
  /** Suspect fingerprints in its exchange responses. */
  suspects?: string[]
  exchanges: ExchangeRequest[]
  pushes: number
}

/** Environment of the membership of one gateway. */
export interface FakeFleet {
  clock: FakeClock
  context: DaemonContext
  platform: FakePlatform
  agents: FakeAgent[]
  hosts: HostEntry[]
  clients: AgentClients
  reconnected: string[]
  removed: string[]
}

const RESPONSE_MS = 5

/** @returns host list entry of an agent */
export function hostEntry (address: string, state: HostEntry['state'] = 'live'): HostEntry {
  return { host: `host-${address}`, role: 'agent', address, failureDomain: 'bole-hall', region: 'addis', state }
}

/**
 * @param count - number of agents, all live and listed
 * @returns fleet on a fake clock
 */
export function createFakeFleet (count: number): FakeFleet {
  const clock = createFakeClock()
  const platform = createFakePlatform()
  const agents = Array.from({ length: count }, (_unused, index): FakeAgent => ({
    address: `10.0.0.1:${index}`, incarnation: `i${index}`, state: 'serving', version: 0, documentJson: '', hash: '', fault: 'none', exchanges: [], pushes: 0
  }))
  const fleet = { clock, platform, agents, hosts: agents.map(agent => hostEntry(agent.address)), reconnected: [] as string[], removed: [] as string[] }
  platform.hosts.list = async () => {
    if (platform.outage) throw new Error('outage')
    return fleet.hosts
  }
  return { ...fleet, context: createFakeContext(clock, platform), clients: createClients(fleet) }
}

function createFakeContext (clock: FakeClock, platform: FakePlatform): DaemonContext {
  const shared = { logger: SILENT_LOGGER, metrics: createMetrics(), timeline: createTimeline({ clock, process: 'gateway', capacity: 1000 }) }
  const gateway = { exchangeIntervalMs: 1000, pollIntervalMs: 2000 }
  return {
    ...shared, clock, platform, random: createRandom(7), incarnation: 'g', settings: { name: 'gateway', gateway }, configuration: createConfigurationHolder(shared)
  } as unknown as DaemonContext
}

function createClients (fleet: Pick<FakeFleet, 'clock' | 'agents' | 'reconnected' | 'removed'>): AgentClients {
  const respond = async <Result>(address: string, timeoutMs: number, createResponse: (agent: FakeAgent) => Result): Promise<Result> => {
    const agent = fleet.agents.find(found => found.address === address)
    if (agent === undefined || agent.fault === 'dead') throw new AnvilarchError('refused', { code: 'unavailable', step: 'test' })
    await sleep(fleet.clock, agent.fault === 'silent' ? timeoutMs : RESPONSE_MS)
    if (agent.fault === 'silent') throw new AnvilarchError('timeout', { code: 'deadline_exceeded', step: 'test' })
    return createResponse(agent)
  }
  const get = (address: string): unknown => ({
    exchange: async (request: ExchangeRequest, { timeoutMs }: { timeoutMs: number }) => await respond(address, timeoutMs, agent => {
      agent.exchanges.push(request)
      return {
        agent: `agent-${address}`, agentIncarnation: agent.incarnation, host: 'h', failureDomain: 'bole-hall', region: 'addis', configurationVersion: BigInt(agent.version), state: agent.state, endpoints: agent.models === undefined ? [] : [{ endpoint: 'engine', kind: 'model', service: '', health: agent.health ?? 'ready', models: agent.models }], operationsAddress: 'o', suspects: agent.suspects ?? []
      }
    }),
    pushConfiguration: async (offered: { version: bigint, hash: string, documentJson: string }, { timeoutMs }: { timeoutMs: number }) => await respond(address, timeoutMs, agent => {
      agent.pushes++
      if (Number(offered.version) > agent.version) Object.assign(agent, { version: Number(offered.version), hash: offered.hash, documentJson: offered.documentJson })
      return { version: BigInt(agent.version) }
    }),
    pullConfiguration: async (_request: unknown, { timeoutMs }: { timeoutMs: number }) => await respond(address, timeoutMs, agent =>
      ({ version: BigInt(agent.version), hash: agent.hash, documentJson: agent.documentJson }))
  })
  return {
    get: get as AgentClients['get'],
    reconnect: address => {
      fleet.reconnected.push(address)
      return get(address) as ReturnType<AgentClients['reconnect']>
    },
    remove: address => { fleet.removed.push(address) },
    close: async () => {}
  }
}
