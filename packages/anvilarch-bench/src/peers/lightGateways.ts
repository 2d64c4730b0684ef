/**
 * Many minimal gateways in one process, with one agent as their peer: each opens its own connections, exchanges states at the
 * rate of a real gateway, and sends lookups.
 */
import { setMaxListeners } from 'node:events'
import { create } from '@bufbuild/protobuf'
import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { AgentService, HttpCallSchema } from 'anvilarch-protocol'
import { type Clock, type Random, sleep } from 'anvilarch-utils'
import { createLightCalls, type LightCalls } from './lightCalls'

/** Options of `startLightGateways`. */
export interface LightGatewaysOptions {
  clock: Clock
  random: Random
  count: number
  /** HTTP/2 address of the agent. */
  agentAddress: string
  /** Time between two exchanges of one gateway with the agent. */
  exchangeIntervalMs: number
  /** Lookups a second of all gateways together; 0 for an idle agent. */
  lookupsPerSecond: number
  service: string
  endpoint: string
}

/** Counts of the light gateways. */
export interface LightGatewayStats {
  exchanges: number
  exchangeErrors: number
  lookups: number
  lookupErrors: number
}

/** Running light gateways. */
export interface LightGateways {
  stats: () => LightGatewayStats
  close: () => Promise<void>
}

type AgentClient = Client<typeof AgentService>

const MS_PER_SECOND = 1000
const EXCHANGE_TIMEOUT_MS = 2000
const LOOKUP_TIMEOUT_MS = 2000

/**
 * @param options - number of gateways, and their exchange interval and lookup rate
 * @returns the running gateways
 */
export function startLightGateways (options: LightGatewaysOptions): LightGateways {
  const stats: LightGatewayStats = { exchanges: 0, exchangeErrors: 0, lookups: 0, lookupErrors: 0 }
  const stopping = new AbortController()
  // Each waiting gateway adds a listener.
  setMaxListeners(0, stopping.signal)
  const managers: Http2SessionManager[] = []
  const connect = (): AgentClient => {
    const baseUrl = `http://${options.agentAddress}`
    const sessionManager = new Http2SessionManager(baseUrl)
    managers.push(sessionManager)
    return createClient(AgentService, createConnectTransport({ baseUrl, httpVersion: '2', sessionManager, acceptCompression: [] }))
  }
  const loops: Array<Promise<void>> = []
  for (let index = 0; index < options.count; index++) {
    const known = { agentIncarnation: '', version: 0n }
    loops.push(exchangeLoop(`light-gateway-${index}`, connect(), known, options, stats, stopping.signal))
    const perGateway = options.lookupsPerSecond / options.count
    if (perGateway > 0) loops.push(lookupLoop(index, perGateway, createLightCalls(connect(), options.clock, LOOKUP_TIMEOUT_MS), known, options, stats, stopping.signal))
  }
  return {
    stats: () => ({ ...stats }),
    close: async () => {
      stopping.abort()
      await Promise.all(loops)
      for (const manager of managers) manager.abort()
    }
  }
}

interface KnownAgent {
  agentIncarnation: string
  version: bigint
}

async function exchangeLoop (name: string, client: AgentClient, known: KnownAgent, options: LightGatewaysOptions, stats: LightGatewayStats, signal: AbortSignal): Promise<void> {
  await sleep(options.clock, options.random.next() * options.exchangeIntervalMs, signal)
  while (!signal.aborted) {
    try {
      const response = await client.exchange({ gateway: name, gatewayIncarnation: `${name}-1`, configurationVersion: known.version, quarantined: [] }, { timeoutMs: EXCHANGE_TIMEOUT_MS })
      known.agentIncarnation = response.agentIncarnation
      known.version = response.configurationVersion
      stats.exchanges++
    } catch {
      stats.exchangeErrors++
    }
    await sleep(options.clock, options.random.jitter(options.exchangeIntervalMs, 0.1), signal)
  }
}

async function lookupLoop (index: number, ratePerSecond: number, calls: LightCalls, known: KnownAgent, options: LightGatewaysOptions, stats: LightGatewayStats, signal: AbortSignal): Promise<void> {
  const lookups = new Set<Promise<void>>()
  for (let count = 0; !signal.aborted; count++) {
    await sleep(options.clock, -Math.log(1 - options.random.next()) * MS_PER_SECOND / ratePerSecond, signal)
    if (signal.aborted || known.agentIncarnation === '') continue
    const lookup = sendLookup(`light-${index}-${count}`, calls, known, options)
      .then(() => { stats.lookups++ })
      .catch(() => { stats.lookupErrors++ })
      .finally(() => { lookups.delete(lookup) })
    lookups.add(lookup)
  }
  await Promise.all(lookups)
  await calls.close()
}

async function sendLookup (requestId: string, calls: LightCalls, known: KnownAgent, options: LightGatewaysOptions): Promise<void> {
  const outcome = await calls.start({
    requestId,
    attemptId: requestId,
    fingerprint: requestId,
    workClass: 'lookup',
    service: options.service,
    endpoint: options.endpoint,
    caller: 'bench',
    remainingMs: LOOKUP_TIMEOUT_MS,
    idempotent: true,
    configurationVersion: known.version,
    agentIncarnation: known.agentIncarnation,
    call: create(HttpCallSchema, { method: 'GET', path: `/names/${requestId}`, headers: [{ name: 'x-request-id', value: requestId }], body: new Uint8Array(0) }),
    outputMode: 'raw',
    isolated: false,
    soloFirstToken: false
  })
  if (outcome !== 'completed') throw new Error(`the lookup ended as "${outcome}"`)
}
