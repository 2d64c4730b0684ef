/** Pure functions that build the operator's views of services, endpoints and daemons. */
import type { ConfigurationDocument, ServiceSpec } from 'anvilarch-configuration'
import type { EndpointState } from 'anvilarch-protocol'
import type { ObservedGateway } from '../leases/types'
import type { AgentView } from '../membership/types'

/** A service with the endpoints that serve it. */
export interface ServiceView {
  name: string
  kind: ServiceSpec['kind']
  replicas: number
  /** Number of endpoints that currently serve it. */
  ready: number
  model?: string
  version?: string
  classes: string[]
}

/** An endpoint with its agent. */
export interface EndpointView extends Omit<EndpointState, '$typeName' | '$unknown'> {
  agent: string
  agentState: AgentView['state']
  failureDomain: string
}

/** A gateway in the status. */
export interface GatewayView {
  instance: string
  address: string
  operationsAddress: string
  configurationVersion: number
  state: string
}

/**
 * @param agents - agents known to this gateway
 * @returns all endpoints
 */
export function endpointViews (agents: AgentView[]): EndpointView[] {
  return agents.flatMap(agent => agent.endpoints.map(endpoint => (
    { ...endpoint, agent: agent.name, agentState: agent.state, failureDomain: agent.failureDomain })))
}

/**
 * @param endpoint - endpoint of any kind
 * @param name - name of the service
 * @param service - configuration of the service
 * @returns whether the endpoint currently serves it
 */
function serves (endpoint: EndpointView, name: string, service: ServiceSpec): boolean {
  if (endpoint.agentState !== 'serving' || endpoint.health !== 'ready' || endpoint.service !== name) return false
  if (service.kind === 'plain') return true
  return endpoint.models.some(model => model.model === service.model && model.version === service.version && model.state === 'ready')
}

/**
 * @param document - the configuration in force
 * @param agents - agents known to this gateway
 * @returns all services
 */
export function serviceViews (document: ConfigurationDocument, agents: AgentView[]): ServiceView[] {
  const endpoints = endpointViews(agents)
  return Object.entries(document.services).map(([name, service]) => ({
    name,
    kind: service.kind,
    replicas: service.replicas,
    ready: endpoints.filter(endpoint => serves(endpoint, name, service)).length,
    ...(service.kind === 'model' ? { model: service.model, version: service.version, classes: service.classes } : { classes: ['lookup'] })
  }))
}

/**
 * @param observed - gateways from their heartbeat rows
 * @param own - this gateway, whose own row may be some seconds old
 * @returns the live gateways
 */
export function gatewayViews (observed: ObservedGateway[], own: GatewayView): GatewayView[] {
  const others = observed
    .filter(gateway => gateway.state !== 'dead' && gateway.instance !== own.instance)
    .map(({ instance, row }) => ({
      instance, address: row.address, operationsAddress: row.operationsAddress, configurationVersion: row.configurationVersion, state: row.state
    }))
  return [own, ...others]
}

/**
 * @param version - highest known version
 * @param gateways - live gateways
 * @param agents - agents known to this gateway; unreachable ones are ignored
 * @returns whether all live daemons have the version
 */
export function isInForce (version: number, gateways: GatewayView[], agents: AgentView[]): boolean {
  const live = agents.filter(agent => agent.state !== 'unreachable')
  return version > 0 && [...gateways, ...live].every(daemon => daemon.configurationVersion >= version)
}
