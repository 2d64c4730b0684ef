/** Selects the endpoints that may run the requests of each service, from the agent directory and the configuration. */
import type { ConfigurationDocument, ModelService } from 'anvilarch-configuration'
import type { EndpointState } from 'anvilarch-protocol'
import type { AgentView } from '../membership/types'
import type { Target } from './types'

/** Endpoints by service name. */
export type Candidates = ReadonlyMap<string, readonly Target[]>

interface Candidate {
  target: Target
  /** Whether it runs the version that the configuration document names. */
  current: boolean
}

/**
 * @param agents - agents known to this gateway
 * @param document - active configuration document
 * @returns endpoints that accept new requests
 */
export function candidatesByService (agents: readonly AgentView[], document: ConfigurationDocument | undefined): Candidates {
  const byService = new Map<string, Candidate[]>()
  for (const agent of agents) {
    if (agent.state !== 'serving') continue
    for (const endpoint of agent.endpoints) addEndpoint(byService, agent, endpoint, document)
  }
  return new Map([...byService].map(([service, entries]) => [service, preferCurrent(entries)]))
}

function addEndpoint (suited: Map<string, Candidate[]>, agent: AgentView, endpoint: EndpointState, document: ConfigurationDocument | undefined): void {
  if (endpoint.health !== 'ready' || endpoint.service === '') return
  const spec = document?.services[endpoint.service]
  if (spec === undefined || spec.kind !== endpoint.kind) return
  if (spec.kind === 'model' && !hasModel(endpoint, spec)) return
  const current = spec.kind === 'plain' || hasModel(endpoint, spec, spec.version)
  const entries = suited.get(endpoint.service) ?? []
  entries.push({ target: toTarget(agent, endpoint.endpoint), current })
  suited.set(endpoint.service, entries)
}

function hasModel (endpoint: EndpointState, spec: ModelService, version?: string): boolean {
  return endpoint.models.some(loaded => loaded.model === spec.model && loaded.state === 'ready' &&
    (version === undefined || loaded.version === version))
}

/** Endpoints of the previous version keep serving until one has loaded the new version, so that no request is refused meanwhile. */
function preferCurrent (entries: readonly Candidate[]): Target[] {
  const current = entries.filter(entry => entry.current)
  return (current.length > 0 ? current : entries).map(entry => entry.target)
}

function toTarget (agent: AgentView, endpoint: string): Target {
  return {
    key: `${agent.name}/${endpoint}`,
    agent: agent.name,
    address: agent.address,
    endpoint,
    incarnation: agent.incarnation,
    failureDomain: agent.failureDomain,
    region: agent.region
  }
}
