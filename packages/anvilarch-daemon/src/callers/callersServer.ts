/** The HTTP server for callers, with graceful shutdown. */
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { abortResponse, AnvilarchError, clientSharesOf, createBodyLimits, createPipelineHandler, type LifecycleManager, readResources, sleep } from 'anvilarch-utils'
import { createKeyedCallRunner } from '../attempts/intents/keyedCallRunner'
import { startIntentSweep } from '../attempts/intents/intentSweep'
import type { RequestRunner } from '../attempts/types'
import type { DaemonContext } from '../context'
import type { AgentDirectory } from '../membership/types'
import type { Quarantine } from '../quarantine/types'
import { createCompletionRoutes } from './completions/completionRoutes'
import { createModelRoutes } from './completions/modelRoutes'
import { createDispatchTable } from './dispatchTable'
import { createDrainGate } from './drainGate'
import { DEFAULT_OPTIONS, type CallersServerOptions, type RouteDeps } from './routeDeps'
import { handleRequest, type HandlerParts } from './handleRequest'
import { respondToClientErrors } from './http/clientErrors'
import { sendError } from './http/errorResponse'
import { createGracefulCloser } from './http/gracefulClose'
import { limitClients } from './http/limitClients'
import { createCallerLimiter } from './limits/callerLimiter'
import { createPlainRoutes } from './plain/plainRoutes'
import type { CallersServer, Route } from './types'

/** Dependencies of the server on other slices. */
export interface CallersDependencies {
  runner: RequestRunner
  directory: AgentDirectory
  quarantine: Quarantine
  /** Routes of other slices. */
  routes: Route[]
  options?: Partial<CallersServerOptions>
}

/** Interval at which Node.js checks for heads that exceed their timeout. */
const HEAD_CHECK_INTERVAL_MS = 500

/** Maximum duration of an upload. */
const UPLOAD_TIMEOUT_MS = 3_600_000

const ID_RADIX = 36

/** Maximum time to wait until the outcomes of keyed calls are recorded. */
const RECORD_TIMEOUT_MS = 5_000

/** Added to the timeouts of the drain for the lifecycle manager. */
const STOP_MARGIN_MS = 5_000

/**
 * Starts the server and registers its shutdown with the lifecycle manager.
 *
 * @param context - settings, clock, metrics and configuration
 * @param dependencies - runner, agents and routes of other slices
 * @param lifecycle - stops the server by a graceful shutdown
 * @returns the running server
 */
export async function startCallersServer (context: DaemonContext, dependencies: CallersDependencies, lifecycle: LifecycleManager): Promise<CallersServer> {
  const options = { ...DEFAULT_OPTIONS, ...dependencies.options }
  const { drainTimeoutMs, maxConcurrentRequests, headerTimeoutMs, idleTimeoutMs, memoryBytes, maxDescriptors } = context.settings.gateway
  const shares = clientSharesOf(readResources({ memoryBytes, descriptors: maxDescriptors }))
  const limiter = createCallerLimiter({ clock: context.clock, random: context.random, maxConcurrentRequests })
  const intents = createKeyedCallRunner(context)
  const routeDeps: RouteDeps = { context, runner: dependencies.runner, intents, options }
  const gate = createDrainGate(context.clock)
  let draining: Promise<void> | undefined
  let ids = 0

  const parts: HandlerParts = {
    context,
    table: createDispatchTable([
      ...createCompletionRoutes(routeDeps), ...createModelRoutes(routeDeps), ...createPlainRoutes(routeDeps), ...dependencies.routes
    ]),
    limiter,
    nextRequestId: () => `req-${context.incarnation}-${(ids++).toString(ID_RADIX)}`,
    isDraining: () => draining !== undefined,
    drain: gate,
    bodies: createBodyLimits({ clock: context.clock, limitBytes: shares.bodyBytes })
  }
  const handleInOrder = createPipelineHandler((request, response) => {
    handleRequest(parts, request, response).catch(() => { abortResponse(response) })
  })
  const server = createServer({ connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS, keepAliveTimeout: idleTimeoutMs, headersTimeout: headerTimeoutMs, requestTimeout: UPLOAD_TIMEOUT_MS }, (request, response) => {
    // The request crossed the end of its connection, so it can't be answered; its caller sends it again.
    if (!request.socket.writable) return
    if (takeRequest(request, response)) handleInOrder(request, response, context.clock.nowMs())
  })
  const takeRequest = limitClients(server, { context, shares, headerTimeoutMs, idleTimeoutMs })
  respondToClientErrors(server, context.clock)
  const closer = createGracefulCloser(server, context.clock, respondToInterrupted)
  await startIntentSweep(context, lifecycle)
  const address = await listen(server, context.settings.listen.callers ?? '127.0.0.1:0')

  const drain = async (): Promise<void> => {
    context.timeline.record('gateway.draining', { detail: { inProgress: limiter.inProgress() } })
    gate.startDrain({ readinessLeadMs: options.readinessLeadMs, drainTimeoutMs })
    await sleep(context.clock, options.readinessLeadMs)
    const isDrained = await closer.close(drainTimeoutMs)
    gate.close()
    if (!isDrained) context.logger.warn('requests in progress were cut, since the drain took too long', { drainTimeoutMs })
    await Promise.race([intents.idle(), sleep(context.clock, RECORD_TIMEOUT_MS)])
    context.timeline.record('gateway.drained')
  }
  const callers: CallersServer = {
    address,
    state: () => draining === undefined ? 'serving' : 'draining',
    inProgress: limiter.inProgress,
    drain: () => {
      draining ??= drain()
      return draining
    }
  }
  const stopTimeoutMs = options.readinessLeadMs + drainTimeoutMs + RECORD_TIMEOUT_MS + STOP_MARGIN_MS
  await lifecycle.start({ name: 'callers', stop: callers.drain, stopTimeoutMs })
  return callers
}

/** Responds to a request that is still in progress when the drain times out. */
function respondToInterrupted (response: ServerResponse): void {
  const error = new AnvilarchError('this gateway stopped before the request was complete; it may have run', {
    code: 'outcome_unknown', step: 'callers.drain', ran: 'unknown'
  })
  response.setHeader('connection', 'close')
  sendError(response, error, String(response.getHeader('x-request-id') ?? ''))
}

async function listen (server: Server, address: string): Promise<string> {
  const at = address.lastIndexOf(':')
  const host = address.slice(0, at)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(at + 1)), host, () => {
      server.off('error', reject)
      resolve()
    })
  })
  return `${host}:${(server.address() as AddressInfo).port}`
}
