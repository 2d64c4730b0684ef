/** The HTTP server towards callers, with its graceful shutdown. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { abortResponse, type LifecycleManager, sleep } from 'anvilarch-utils'
import { createIntentKeeper } from '../attempts/intents/intentKeeper'
import { startIntentSweep } from '../attempts/intents/intentSweep'
import type { RequestRunner } from '../attempts/types'
import type { DaemonContext } from '../context'
import type { AgentDirectory } from '../membership/types'
import type { Quarantine } from '../quarantine/types'
import { createCompletionRoutes } from './completions/completionRoutes'
import { createModelRoutes } from './completions/modelRoutes'
import { createDispatchTable } from './dispatchTable'
import { DEFAULT_OPTIONS, type CallersServerOptions, type FrontParts } from './frontParts'
import { handleRequest, type HandlerParts } from './handleRequest'
import { answerClientErrors } from './http/clientErrors'
import { createGracefulCloser } from './http/gracefulClose'
import { createCallerLimiter } from './limits/callerLimiter'
import { createPlainRoutes } from './plain/plainRoutes'
import type { CallersServer, Route } from './types'

/** What the front needs from other slices. */
export interface CallersDependencies {
  runner: RequestRunner
  directory: AgentDirectory
  quarantine: Quarantine
  /** Routes of other slices. */
  routes: Route[]
  options?: Partial<CallersServerOptions>
}

/** Longer than the idle time of common clients and balancers, so that it is they who close an idle connection. */
const KEEP_ALIVE_MS = 75_000

/** The longest time that one upload may take. */
const UPLOAD_TIMEOUT_MS = 3_600_000

const ID_RADIX = 36

/** The longest wait for ends of keyed calls that are still to be recorded. */
const RECORD_TIMEOUT_MS = 5_000

/** Left to the life-cycle manager after all bounds of the drain. */
const STOP_MARGIN_MS = 5_000

/**
 * Starts the front and gives its stop to the life-cycle manager.
 *
 * @param context - settings, time, metrics and configuration
 * @param dependencies - runner, agents and routes of other slices
 * @param lifecycle - stops the front by a graceful shutdown
 * @returns the running front
 */
export async function startCallersServer (context: DaemonContext, dependencies: CallersDependencies, lifecycle: LifecycleManager): Promise<CallersServer> {
  const options = { ...DEFAULT_OPTIONS, ...dependencies.options }
  const { drainTimeoutMs, maxConcurrentRequests } = context.settings.gateway
  const limiter = createCallerLimiter({ clock: context.clock, maxConcurrentRequests })
  const intents = createIntentKeeper(context)
  const front: FrontParts = { context, runner: dependencies.runner, intents, options }
  let draining: Promise<void> | undefined
  let ids = 0

  const parts: HandlerParts = {
    context,
    table: createDispatchTable([
      ...createCompletionRoutes(front), ...createModelRoutes(front), ...createPlainRoutes(front), ...dependencies.routes
    ]),
    limiter,
    nextRequestId: () => `req-${context.incarnation}-${(ids++).toString(ID_RADIX)}`,
    isDraining: () => draining !== undefined
  }
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: UPLOAD_TIMEOUT_MS }, (request, response) => {
    handleRequest(parts, request, response).catch(() => { abortResponse(response) })
  })
  answerClientErrors(server)
  const closer = createGracefulCloser(server, context.clock)
  const address = await listen(server, context.settings.listen.callers ?? '127.0.0.1:0')

  const drain = async (): Promise<void> => {
    context.timeline.record('gateway.draining', { detail: { inProgress: limiter.inProgress() } })
    await sleep(context.clock, options.readinessLeadMs)
    const whole = await closer.close(drainTimeoutMs)
    if (!whole) context.logger.warn('requests in progress were cut, since the drain took too long', { drainTimeoutMs })
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
  await startIntentSweep(context, lifecycle)
  await lifecycle.start({ name: 'callers', stop: callers.drain, stopTimeoutMs })
  return callers
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
