/** The deployment that a run plays: bounds, routes, and the documents that daemons and the store receive. */
import type { Bounds } from './rule/types'

/** Host of all routes. */
export const HOST = 'assistants.example'

/** Bounds of the deployment, as the settings files state them. */
export const BOUNDS: Bounds = { graceMs: 8000, lossSlackMs: 200, contactMs: 3000, configurationApplyMs: 2000 }

/** Time for which a leaving endpoint serves after its row says so. */
export const DRAIN_MS = 2000

export const HEARTBEAT_MS = 1200

export const ZONES = ['a', 'b', 'c'] as const

/** Fixed ports of each machine. */
export const PORTS = { metrics: 9464, firstPeer: 7660, lastPeer: 7675, front: 8144, ready: 8140, control: 8146, inbound: 8141, engine: 8200 } as const

/** Clients reuse connections that have been idle for up to four fifths of this. */
export const IDLE_TIMEOUT_MS = 15_000

/** Memory and descriptors of each machine, as in the smallest deployment. */
export const MEMORY_MEGABYTES = 220
const DESCRIPTORS = 4100

/** Events of a stream. */
export const STREAM_EVENTS = 35

/** Longest gap between the events of a stream before its client leaves: eight times the longest pause that is on time. */
export const STREAM_GAP_MS = 3200

/** A kind of request. */
export interface RequestKind {
  route: string
  pathPrefix: string
  service: 'models' | 'plain'
  deadlineMs: number
  timeoutMs: number
  /** Whether it may run again, which includes streams that may be resumed. */
  repeatable: boolean
  /** Relative frequency. */
  weight: number
}

export const REQUEST_KINDS: readonly RequestKind[] = [
  { route: 'drafts', pathPrefix: '/drafts/', service: 'models', deadlineMs: 5000, timeoutMs: 5000, repeatable: true, weight: 24 },
  { route: 'notes', pathPrefix: '/notes/', service: 'models', deadlineMs: 5000, timeoutMs: 5000, repeatable: false, weight: 5 },
  { route: 'lookup', pathPrefix: '/lookup/', service: 'plain', deadlineMs: 2500, timeoutMs: 2500, repeatable: true, weight: 8 }
]

/** Fields in which configurations differ. */
export interface ConfigurationVariant {
  /** Added to the timeouts of all routes, so that those of `REQUEST_KINDS` are the shortest ones. */
  extraTimeoutMs: number
  /** Number of routes that no request uses. */
  extraRoutes: number
}

/** @returns a configuration in the operator's format */
export function configurationDocument (version: number, { extraTimeoutMs, extraRoutes }: ConfigurationVariant): unknown {
  const route = { host: HOST, priority: 0, public: false }
  const added = Array.from({ length: extraRoutes }, (_, index) => ({ ...route, name: `extra-${index}`, 'path-prefix': `/extra-${index}/`, 'route-type': 'idempotent', service: 'plain', 'timeout-ms': 2500, 'target-latency-ms': 190, 'max-attempts': 2 }))
  const streaming = { ...route, 'route-type': 'streaming', service: 'models', 'timeout-ms': 5000 + extraTimeoutMs, 'target-latency-ms': 300, 'target-gap-ms': 400, sticky: true }
  return {
    version,
    routes: [
      { ...streaming, name: 'drafts', 'path-prefix': '/drafts/', 'max-attempts': 2, resumable: true },
      { ...streaming, name: 'notes', 'path-prefix': '/notes/', 'max-attempts': 1, resumable: false },
      { ...route, name: 'lookup', 'path-prefix': '/lookup/', 'route-type': 'idempotent', service: 'plain', 'timeout-ms': 2500 + extraTimeoutMs, 'target-latency-ms': 190, 'max-attempts': 2 },
      ...added
    ],
    services: [{ name: 'models', 'max-conns': 370, engine: { slots: 8 } }, { name: 'plain', 'max-conns': 110 }],
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 5000, 'idle-timeout-ms': IDLE_TIMEOUT_MS }
  }
}

/** Role of a daemon in the deploy file. */
export type DaemonRole = 'gateway' | 'agent'

/** What the settings of a daemon depend on. */
export interface DaemonPlace {
  name: string
  role: DaemonRole
  ip: string
  zone: string
  storeAddress: string
  /** Address of the endpoint on the host of an agent. */
  endpointAddress?: string
}

/** @returns the settings file of a daemon */
export function settingsDocument ({ name, role, ip, zone, storeAddress, endpointAddress }: DaemonPlace): unknown {
  const own = {
    gateway: { listen: { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}`, control: `${ip}:${PORTS.control}` }, serves: ['frontend', 'control_plane'] },
    agent: { listen: { inbound: `${ip}:${PORTS.inbound}`, ready: `${ip}:${PORTS.ready}` }, app: endpointAddress, serves: ['side'] }
  }
  return {
    node: name,
    role,
    ip,
    zone,
    region: 'r',
    zones: Object.fromEntries(ZONES.map(name => [name, 'r'])),
    'port-range': [PORTS.firstPeer, PORTS.lastPeer],
    seeds: [],
    bootstrap: true,
    'data-dir': null,
    discovery: 'platform',
    entry: 'vip',
    'heartbeat-ms': HEARTBEAT_MS,
    limits: { 'memory-mb': MEMORY_MEGABYTES, 'max-fds': DESCRIPTORS },
    bounds: { 'contact-ms': BOUNDS.contactMs, 'drain-ms': DRAIN_MS, 'grace-s': BOUNDS.graceMs / 1000, 'loss-slack-ms': BOUNDS.lossSlackMs, 'config-apply-ms': BOUNDS.configurationApplyMs, 'status-s': 120, 'quota-overrun': 0.1 },
    platform: { address: storeAddress, form: 'table', 'writes-per-s': 800, 'reads-per-s': 2000, 'tx-timeout-ms': 8, 'part-writes-per-s': 150, 'max-row-bytes': 65_536, across: false, 'history-s': 20 },
    ...own[role]
  }
}
