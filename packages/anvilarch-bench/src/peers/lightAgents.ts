/**
 * Many minimal agents in one process: they respond to exchanges, accept configurations and return fixed responses to attempts.
 * With them, one real gateway is measured against more agents than the host could run as processes.
 */
import { createServer, type Http2Server } from 'node:http2'
import type { AddressInfo, Socket } from 'node:net'
import type { ConnectRouter, ServiceImpl } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { create } from '@bufbuild/protobuf'
import { AgentService, EndpointStateSchema } from 'anvilarch-protocol'
import type { Clock } from 'anvilarch-utils'
import { responseFrames, barredFrame, type LightResponse, serveLightSession } from './lightAttempt'

/** Options of `startLightAgents`. */
export interface LightAgentsOptions {
  clock: Clock
  count: number
  /** Plain service of the one endpoint of each agent. */
  service: string
  failureDomains: string[]
  region: string
  slots?: number
}

/** One light agent. */
export interface LightAgent {
  name: string
  address: string
  failureDomain: string
}

/** Traffic between light agents and their peers, and the times at which configurations were accepted. */
export interface LightAgentStats {
  /** TCP payload bytes in each direction. */
  receivedBytes: number
  sentBytes: number
  connections: number
  exchanges: number
  attempts: number
  pushes: number
  /** Wall times, by version, at which agents accepted it. */
  versions: Record<string, number[]>
}

/** Running light agents. */
export interface LightAgents {
  agents: LightAgent[]
  stats: () => LightAgentStats
  close: () => Promise<void>
}

const LOOPBACK = '127.0.0.1'
const DEFAULT_SLOTS = 256

/** State of one light agent. */
interface AgentState extends LightAgent {
  version: bigint
  hash: string
  documentJson: string
}

/**
 * @param options - number of agents and the service of their endpoints
 * @returns the agents, each on a free loopback port
 */
export async function startLightAgents (options: LightAgentsOptions): Promise<LightAgents> {
  const counts: LightAgentStats = { receivedBytes: 0, sentBytes: 0, connections: 0, exchanges: 0, attempts: 0, pushes: 0, versions: {} }
  const openSockets = new Set<Socket>()
  const servers: Http2Server[] = []
  const agents: AgentState[] = []
  for (let index = 0; index < options.count; index++) {
    const state: AgentState = {
      name: `light-${index}`,
      address: '',
      failureDomain: options.failureDomains[index % options.failureDomains.length],
      version: 0n,
      hash: '',
      documentJson: ''
    }
    const routes = (router: ConnectRouter): void => { router.service(AgentService, agentService(state, counts, options)) }
    const server = createServer(connectNodeAdapter({ routes }))
    server.on('connection', (socket: Socket) => { trackSocket(socket, openSockets, counts) })
    await new Promise<void>(resolve => { server.listen(0, LOOPBACK, resolve) })
    state.address = `${LOOPBACK}:${(server.address() as AddressInfo).port}`
    servers.push(server)
    agents.push(state)
  }
  return {
    agents: agents.map(({ name, address, failureDomain }) => ({ name, address, failureDomain })),
    stats: () => currentStats(counts, openSockets),
    close: async () => {
      for (const socket of openSockets) socket.destroy()
      await Promise.all(servers.map(server => new Promise<void>(resolve => { server.close(() => { resolve() }) })))
    }
  }
}

function trackSocket (socket: Socket, openSockets: Set<Socket>, counts: LightAgentStats): void {
  counts.connections++
  openSockets.add(socket)
  socket.on('close', () => {
    openSockets.delete(socket)
    counts.receivedBytes += socket.bytesRead
    counts.sentBytes += socket.bytesWritten
  })
}

/** Adds the bytes of open sockets; those of closed ones are in `counts`. */
function currentStats (counts: LightAgentStats, openSockets: ReadonlySet<Socket>): LightAgentStats {
  let { receivedBytes, sentBytes } = counts
  for (const socket of openSockets) {
    receivedBytes += socket.bytesRead
    sentBytes += socket.bytesWritten
  }
  return { ...counts, receivedBytes, sentBytes }
}

function agentService (state: AgentState, counts: LightAgentStats, options: LightAgentsOptions): ServiceImpl<typeof AgentService> {
  const slots = options.slots ?? DEFAULT_SLOTS
  const incarnation = `${state.name}-1`
  const load = { endpoint: 'plain', runningOnline: 0, runningBatch: 0, queued: 0, freeOnline: slots, freeBatch: slots, firstTokenMs: 1, interTokenMs: 1 }
  const response: LightResponse = { incarnation, load, onAttempt: () => { counts.attempts++ } }
  return {
    exchange: () => {
      counts.exchanges++
      return {
        agent: state.name,
        agentIncarnation: incarnation,
        host: state.name,
        failureDomain: state.failureDomain,
        region: options.region,
        configurationVersion: state.version,
        state: 'serving',
        endpoints: [create(EndpointStateSchema, { endpoint: 'plain', kind: 'plain', service: options.service, health: 'ready', load })],
        operationsAddress: ''
      }
    },
    startAttempt: async function * (request) { yield * responseFrames(response, request) },
    resumeAttempt: async function * () { yield barredFrame(response) },
    session: requests => serveLightSession(response, requests),
    cancelAttempt: () => ({ outcome: 'barred' }),
    pushConfiguration: offered => {
      counts.pushes++
      if (offered.version > state.version) {
        Object.assign(state, { version: offered.version, hash: offered.hash, documentJson: offered.documentJson })
        const times = counts.versions[String(offered.version)] ??= []
        times.push(options.clock.wallMs())
      }
      return { version: state.version }
    },
    pullConfiguration: () => ({ version: state.version, hash: state.hash, documentJson: state.documentJson }),
    order: request => ({ outcome: 'done', reason: '', fencingToken: request.fencingToken }),
    drain: () => ({ running: 0 })
  }
}
