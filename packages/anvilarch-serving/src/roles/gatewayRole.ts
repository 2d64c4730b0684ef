/** The gateway: takes requests and job calls from clients. */
import { createServer, type Server } from 'node:http'
import { isStillAuthorized } from '../accounts/identifyCaller'
import { createCrashMonitor } from '../crashes/crashMonitor'
import { shareSuspects, SUSPECT_TABLE } from '../crashes/shareSuspects'
import { createSuspectTable } from '../crashes/suspectTable'
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
import type { DrainState } from '../requests/clientResponse'
import type { ForwardParts } from '../requests/forwardTypes'
import { createHoldTimes } from '../requests/holdTimes'
import { createLogRateLimiter } from '../telemetry/logRateLimiter'
import { startPeriodicLog } from '../telemetry/periodicLog'
import { createTrafficCounters } from '../telemetry/trafficCounters'
import { startHeartbeat } from '../peers/heartbeat'
import { handleClient } from './clientCalls'
import { createClientServer } from './clientServer'
import { drainClients } from './drainClients'
import { createGatewayAccounts } from './gatewayAccounts'
import { followPlatform, DEFAULT_PARTITIONS } from './followPlatform'
import { once } from './once'
import type { RoleContext, RunningRole } from './types'

/** A gateway needs the other daemons only as ways to the store, when the store turns it away. */
const MEMBERS_INTERVAL_MS = 10_000

/** A few gateways share the connections that an endpoint takes; each keeps to this part of them. */
const CONNECTION_SHARE = 0.25

/** Lines about requests that went well; those about others are always written. A line is about 300 bytes. */
const GOOD_LINES_PER_SECOND = 20

/** Used before the configuration names a limit. */
const DEFAULT_CONNECTION_LIMIT = 16

/**
 * @param context - settings, store and wire
 * @returns the running gateway
 */
export async function startGatewayRole (context: RoleContext): Promise<RunningRole> {
  const { settings, clock, log, wire } = context
  const gateway = settings.gateway
  if (gateway === undefined) throw new Error('the gateway role needs an address for clients and one for readiness')
  let leaving = false
  const notice: DrainState = { isDraining: () => leaving }
  const view = followPlatform(context, { memberListingIntervalMs: () => MEMBERS_INTERVAL_MS })
  const loads = createLoadTable(clock)
  const limitOf = (service: string): number => {
    const limit = view.configuration.current()?.services.get(service)?.maxConnections
    return limit === undefined ? DEFAULT_CONNECTION_LIMIT : Math.max(2, Math.floor(limit * CONNECTION_SHARE))
  }
  const pools = createConnectionPools({ limitOf })
  const suspects = createSuspectTable(clock, context.store.storeNowMs)
  const shared = shareSuspects(context, suspects)
  const crashes = createCrashMonitor(suspects, shared.publish)
  view.follow({ table: SUSPECT_TABLE, partitions: DEFAULT_PARTITIONS, listener: shared.listener })
  const onReport = (report: LoadReport): void => {
    // A report about a start that is not listed yet comes again; kept, it would stay for ever if that start never is.
    if (!view.endpoints.hasStart(report.startId)) return
    loads.onReport(report)
    if (!report.reachable) crashes.onEndpointLost(report.startId)
  }
  const peers = openPeerSocket({
    clock,
    log,
    own: { ip: settings.ip, port: settings.peerPort },
    onMessage: (message, from) => {
      if (message.message === 'load_response') asker.onResponse(message, from)
      else accounts.onMessage(message, from)
    }
  })
  const accounts = createGatewayAccounts({ context, view, send: peers.send })
  const asker = createLoadProber({ clock, send: peers.send, peerPort: settings.peerPort, onReport })
  const use = createUsageReporter({ clock, send: peers.send, peerPort: settings.peerPort, hasAgent: asker.isResponsive })
  const placement = createPlacement({
    endpoints: view.endpoints,
    loads,
    prober: asker,
    ownFailureDomain: settings.failureDomain,
    gatewayCount: () => gatewayCount(view.work, context.store.storeNowMs()),
    openConnections: pools.openConnections,
    random: () => context.random.next()
  })
  view.endpoints.onEvicted(endpoint => {
    pools.drain(endpoint)
    loads.remove(endpoint.startId)
    asker.remove(endpoint)
    use.remove(endpoint)
    // One that drains ends by plan.
    if (endpoint.state === 'ready') crashes.onEndpointLost(endpoint.startId)
  })
  const closing = new AbortController()
  const traffic = createTrafficCounters()
  const ageMs = (table: string): number | undefined => {
    const answeredAtMs = view.answeredAtMs(table)
    return answeredAtMs === undefined ? undefined : Math.round(clock.nowMs() - answeredAtMs)
  }
  const forward: ForwardParts = {
    clock,
    log: log.child('requests'),
    metrics: context.metrics,
    loads,
    placement,
    use,
    pools,
    wire: wire.request,
    drainState: notice,
    holdTimes: createHoldTimes(),
    crashes,
    limits: accounts.limits,
    isStillAllowed: caller => isStillAuthorized(view.configuration.current(), caller),
    traffic,
    logRateLimiter: createLogRateLimiter(clock, GOOD_LINES_PER_SECOND),
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
    notice
  })
  startPeriodicLog({
    clock,
    log,
    event: 'traffic',
    read: () => {
      const counts = traffic.readAndReset()
      return counts === undefined ? undefined : { ...counts, configurationAgeMs: ageMs(wire.operator.configurationTable), endpointsAgeMs: ageMs(wire.operator.endpointTable) }
    },
    signal: closing.signal
  })
  const heartbeat = startHeartbeat(context, { role: 'gateway', onWritten: view.work.update, details: accounts.heartbeatDetails })

  const clients = createClientServer({
    log,
    clock,
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
        isConfigurationFeedOverdue: () => view.isFeedOverdue(wire.operator.configurationTable),
        notice
      })
        .catch(error => {
          log.error('request handling failed', { reason: (error as Error).message })
          response.destroy()
        })
    }
  })
  view.configuration.onChange(configuration => clients.applyLimits(configuration.limits))
  const readiness = createServer((_request, response) => {
    const ready = !leaving && view.configuration.current() !== undefined && view.endpoints.hasListing()
    response.writeHead(ready ? 200 : 503, { 'Content-Length': 0 })
    response.end()
  })
  const close = once(async () => {
    closing.abort()
    heartbeat.stop()
    view.close()
    use.close()
    peers.close()
    clients.close()
    readiness.close()
    readiness.closeAllConnections()
    await pools.closeAll()
  })

  // Whoever starts a gateway whose port is taken gets an error and no handle; the rest would go on without clients.
  try {
    await listen(clients.server, gateway.clients.ip, gateway.clients.port)
    await listen(readiness, gateway.readiness.ip, gateway.readiness.port)
  } catch (error) {
    await close()
    throw error
  }

  return {
    close,
    stop: async () => {
      leaving = true
      heartbeat.stop()
      await drainClients({ clients, log, clock, graceMs: settings.stopGraceMs })
      await close()
    }
  }
}

/** Used until the daemons have been listed. */
const USUAL_GATEWAY_COUNT = 4

/** @returns how many gateways send to the same endpoints */
function gatewayCount (work: WorkTable, storeNowMs: number | undefined): number {
  let count = 0
  for (const { record } of work.members()) if (record.role === 'gateway' && record.aliveUntilMs > (storeNowMs ?? 0)) count++
  return count === 0 ? USUAL_GATEWAY_COUNT : count
}

async function listen (server: Server, ip: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, resolve)
  })
}
