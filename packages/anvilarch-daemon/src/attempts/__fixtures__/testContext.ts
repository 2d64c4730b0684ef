/** Daemon context of in-memory parts, for tests of a gateway. */
import { type ConfigurationDocument, DEFAULT_AGENT_SETTINGS, DEFAULT_BATCH_POLICY, DEFAULT_CALLER_LIMITS, DEFAULT_GATEWAY_SETTINGS, DEFAULT_LIMITS, type GatewaySettings } from 'anvilarch-configuration'
import type { PlatformPorts } from 'anvilarch-protocol'
import { type Clock, createRandom, createSystemClock, SILENT_LOGGER } from 'anvilarch-utils'
import type { ConfigurationHolder } from '../../configuration/types'
import type { DaemonContext } from '../../context'
import type { AgentDirectory, AgentView } from '../../membership/types'
import { createMetrics } from '../../metrics/createMetrics'
import type { Quarantine } from '../../quarantine/types'
import { createTimeline } from '../../timeline/createTimeline'
import { createMemoryTable } from './memoryTable'

export const TEST_DOCUMENT: ConfigurationDocument = {
  formatVersion: 1,
  regions: { west: { failureDomains: ['hall-a', 'hall-b'] } },
  models: { large: { versions: { 1: { sizeBytes: 1 } }, adapters: ['notes'] } },
  services: {
    writer: { kind: 'model', model: 'large', version: '1', adapters: ['notes'], replicas: 2, classes: ['online', 'batch'], failureDomains: [], timeoutMs: 20_000, batch: DEFAULT_BATCH_POLICY },
    names: {
      kind: 'plain',
      replicas: 2,
      routes: [
        { method: 'GET', path: '/names/:name', idempotent: true, timeoutMs: 5_000 },
        { method: 'POST', path: '/names/:name/reservations', idempotent: false, timeoutMs: 5_000 }
      ]
    }
  },
  defaultCaller: DEFAULT_CALLER_LIMITS,
  callers: {},
  limits: DEFAULT_LIMITS
}

export interface TestContextOptions {
  clock?: Clock
  gateway?: Partial<GatewaySettings>
  document?: ConfigurationDocument | undefined
  platform?: Partial<PlatformPorts>
  incarnation?: string
}

export function createTestContext (options: TestContextOptions = {}): DaemonContext {
  const clock = options.clock ?? createSystemClock()
  const name = 'gateway-1'
  return {
    settings: {
      role: 'gateway',
      name,
      host: 'host-g1',
      failureDomain: 'hall-a',
      region: 'west',
      listen: { callers: '127.0.0.1:0', peers: '127.0.0.1:0', operations: '127.0.0.1:0' },
      platform: { adapter: 'http', tableUrl: '', objectsUrl: '', hostsUrl: '', timeoutMs: 1_000 },
      log: { level: 'error' },
      agent: DEFAULT_AGENT_SETTINGS,
      gateway: { ...DEFAULT_GATEWAY_SETTINGS, silenceMs: 100, drainTimeoutMs: 5_000, ...options.gateway }
    },
    incarnation: options.incarnation ?? 'g1',
    clock,
    random: createRandom(7),
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
    timeline: createTimeline({ clock, process: name, capacity: 1_000 }),
    platform: { table: createMemoryTable().port, objects: undefined as never, hosts: undefined as never, ...options.platform },
    configuration: fixedConfiguration('document' in options ? options.document : TEST_DOCUMENT)
  }
}

function fixedConfiguration (document: ConfigurationDocument | undefined): ConfigurationHolder {
  const current = document === undefined ? undefined : { version: 1, hash: 'h', document, documentJson: '' }
  return { current: () => current, version: () => current?.version ?? 0, offer: () => 'not_newer', onChange: () => () => {} }
}

/** More listener calls than any test needs. */
const MAX_LISTENER_CALLS = 1_000

export interface FakeDirectory extends AgentDirectory {
  views: AgentView[]
  notes: string[]
  /** Adds an agent, as membership does when it discovers one. */
  add: (view: AgentView) => void
  /** Notifies listeners after the test has changed a view. */
  notifyListeners: () => void
}

/** A directory whose agents are set by the test; it records the notes that it receives. */
export function createFakeDirectory (views: AgentView[]): FakeDirectory {
  const notes: string[] = []
  const listeners = new Set<() => void>()
  // As in the real directory, a listener that is added meanwhile is called as well.
  const notifyListeners = (): void => {
    let calls = 0
    for (const listener of listeners) {
      if (calls++ > MAX_LISTENER_CALLS) throw new Error('listeners are added without limit')
      listener()
    }
  }
  const change = (agent: string, note: string, apply: (view: AgentView) => void): void => {
    notes.push(`${agent} ${note}`)
    views.filter(view => view.name === agent).forEach(apply)
  }
  return {
    views,
    notes,
    add: view => {
      views.push(view)
      notifyListeners()
    },
    notifyListeners,
    list: () => views,
    get: name => views.find(view => view.name === name),
    noteLoad: () => {},
    noteDraining: agent => { change(agent, 'draining', view => { view.state = 'draining' }) },
    noteUnreachable: agent => { change(agent, 'unreachable', view => { view.state = 'unreachable' }) },
    noteIncarnation: (agent, incarnation) => { change(agent, 'incarnation', view => { view.incarnation = incarnation }) },
    noteEndpointDown: agent => { change(agent, 'endpoint_down', view => { view.endpoints.forEach(endpoint => { endpoint.health = 'crashed' }) }) },
    onChange: listener => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}

export function createFakeQuarantine (): Quarantine {
  const fingerprints = new Set<string>()
  return { has: each => fingerprints.has(each), add: each => { fingerprints.add(each) }, list: () => [...fingerprints] }
}
