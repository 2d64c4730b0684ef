/** Formats endpoints for the terminal. */
import type { EndpointView } from '../gateway/types'
import { UNREACHABLE } from '../configuration/inForce'
import { type Cell, formatTable } from './table'

/** @returns the endpoints as a table */
export function formatEndpoints (endpoints: EndpointView[]): string {
  if (endpoints.length === 0) return 'no endpoints'
  const rows = endpoints.map((endpoint): Cell[] => [
    endpoint.endpoint,
    endpoint.agent,
    endpoint.agentState,
    endpoint.kind,
    endpoint.service,
    shownHealth(endpoint.health, endpoint.agentState),
    formatModels(endpoint),
    endpoint.load?.runningOnline ?? 0,
    endpoint.load?.runningBatch ?? 0,
    endpoint.load?.queued ?? 0
  ])
  return formatTable(['ENDPOINT', 'AGENT', 'STATE', 'KIND', 'SERVICE', 'HEALTH', 'MODELS', 'ONLINE', 'BATCH', 'QUEUED'], rows)
}

/**
 * Replaces the health of an endpoint whose agent is unreachable by `unknown`: the agent's last report is outdated, and a "ready"
 * there would mislead the operator.
 *
 * @param health - last reported by the agent
 * @param agentState - state of the agent
 * @returns the health to show
 */
export function shownHealth (health: string, agentState: string | undefined): string {
  return agentState === UNREACHABLE ? 'unknown' : health
}

function formatModels ({ models = [] }: EndpointView): string {
  return models.map(({ model, version, state }) => `${model}@${version}${state === 'ready' ? '' : `(${state})`}`).join(' ')
}
