/** Handlers of the `AgentService` calls of gateways. */
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect'
import { type AgentService, type EndpointState, EndpointStateSchema, type ExchangeResponseSchema } from 'anvilarch-protocol'
import type { DaemonContext } from '../context'
import type { AttemptRegistry } from './attemptRegistry'
import { serveSession } from './attemptSessions'
import type { EndpointTask } from './endpointTask'
import type { Orders } from './orders'

/** Dependencies of the service. */
export interface AgentServiceDeps {
  context: DaemonContext
  registry: AttemptRegistry
  orders: Orders
  tasks: Map<string, EndpointTask>
  isDraining: () => boolean
  /** Address of this daemon's operations server. */
  operationsAddress: string
  drain: (reason: string) => Promise<void>
  /** Fingerprints of requests that this agent runs only in isolation. */
  suspects: () => string[]
  /** Aborted when the agent shuts down. */
  stopped: AbortSignal
  /** Adds fingerprints of requests that no endpoint may run again. */
  addQuarantined: (fingerprints: string[]) => void
}

/**
 * @param deps - components of the agent
 * @returns the handlers of all calls
 */
export function createAgentService (deps: AgentServiceDeps): ServiceImpl<typeof AgentService> {
  const { context, registry, orders } = deps
  return {
    startAttempt: (request, call) => registry.start(request, call.signal),
    resumeAttempt: (request, call) => registry.resume(request, call.signal),
    session: (requests, call) => serveSession({ registry, stopped: deps.stopped }, requests, call.signal),
    cancelAttempt: request => ({ outcome: registry.cancel(request) }),
    exchange: request => {
      deps.addQuarantined(request.quarantined)
      return exchangeResponse(deps)
    },
    pushConfiguration: request => {
      context.configuration.offer({ version: Number(request.version), hash: request.hash, documentJson: request.documentJson })
      return { version: BigInt(context.configuration.version()) }
    },
    pullConfiguration: () => {
      const current = context.configuration.current()
      if (current === undefined) throw new ConnectError('this agent has no configuration yet', Code.NotFound)
      return { version: BigInt(current.version), hash: current.hash, documentJson: current.documentJson }
    },
    order: async request => await orders.order(request),
    drain: request => {
      deps.drain(request.reason).catch(error => { context.logger.error('drain failed', { error: String(error) }) })
      return { running: registry.liveCount() }
    }
  }
}

function exchangeResponse (deps: AgentServiceDeps): MessageInitShape<typeof ExchangeResponseSchema> {
  const { context } = deps
  return {
    agent: context.settings.name,
    agentIncarnation: context.incarnation,
    host: context.settings.host,
    failureDomain: context.settings.failureDomain,
    region: context.settings.region,
    configurationVersion: BigInt(context.configuration.version()),
    state: deps.isDraining() ? 'draining' : 'serving',
    endpoints: endpointStates(deps.tasks, deps.orders),
    operationsAddress: deps.operationsAddress,
    suspects: deps.suspects()
  }
}

/**
 * @param tasks - the endpoints by name
 * @param orders - provides the highest fencing token and the settled orders
 * @returns the state of each endpoint as reported to gateways
 */
export function endpointStates (tasks: Map<string, EndpointTask>, orders: Orders): EndpointState[] {
  return [...tasks.values()].map(task => create(EndpointStateSchema, {
    endpoint: task.settings.name,
    kind: task.settings.kind,
    service: task.view().settled,
    health: task.health.state(),
    models: task.health.models(),
    fencingToken: BigInt(Math.max(orders.highestToken(), task.health.fencingToken())),
    load: { endpoint: task.settings.name, ...task.load() },
    settledOrder: orders.settledOrder(task.settings.name)
  }))
}
