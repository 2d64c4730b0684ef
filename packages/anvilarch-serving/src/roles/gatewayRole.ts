/** The gateway role: serves requests and job calls of clients. */
import { createServer, type Server } from 'node:http'
import { clientSharesOf, createBodyLimits } from 'anvilarch-utils'
import { isStillAuthorized } from '../accounts/identifyCaller'
import { createCrashMonitor } from '../crashes/crashMonitor'
import { shareSuspects, SUSPECT_TABLE } from '../crashes/shareSuspects'
import { createSuspectTable } from '../crashes/suspectTable'
import { createDrainState, drainElapsedMs } from '../drain/drainState'
import { probeConnection } from '../endpoints/connectProbe'
import { createConnectionPools } from '../endpoints/connectionPools'
import { createLoadProber } from '../endpoints/loadProber'
import { createLoadTable } from '../endpoints/loadTable'
import type { LoadReport } from '../endpoints/peerMessages'
import { openPeerSocket } from '../endpoints/peerSocket'
import { createPlacement } from '../endpoints/placement'
import { createUsageReporter } from '../endpoints/usageReporter'
import { createJobCache } from '../jobs/jobCache'
import { createJobCalls } from '../jobs/jobCalls'
import { createResultReader } from '../jobs/resultReader'
import type { WorkTable } from '../jobs/workTable'
import { createByteBudget } from '../requests/byteBudget'
import { type GatewayResponse, INTERNAL_ERROR_RESPONSE, sendGatewayResponse } from '../requests/clientResponse'
import type { ForwardParts } from '../requests/forwardTypes'
import { createHoldTimes } from '../requests/holdTimes'
import { createServiceTurns } from '../requests/serviceTurns'
import { requestRoutes } from '../routing/requestRoutes'
import { createLogRateLimiter } from '../telemetry/logRateLimiter'
import { startPeriodicLog } from '../telemetry/periodicLog'
import { createTrafficCounters } from '../telemetry/trafficCounters'
import { createGatewayStreams } from './gatewayStreams'
import { startHeartbeat } from '../peers/heartbeat'
import { handleClient, logUnread } from './clientCalls'
import { createClientServer } from './clientServer'
import { latenessLimitMs } from './connectionAdmission'
import { drainClients } from './drainClients'
import { createGatewayAccounts } from './gatewayAccounts'
import { followPlatform, DEFAULT_PARTITIONS } from './followPlatform'
import { once } from './once'
import type { RoleContext, RunningRole } from './types'

/** Interval of member listings. They provide relays for when the store rejects this host, meter gateways and the number of gateways. */
const MEMBERS_INTERVAL_MS = 10_000

/** Share of an endpoint's connection limit that one gateway uses, since several gateways connect to each endpoint. */
const CONNECTION_SHARE = 0.25

/** Maximum rate of log lines about successful requests, about 300 bytes each. Lines about other requests are always written. */
const SUCCESS_LINES_PER_SECOND = 20

/** Retry delay where there is no room for the head of a request. Most requests take less time. */
const NO_ROOM_RETRY_AFTER_MS = 500

const NO_ROOM_RESPONSE: GatewayResponse = {
  status: 503,
  code: 'no_room',
  message: 'this gateway has no memory for another request; the request has not run',
  retryAfterMs: NO_ROOM_RETRY_AFTER_MS
}

/** Connection limit of a gateway until the configuration sets one. */
const DEFAULT_CONNECTION_LIMIT = 16

/**
 * Starts the gateway role.
 *
 * @param context - settings, store and wire
 * @returns the running gateway
 * @throws Error if the settings contain no gateway section or a port is taken
 */
export async function startGatewayRole (context: RoleContext): Promise<RunningRole> {
  const { settings, clock, log, wire } = context
  const gateway = settings.gateway
  if (gateway === undefined) throw new Error('the gateway role requires addresses for clients and for readiness')
  const drainState = createDrainState(clock)
  const view = followPlatform(context, { memberListingIntervalMs: () => MEMBERS_INTERVAL_MS })
  const loads = createLoadTable(clock)
  const limitOf = (service: string): number => {
    const limit = view.configuration.current()?.services.get(service)?.maxConnections
    return limit === undefined ? DEFAULT_CONNECTION_LIMIT : Math.max(2, Math.floor(limit * CONNECTION_SHARE))
  }
  const shares = clientSharesOf(settings.resources)
  const logRateLimiter = createLogRateLimiter(clock, SUCCESS_LINES_PER_SECOND)
  const bodies = createBodyLimits({ clock, limitBytes: shares.bodyBytes })
  const pools = createConnectionPools({ limitOf })
  const suspects = createSuspectTable(clock, context.store.storeNowMs)
  const shared = shareSuspects(context, suspects, view.unusableRows)
  const crashes = createCrashMonitor({ clock, metrics: context.metrics, log, suspects, shared, storeNowMs: context.store.storeNowMs, connect: probeConnection })
  view.follow({ table: SUSPECT_TABLE, partitions: DEFAULT_PARTITIONS, listener: shared.listener })
  const onReport = (report: LoadReport): void => {
    // Reports about a start that is not listed yet are repeated. A stored one would leak if the start is never listed.
    if (!view.endpoints.hasStart(report.startId)) return
    loads.onReport(report)
    if (!report.reachable) crashes.onEndpointLost(report.startId)
  }
  const peers = openPeerSocket({
    clock,
    log,
    own: { ip: settings.ip, port: settings.peerPort },
    onMessage: (message, from) => {
      if (message.message === 'load_response') prober.onResponse(message, from)
      else {
        accounts.onMessage(message, from)
        streamOrigins.onMessage(message, from)
      }
    }
  })
  const closing = new AbortController()
  const streamOrigins = createGatewayStreams({ context, view, send: peers.send, signal: closing.signal })
  const accounts = createGatewayAccounts({ context, view, send: peers.send })
  const prober = createLoadProber({ clock, send: peers.send, peerPort: settings.peerPort, onReport })
  const usageReporter = createUsageReporter({ clock, send: peers.send, peerPort: settings.peerPort, hasAgent: prober.isResponsive })
  const gateways = (): number => gatewayCount(view.work, context.store.storeNowMs())
  const placement = createPlacement({
    endpoints: view.endpoints,
    loads,
    prober,
    ownFailureDomain: settings.failureDomain,
    gatewayCount: gateways,
    openConnections: pools.openConnections,
    random: () => context.random.next()
  })
  view.endpoints.onEvicted(endpoint => {
    pools.drain(endpoint)
    loads.remove(endpoint.startId)
    prober.remove(endpoint)
    usageReporter.remove(endpoint)
  })
  // A draining endpoint stops as planned, which is not a crash.
  view.endpoints.onUnlisted(endpoint => { if (endpoint.state === 'ready') crashes.onEndpointLost(endpoint.startId) })
  const traffic = createTrafficCounters()
  const ageMs = (table: string): number | undefined => {
    const tableAgeMs = view.freshness(table).ageMs()
    return tableAgeMs === Infinity ? undefined : Math.round(tableAgeMs)
  }
  const forward: ForwardParts = {
    clock,
    log: log.child('requests'),
    metrics: context.metrics,
    loads,
    placement,
    usageReporter,
    pools,
    wire: wire.request,
    drainState,
    holdTimes: createHoldTimes(),
    serviceTurns: createServiceTurns(clock, gateways),
    routesTo: service => requestRoutes(view.configuration.current(), service),
    responseBudget: createByteBudget(shares.responseBytes),
    crashes,
    probeConnection,
    streamOrigins,
    limits: accounts.limits,
    isStillAuthorized: caller => isStillAuthorized(view.configuration.current(), caller),
    // Without the sum of all limits no account has a share.
    allLimitsPerSecond: () => settings.sharesRoom ? view.configuration.current()?.accounts?.requestsPerSecond ?? 0 : 0,
    traffic,
    logRateLimiter,
    random: () => context.random.next()
  }
  const jobs = createJobCalls({
    store: context.store,
    work: createJobCache(),
    clock,
    log: log.child('jobs'),
    metrics: context.metrics,
    results: createResultReader(context.store),
    wire: wire.job,
    drainState,
    random: () => context.random.next()
  })
  startPeriodicLog({
    clock,
    log,
    event: 'traffic',
    read: () => {
      context.metrics.bodyBytes.set(bodies.budget.takenBytes())
      const counts = traffic.readAndReset()
      if (counts === undefined) return undefined
      return { drainMs: drainElapsedMs(clock, drainState), ...counts, configurationAgeMs: ageMs(wire.operator.configurationTable), endpointsAgeMs: ageMs(wire.operator.endpointTable) }
    },
    signal: closing.signal
  })
  const heartbeat = startHeartbeat(context, { role: 'gateway', onWritten: view.work.update, details: accounts.heartbeatDetails })

  const clients = createClientServer({
    log,
    clock,
    metrics: context.metrics,
    shares,
    logRateLimiter,
    onNoRoom: (request, response) => {
      context.metrics.bodiesRefused.inc()
      response.setHeader('Connection', 'close')
      sendGatewayResponse(response, NO_ROOM_RESPONSE, drainState)
    },
    maxLatenessMs: () => latenessLimitMs((view.configuration.current()?.routes ?? []).map(route => route.timeoutMs)),
    onDropped: request => logUnread({ request, arrivedAtMs: clock.nowMs(), forward, drainState }, 'connection_ended'),
    onRequest: (request, response, arrivedAtMs) => {
      handleClient({
        request,
        response,
        arrivedAtMs,
        forward,
        jobs,
        configuration: view.configuration,
        endpoints: view.endpoints,
        callers: accounts.callers,
        isConfigurationStale: accounts.isConfigurationStale,
        isConfigurationFeedOverdue: view.freshness(wire.operator.configurationTable).isOverdue,
        drainState,
        bodies
      })
        .catch(error => {
          log.error('request handling failed', { reason: (error as Error).message })
          if (response.headersSent) response.destroy()
          else sendGatewayResponse(response, INTERNAL_ERROR_RESPONSE, drainState)
        })
    }
  })
  view.configuration.onChange(configuration => clients.applyLimits(configuration.limits))
  const readiness = createServer((_request, response) => {
    const ready = !drainState.isDraining() && view.configuration.current() !== undefined && view.endpoints.hasListing()
    response.writeHead(ready ? 200 : 503, { 'Content-Length': 0 })
    response.end()
  })
  const close = once(async () => {
    closing.abort()
    heartbeat.stop()
    view.close()
    usageReporter.close()
    peers.close()
    clients.close()
    readiness.close()
    readiness.closeAllConnections()
    await pools.closeAll()
  })

  // If a port is taken, the caller gets an error and no handle, so the parts that are already running are closed here.
  try {
    await listen(clients.server, gateway.clients.ip, gateway.clients.port)
    await listen(readiness, gateway.readiness.ip, gateway.readiness.port)
  } catch (error) {
    await close()
    throw error
  }

  return {
    close,
    stop: once(async () => {
      const schedule = drainState.start(settings.stopGraceMs)
      heartbeat.stop()
      await drainClients({ clients, log, clock, schedule, endRequests: drainState.end })
      await close()
    })
  }
}

/** Assumed number of gateways until the members have been listed. */
const DEFAULT_GATEWAY_COUNT = 4

/** @returns number of live gateways, all of which send to the same endpoints */
function gatewayCount (work: WorkTable, storeNowMs: number | undefined): number {
  let count = 0
  for (const { record } of work.members()) if (record.role === 'gateway' && record.aliveUntilMs > (storeNowMs ?? 0)) count++
  return count === 0 ? DEFAULT_GATEWAY_COUNT : count
}

async function listen (server: Server, ip: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, resolve)
  })
}
