/** In-memory engines that execute placement orders; a load completes when `finishLoads` is called. */
import type { ConfigurationDocument } from 'anvilarch-configuration'
import type { EndpointState } from 'anvilarch-protocol'
import type { AgentView } from '../../membership/types'
import type { PlannedOrder } from '../types'

/** One host with one engine. */
export interface SimulatedEngine {
  name: string
  failureDomain: string
  state: AgentView['state']
  health: 'ready' | 'crashed'
  service: string
  /** Incarnation of the agent process. */
  incarnation: string
  settledOrder: string
  models: Array<{ model: string, version: string, adapters: string[], state: string }>
}

/** @returns engines without weights, distributed over the failure domains */
export function createEngines (count: number, failureDomains: string[]): SimulatedEngine[] {
  return Array.from({ length: count }, (_unused, index) => ({
    name: `agent-${index}`, failureDomain: failureDomains[index % failureDomains.length], state: 'serving', health: 'ready', service: '', incarnation: 'first', settledOrder: '', models: []
  }))
}

/** @returns the engines as agent views of a gateway's directory */
export function toViews (engines: SimulatedEngine[]): AgentView[] {
  return engines.map(engine => ({
    name: engine.name,
    host: engine.name,
    address: engine.name,
    operationsAddress: '',
    incarnation: engine.incarnation,
    failureDomain: engine.failureDomain,
    region: 'addis',
    state: engine.state,
    configurationVersion: 1,
    lastHeardMs: 0,
    endpoints: [{ endpoint: 'engine', kind: 'model', service: engine.service, health: engine.health, models: engine.models.map(model => ({ ...model })), fencingToken: 0n, settledOrder: engine.settledOrder } as unknown as EndpointState]
  }))
}

/** Effect of an order on an engine. */
export const EFFECTS: Record<PlannedOrder['action'], (engine: SimulatedEngine, order: PlannedOrder) => void> = {
  load: (engine, { model, version, adapters }) => {
    engine.models = engine.models.filter(found => found.model !== model || found.version !== version)
    engine.models.push({ model, version, adapters, state: 'loading' })
  },
  unload: (engine, { model, version }) => { engine.models = engine.models.filter(found => found.model !== model || found.version !== version) },
  assign: (engine, { service }) => { engine.service = service }
}

/** Replaces the process of an engine instantly: its models are lost, but no health check fails. */
export function restart (engine: SimulatedEngine): void {
  engine.models = []
}

/** Completes every load in progress. */
export function finishLoads (engines: SimulatedEngine[]): void {
  for (const engine of engines) engine.models = engine.models.map(model => ({ ...model, state: 'ready' }))
}

/** Requirements of a model service in a test document. */
export interface TestService { replicas: number, version?: string, failureDomains?: string[] }

/** @returns document with model services, each with its own model */
export function documentOf (services: Record<string, TestService>, maxConcurrentLoads: number): ConfigurationDocument {
  const entries = Object.entries(services).map(([name, { replicas, version = 'v1', failureDomains = [] }]) =>
    [name, { kind: 'model', model: `model-${name}`, version, adapters: [], replicas, failureDomains }])
  return { services: Object.fromEntries(entries), limits: { maxConcurrentLoads } } as unknown as ConfigurationDocument
}
