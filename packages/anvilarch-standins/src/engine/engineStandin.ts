/** The stand-in of a model engine: continuous batching behind an OpenAI-style HTTP API. */
import { randomUUID } from 'node:crypto'
import { createRandom, createSystemClock } from 'anvilarch-utils'
import { type StandinServer, type StandinHandle, type StandinOptions, startStandinServer } from '../common/standinServer'
import { createExecutionLog } from '../ledger/executions'
import { createLedgerReporter } from '../ledger/ledgerReporter'
import { createEngineLoop } from './engineLoop'
import { cacheEvents, cancel, complete, type EngineLedger, type EngineState, resume, applyStep } from './engineRequests'
import { createModelRegistry, type EngineModel, type EngineOrder } from './models'
import { createEngineReports } from './reports'
import { createStreamRegistry } from './streams'
import { DEFAULT_ENGINE_OPTIONS, type EngineLoad, type EngineOptions, validateEngineOptions } from './types'

/** Options of the engine stand-in. */
export interface EngineStandinOptions extends StandinOptions {
  /** Name under which it reports to the collector. */
  name?: string
  engine?: Partial<EngineOptions>
  /** Address of the weight store; without one, models are ready at once. */
  weightsUrl?: string
  /** Address of the ledger collector. */
  ledgerUrl?: string
  /** Whether orders with an old fencing token are rejected. */
  checksFencing?: boolean
  /** Models that are ready from the start, as `model:version`. */
  preload?: string[]
  /** Whether a request must name a loaded model. */
  strictModel?: boolean
}

/** A running engine. */
export interface EngineStandin extends StandinHandle<EngineLedger> {
  /** @returns the current load, without lag */
  load: () => EngineLoad
  models: () => EngineModel[]
}

/**
 * @param options - speed, weight store, ledger, port, faults and clock
 * @returns the running stand-in
 */
export async function startEngineStandin (options: EngineStandinOptions = {}): Promise<EngineStandin> {
  const engineOptions = { ...DEFAULT_ENGINE_OPTIONS, ...options.engine }
  validateEngineOptions(engineOptions)
  const clock = options.clock ?? createSystemClock()
  const reports = createEngineReports(createRandom(options.seed ?? 1), engineOptions.cacheEventGapShare)
  const state: EngineState = {
    name: options.name ?? 'engine',
    incarnation: randomUUID(),
    clock,
    options: engineOptions,
    loop: createEngineLoop({
      clock,
      speed: engineOptions,
      onStep: result => { applyStep(state, server, result) },
      onCacheChanges: changes => { reports.recordCacheChanges(clock.nowMs(), changes) }
    }),
    streams: createStreamRegistry(engineOptions.retentionMs),
    models: createModelRegistry({ clock, weightsUrl: options.weightsUrl, checksFencing: options.checksFencing ?? false, preload: options.preload ?? [], strictModel: options.strictModel ?? false }),
    reports,
    log: createExecutionLog(),
    reporter: createLedgerReporter(options.ledgerUrl, clock)
  }
  const server: StandinServer<EngineLedger> = await startStandinServer<EngineLedger>({
    crashesInHandler: true,
    routes: [
      { method: 'POST', path: '/v1/chat/completions', isWork: true, handle: request => complete(state, server, 'chat', request) },
      { method: 'POST', path: '/v1/completions', isWork: true, handle: request => complete(state, server, 'completion', request) },
      { method: 'POST', path: '/v1/streams/:attemptId/resume', isWork: true, handle: request => resume(state, request) },
      { method: 'POST', path: '/v1/streams/:attemptId/cancel', handle: request => cancel(state, request) },
      { method: 'GET', path: '/load', handle: () => ({ status: 200, body: reports.loadAsOf(clock.nowMs(), engineOptions.loadLagMs + server.faults.get().lagMs) }) },
      { method: 'GET', path: '/cache-events', handle: request => cacheEvents(state, server, request) },
      { method: 'GET', path: '/models', handle: () => ({ status: 200, body: { models: state.models.list(), fencingToken: state.models.fencingToken(), incarnation: state.incarnation } }) },
      { method: 'POST', path: '/orders', handle: request => state.models.order(JSON.parse(request.body.toString()) as EngineOrder) },
      { method: 'GET', path: '/health', handle: () => ({ status: 200, body: { status: 'ok', incarnation: state.incarnation } }) }
    ],
    ledger: query => ({ executions: state.log.list(query?.get('request') ?? undefined), orders: state.models.orders() })
  }, options)
  server.faults.onChange((_changes, faults) => { state.loop.setFrozen(faults.frozen) })
  state.loop.setFrozen(server.faults.get().frozen)
  return {
    ...server,
    load: () => state.loop.load(),
    models: () => state.models.list(),
    close: async () => {
      state.loop.stop()
      state.models.stop()
      await server.close()
    }
  }
}
