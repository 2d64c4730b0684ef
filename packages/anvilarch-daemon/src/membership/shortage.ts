/**
 * Detects whether a service lacks endpoints. Pure.
 *
 * Placement orders are only known to the holder of the placement lease. The other gateways would detect an endpoint that was
 * assigned to a service at the next routine exchange with its agent, which in a large fleet takes more than a minute; until
 * then the service would be slow or unavailable through these gateways.
 */
import type { ConfigurationDocument } from 'anvilarch-configuration'
import type { AgentView } from './types'

/** Start of a shortage of endpoints under one configuration version. */
export interface Shortage {
  version: number
  sinceMs: number
}

/** Maximum time of more frequent exchanges. A fleet that is too small for its document has a permanent shortage. */
export const MAX_SHORTAGE_MS = 120_000

/**
 * @param document - active configuration document
 * @param agents - agents in the directory of this gateway
 * @returns whether a model service has fewer ready endpoints than replicas
 */
export function isShortOfEndpoints (document: ConfigurationDocument, agents: AgentView[]): boolean {
  const ready = new Map<string, number>()
  for (const agent of agents) {
    if (agent.state !== 'serving') continue
    for (const { service, health, models } of agent.endpoints) {
      const spec = document.services[service] as ConfigurationDocument['services'][string] | undefined
      if (health !== 'ready' || spec?.kind !== 'model') continue
      const serves = models.some(found => found.model === spec.model && found.version === spec.version && found.state === 'ready')
      if (serves) ready.set(service, (ready.get(service) ?? 0) + 1)
    }
  }
  return Object.entries(document.services).some(([name, spec]) => spec.kind === 'model' && (ready.get(name) ?? 0) < spec.replicas)
}

/**
 * @param before - shortage at the last check, if any
 * @param isShort - whether there is a shortage now
 * @param version - active configuration version
 * @param nowMs - time of the check
 * @returns current shortage; a new version restarts it
 */
export function updateShortage (before: Shortage | undefined, isShort: boolean, version: number, nowMs: number): Shortage | undefined {
  if (!isShort) return undefined
  return before?.version === version ? before : { version, sinceMs: nowMs }
}
