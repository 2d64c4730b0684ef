/** The gateway: takes requests and job calls from clients. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Clock, sleep } from 'anvilarch-utils'
import { createCrashWatch } from '../crashes/crashWatch'
import { shareSuspects, SUSPECT_TABLE } from '../crashes/shareSuspects'
import { createSuspectTable } from '../crashes/suspectTable'
import { createConnectionPools } from '../endpoints/connectionPools'
import type { EndpointTable } from '../endpoints/endpointTable'
import { createLoadAsker } from '../endpoints/loadAsker'
import { createLoadTable } from '../endpoints/loadTable'
import type { LoadReport } from '../endpoints/peerMessages'
import { openPeerSocket } from '../endpoints/peerSocket'
import { createPlacement } from '../endpoints/placement'
import { createUseNotices } from '../endpoints/useNotices'
import { createJobCache } from '../jobs/jobCache'
import { createJobCalls, type JobCalls } from '../jobs/jobCalls'
import { createResultReader } from '../jobs/resultReader'
import type { WorkTable } from '../jobs/workTable'
import type { ConfigurationHolder } from '../configuration/configurationHolder'
import type { Configuration } from '../model/types'
import { type ClosingNotice, sendOwnAnswer } from '../requests/clientAnswer'
import { forwardRequest } from '../requests/forwardRequest'
import type { ForwardParts } from '../requests/forwardTypes'
import { createHoldTimes } from '../requests/holdTimes'
import { readBody } from '../requests/readBody'
import { matchRoute } from '../routing/matchRoute'
import type { EventLog } from '../telemetry/events'
import { createLineBudget } from '../telemetry/lineBudget'
import { logEachSecond } from '../telemetry/secondLines'
import { createTrafficTally } from '../telemetry/trafficTally'
import { startHeartbeat } from '../peers/heartbeat'
import { type ClientServer, createClientServer, headBytes } from './clientServer'
import { followPlatform, SHARED_PARTITIONS } from './followPlatform'
import { once } from './once'
import type { RoleContext, RunningRole } from './types'

/** A gateway needs the other daemons only as ways to the store, when the store turns it away. */
const MEMBERS_INTERVAL_MS = 10_000

/** Clients come for this long after the process has reported that it leaves: two missed questions, one a second, and a margin. */
const DRAIN_ACCEPT_MS = 2600

/** The process is gone this long before it would be killed. */
const STOP_MARGIN_MS = 700

/** How often the end of the requests in progress is looked for. */
const STOP_POLL_MS = 50

/** A client may send again at once to a gateway that has its configuration. */
const NOT_READY_RETRY_AFTER_MS = 500

/** How long a client waits for a gateway that has just started: ten times what a start takes while the store answers. */
const START_PATIENCE_MS = 300

/** How often a waiting client's request looks for the configuration. */
const START_POLL_MS = 10

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
  const notice: ClosingNotice = { isLeaving: () => leaving }
  const view = followPlatform(context, { membersIntervalMs: () => MEMBERS_INTERVAL_MS })
  const loads = createLoadTable(clock)
  const limitOf = (service: string): number => {
    const limit = view.configuration.current()?.services.get(service)?.maxConnections
    return limit === undefined ? DEFAULT_CONNECTION_LIMIT : Math.max(2, Math.floor(limit * CONNECTION_SHARE))
  }
  const pools = createConnectionPools({ limitOf })
  const suspects = createSuspectTable(clock, context.store.storeNowMs)
  const shared = shareSuspects(context, suspects)
  const crashes = createCrashWatch(suspects, shared.publish)
  view.follow({ table: SUSPECT_TABLE, partitions: SHARED_PARTITIONS, listener: shared.listener })
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
    onMessage: (message, from) => { if (message.message === 'load_answer') asker.onAnswer(message, from) }
  })
  const asker = createLoadAsker({ clock, send: peers.send, peerPort: settings.peerPort, onReport })
  const use = createUseNotices({ clock, send: peers.send, peerPort: settings.peerPort, hasAgent: asker.answers })
  const placement = createPlacement({
    endpoints: view.endpoints,
    loads,
    asker,
    ownFailureDomain: settings.failureDomain,
    gatewayCount: () => gatewayCount(view.work, context.store.storeNowMs()),
    openConnections: pools.openTo,
    draw: () => context.random.next()
  })
  view.endpoints.onGone(endpoint => {
    pools.release(endpoint)
    loads.forget(endpoint.startId)
    asker.forget(endpoint)
    use.forget(endpoint)
    // One that drains ends by plan.
    if (endpoint.state === 'ready') crashes.onEndpointLost(endpoint.startId)
  })
  const closing = new AbortController()
  const traffic = createTrafficTally()
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
    notice,
    holdTimes: createHoldTimes(),
    crashes,
    traffic,
    lines: createLineBudget(clock, GOOD_LINES_PER_SECOND),
    draw: () => context.random.next()
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
  logEachSecond({
    clock,
    log,
    event: 'traffic',
    read: () => {
      const counts = traffic.take()
      return counts === undefined ? undefined : { ...counts, configurationAgeMs: ageMs(wire.operator.configurationTable), endpointsAgeMs: ageMs(wire.operator.endpointTable) }
    },
    signal: closing.signal
  })
  const heartbeat = startHeartbeat(context, { role: 'gateway', onWritten: view.work.learn })

  const clients = createClientServer({
    log,
    clock,
    onRequest: (request, response) => {
      handleClient({ request, response, forward, jobs, configuration: view.configuration, endpoints: view.endpoints, notice })
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
    for (const server of [clients.server, readiness]) {
      server.close()
      server.closeAllConnections()
    }
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
      const stoppedAtMs = clock.nowMs()
      heartbeat.stop()
      await sleep(clock, DRAIN_ACCEPT_MS)
      clients.server.close()
      clients.server.closeIdleConnections()
      logUnfinished(clients, log, clock)
      while (clients.unfinishedRequests().length > 0 && clock.nowMs() - stoppedAtMs < settings.stopGraceMs - STOP_MARGIN_MS) await sleep(clock, STOP_POLL_MS)
      log.info('gateway stopped', { unfinishedRequests: clients.unfinishedRequests().length })
      await close()
    }
  }
}

/** Says for what a stop waits: a process that is killed at the end of its grace cannot say so any more. */
function logUnfinished (clients: ClientServer, log: EventLog, clock: Clock): void {
  const unfinished = clients.unfinishedRequests()
  if (unfinished.length === 0) return
  const oldest = unfinished.reduce((first, other) => other.arrivedAtMs < first.arrivedAtMs ? other : first)
  log.info('stop waits for requests', {
    requestCount: unfinished.length,
    oldestMethod: oldest.method,
    oldestPath: oldest.path,
    oldestAgeMs: Math.round(clock.nowMs() - oldest.arrivedAtMs)
  })
}

/** Used until the daemons have been listed. */
const USUAL_GATEWAY_COUNT = 4

/** @returns how many gateways send to the same endpoints */
function gatewayCount (work: WorkTable, storeNowMs: number | undefined): number {
  let count = 0
  for (const { record } of work.members()) if (record.role === 'gateway' && record.aliveUntilMs > (storeNowMs ?? 0)) count++
  return count === 0 ? USUAL_GATEWAY_COUNT : count
}

interface ClientCall {
  request: IncomingMessage
  response: ServerResponse
  forward: ForwardParts
  jobs: JobCalls
  configuration: ConfigurationHolder
  endpoints: EndpointTable
  notice: ClosingNotice
}

async function handleClient (call: ClientCall): Promise<void> {
  const { request, response, forward, notice } = call
  const arrivedAtMs = forward.clock.nowMs()
  const configuration = await waitForConfiguration(call)
  if (configuration === undefined) {
    sendOwnAnswer(response, { status: 503, code: 'not_ready', message: 'no configuration is known yet', retryAfterMs: NOT_READY_RETRY_AFTER_MS }, notice)
    return
  }
  if (await call.jobs.handle(request, response)) return
  if (headBytes(request) > configuration.limits.maxHeaderBytes) {
    rejectClient(call, 431, 'head_too_large', `the head of the request exceeds ${configuration.limits.maxHeaderBytes} bytes`)
    return
  }
  const route = matchRoute(configuration, request.headers.host ?? '', request.url ?? '/')
  if (route === undefined) {
    sendOwnAnswer(response, { status: 404, code: 'no_route', message: 'no route matches this host and path' }, notice)
    return
  }
  const metadata = forward.wire.decodeRequest(request.headers)
  const timeoutMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs)
  const read = await readBody(request, { maxBytes: configuration.limits.maxBodyBytes, timeoutMs }, forward.clock)
  if (read.outcome === 'broken_off') return
  if (read.outcome === 'too_large') {
    rejectClient(call, 413, 'body_too_large', `the body exceeds ${configuration.limits.maxBodyBytes} bytes`)
    return
  }
  if (read.outcome === 'too_slow') {
    rejectClient(call, 408, 'body_too_slow', `the body was not whole after ${timeoutMs} ms`)
    return
  }
  if (route.kind === 'batch' && request.method === 'POST') {
    await call.jobs.submit({ request, response, route, body: read.body, metadata, arrivedAtMs })
    return
  }
  forwardRequest(forward, { request, response, body: read.body, metadata, route, configurationVersion: configuration.version, arrivedAtMs })
}

/** Answers a request that has not been read whole; what the client still sends cannot be told from its next request. */
function rejectClient ({ request, response, forward, notice }: ClientCall, status: number, code: string, message: string): void {
  forward.log.info('client bytes rejected', { requestId: forward.wire.decodeRequest(request.headers).requestId, status, reason: code })
  response.setHeader('Connection', 'close')
  sendOwnAnswer(response, { status, code, message }, notice)
}

/**
 * A process that has just started knows configuration and endpoints some 30 ms after it listens. Clients who come
 * meanwhile wait for that; many have no further try after a refusal.
 */
async function waitForConfiguration ({ configuration, endpoints, forward }: ClientCall): Promise<Configuration | undefined> {
  const untilMs = forward.clock.nowMs() + START_PATIENCE_MS
  for (;;) {
    const current = configuration.current()
    if (current !== undefined && endpoints.hasListing()) return current
    if (forward.clock.nowMs() > untilMs) return current
    await sleep(forward.clock, START_POLL_MS)
  }
}

async function listen (server: Server, ip: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, resolve)
  })
}
