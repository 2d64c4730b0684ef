/** A modelled gateway: load table, load prober and placement of the daemon, over a modelled network. */
import type { Clock, Random } from 'anvilarch-utils'
import { createLoadProber, createLoadTable, createPlacement, type Endpoint, type PeerMessage, type PlacementWeights } from 'anvilarch-serving'
import type { ModelEngine } from './modelEngine'

/** A gateway that places requests. */
export interface ModelGateway {
  /** Chooses an endpoint for a request and sends it. */
  onArrival: () => void
  counts: { newConnections: number }
}

/** Options of `createModelGateway`. */
export interface ModelGatewayOptions {
  clock: Clock
  random: Random
  endpoints: readonly Endpoint[]
  engineById: ReadonlyMap<string, ModelEngine>
  gatewayCount: number
  weights: PlacementWeights
  onFirstEvent: (afterMs: number) => void
}

/** One-way delay between two hosts, including the processing at both. */
const LINK_DELAY_MS = 1

/** Time that the endpoint and both hosts need for a new connection. */
const CONNECT_MS = 2

/** Idle timeout of the connection pools of the daemon. */
const IDLE_TIMEOUT_MS = 3000

/** Time to prefill a prompt of 250 tokens of its own and 200 shared ones, at 44 a millisecond. */
const PROMPT_MS = 10

/** Duration of 25 events of 8 tokens at 3.5 ms a token, and its spread. */
const EVENTS_MS = 700
const EVENTS_SPREAD = 0.5

/** Number of shared prompt prefixes, of which each request has one. */
const PREFIXES = 40

const PEER_PORT = 7

/**
 * @param options - engines, weights and listener
 * @returns a gateway with an empty load table
 */
export function createModelGateway (options: ModelGatewayOptions): ModelGateway {
  const { clock, random, endpoints, engineById } = options
  const counts = { newConnections: 0 }
  const loads = createLoadTable(clock)
  const connections = new Map<string, { inUse: number, idleSinceMs: number[] }>()
  const endpointByIp = new Map(endpoints.map(endpoint => [endpoint.address.split(':')[0], endpoint]))

  const send = (message: PeerMessage, to: { ip: string, port: number }): void => {
    const endpoint = endpointByIp.get(to.ip)
    const engine = endpoint === undefined ? undefined : engineById.get(endpoint.id)
    if (endpoint === undefined || engine === undefined || message.message !== 'load_probe') return
    clock.after(LINK_DELAY_MS, () => {
      const report = { startId: endpoint.startId, online: engine.online(), batchRunning: engine.batchRunning(), reachable: true, eventIntervalMs: undefined }
      clock.after(LINK_DELAY_MS, () => prober.onResponse({ message: 'load_response', correlationId: message.correlationId, report }, to))
    })
  }
  const prober = createLoadProber({ clock, send, peerPort: PEER_PORT, onReport: loads.onReport })

  const connectionsTo = (endpoint: Endpoint): { inUse: number, idleSinceMs: number[] } => {
    const pool = connections.get(endpoint.id) ?? { inUse: 0, idleSinceMs: [] }
    pool.idleSinceMs = pool.idleSinceMs.filter(sinceMs => clock.nowMs() - sinceMs < IDLE_TIMEOUT_MS)
    connections.set(endpoint.id, pool)
    return pool
  }

  const placement = createPlacement({
    endpoints: { usable: () => endpoints },
    loads,
    prober,
    ownFailureDomain: endpoints[0].failureDomain,
    gatewayCount: () => options.gatewayCount,
    openConnections: endpoint => {
      const { inUse, idleSinceMs } = connectionsTo(endpoint)
      return inUse + idleSinceMs.length
    },
    weights: options.weights,
    random: () => random.next()
  })

  /** @returns the time that it takes to get a connection */
  const connect = (endpoint: Endpoint): number => {
    const pool = connectionsTo(endpoint)
    pool.inUse++
    if (pool.idleSinceMs.pop() !== undefined) return 0
    counts.newConnections++
    return CONNECT_MS
  }

  const sendRequest = (endpoint: Endpoint, arrivedAtMs: number): void => {
    const engine = engineById.get(endpoint.id)
    if (engine === undefined) return
    loads.onSent(endpoint.startId)
    clock.after(LINK_DELAY_MS, engine.onNotice)
    clock.after(LINK_DELAY_MS + connect(endpoint), () => engine.onRequest({
      promptMs: PROMPT_MS,
      eventsMs: random.jitter(EVENTS_MS, EVENTS_SPREAD),
      onFirstEvent: () => options.onFirstEvent(clock.nowMs() + LINK_DELAY_MS - arrivedAtMs),
      onEnd: () => clock.after(LINK_DELAY_MS, () => {
        const pool = connectionsTo(endpoint)
        pool.inUse--
        pool.idleSinceMs.push(clock.nowMs())
        loads.onEnded(endpoint.startId)
      })
    }))
  }

  return {
    counts,
    onArrival: () => {
      const arrivedAtMs = clock.nowMs()
      const request = { service: 's', sharedPrefixes: [`p${random.between(1, PREFIXES)}`], gapObjectiveMs: 0, excluded: new Set<string>() }
      placement.prepare(request).then(() => {
        const endpoint = placement.choose(request)
        if (endpoint !== undefined) sendRequest(endpoint, arrivedAtMs)
      }, () => {
        // The prober and the clock of the model never fail.
      })
    }
  }
}
