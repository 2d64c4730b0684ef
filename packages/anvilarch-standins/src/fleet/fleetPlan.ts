/** Plans the fleet: its processes with their addresses, arguments and settings. */
import { join, resolve } from 'node:path'
import type { EndpointSettings } from 'anvilarch-configuration'
import type { HostEntry } from 'anvilarch-protocol'
import { FLEET_HOST } from './ports'
import type { FleetDaemonSettings, FleetOptions, ProcessRole, ProcessSpec } from './types'

/** Root of the workspace. The relative path is the same from the sources (`src`) and from the build (`lib`). */
export const WORKSPACE_ROOT = resolve(__dirname, '../../../..')

const STANDIN_SCRIPT = join(WORKSPACE_ROOT, 'packages/anvilarch-standins/lib/bin/standin.js')
const DAEMON_SCRIPT = join(WORKSPACE_ROOT, 'packages/anvilarch-daemon/lib/bin/anvilarchd.js')

const PLATFORM_ROLES = ['table', 'objects', 'hosts', 'weights', 'ledger'] as const
const DEFAULT_SLOTS = 32
/** A plain service responds in a few milliseconds, so that one endpoint runs many calls concurrently. */
const PLAIN_SLOTS = 64

/**
 * @param options - the fleet
 * @returns the number of ports that it needs
 */
export function countPorts (options: FleetOptions): number {
  const endpoints = options.modelEndpoints + options.plainEndpoints
  const agents = Math.ceil(endpoints / options.endpointsPerAgent)
  return PLATFORM_ROLES.length + endpoints + agents * 2 + options.gateways * 3
}

/**
 * @param options - the fleet
 * @param ports - as many ports as `countPorts` returns
 * @returns all processes in the order in which they start
 */
export function planFleet (options: FleetOptions, ports: number[]): ProcessSpec[] {
  const remaining = [...ports]
  const nextAddress = (): string => `${FLEET_HOST}:${remaining.shift() as number}`
  const platform = PLATFORM_ROLES.map(role => planPlatform(role, options, nextAddress()))
  const urls = Object.fromEntries(platform.map(({ role, addresses }) => [role, addresses.http])) as PlatformUrls
  const engines = namesOf('engine', options.modelEndpoints).map(name => planEngine(name, options, urls, nextAddress()))
  const plains = namesOf('plain', options.plainEndpoints).map(name => planPlain(name, options, urls, nextAddress()))
  const groups = groupBy([...engines, ...plains], options.endpointsPerAgent)
  const agents = namesOf('agent', groups.length).map((name, index) => planAgent(name, index, groups[index], options, urls, nextAddress))
  const gateways = namesOf('gateway', options.gateways).map((name, index) => planGateway(name, index, options, urls, nextAddress))
  return [...platform, ...engines, ...plains, ...agents, ...gateways]
}

type PlatformUrls = Record<typeof PLATFORM_ROLES[number], string>

const PLATFORM_ARGUMENTS: Record<typeof PLATFORM_ROLES[number], (options: FleetOptions) => string[]> = {
  table: () => [],
  objects: () => [],
  hosts: options => ['--faults', JSON.stringify({ lagMs: options.hostListLagMs })],
  weights: options => ['--max-concurrent', String(options.weights.maxConcurrent), '--transfer-ms', String(options.weights.transferMs)],
  ledger: () => []
}

function planPlatform (role: typeof PLATFORM_ROLES[number], options: FleetOptions, address: string): ProcessSpec {
  return planStandin(role, role, address, PLATFORM_ARGUMENTS[role](options), options)
}

function planEngine (name: string, options: FleetOptions, urls: PlatformUrls, address: string): ProcessSpec {
  const engineOptions = Object.entries(options.engine).flatMap(([option, value]) => ['--set', `${option}=${value}`])
  const fencing = options.checksFencing ? ['--checks-fencing'] : []
  return planStandin('engine', name, address, ['--name', name, '--ledger-url', urls.ledger, '--weights-url', urls.weights, ...engineOptions, ...fencing], options)
}

function planPlain (name: string, options: FleetOptions, urls: PlatformUrls, address: string): ProcessSpec {
  return planStandin('plain', name, address, ['--name', name, '--ledger-url', urls.ledger, '--service-ms', String(options.serviceMs)], options)
}

function planStandin (role: ProcessRole, name: string, address: string, extraArguments: string[], options: FleetOptions): ProcessSpec {
  const url = `http://${address}`
  return {
    name,
    role,
    script: STANDIN_SCRIPT,
    arguments: [role, '--port', address.split(':')[1], '--faults-file', join(options.directory, 'faults', `${name}.json`), ...extraArguments],
    addresses: { http: url },
    aliveUrl: `${url}/faults`,
    readyUrl: `${url}/faults`
  }
}

function planAgent (name: string, index: number, endpoints: ProcessSpec[], options: FleetOptions, urls: PlatformUrls, nextAddress: () => string): ProcessSpec {
  const settings: FleetDaemonSettings = {
    ...commonSettings('agent', name, index, options, urls),
    listen: { peers: nextAddress(), operations: nextAddress() },
    agent: { ...options.agentSettings, endpoints: endpoints.map(endpoint => endpointSettings(endpoint, options)) }
  }
  return { ...planDaemon(settings, options), fronts: endpoints.map(endpoint => endpoint.name) }
}

function endpointSettings (endpoint: ProcessSpec, options: FleetOptions): EndpointSettings {
  const url = endpoint.addresses.http
  if (endpoint.role === 'plain') return { name: endpoint.name, kind: 'plain', service: options.plainService, url, checksFencing: false, slots: PLAIN_SLOTS }
  return { name: endpoint.name, kind: 'model', url, checksFencing: options.checksFencing, slots: options.engine.slots ?? DEFAULT_SLOTS }
}

function planGateway (name: string, index: number, options: FleetOptions, urls: PlatformUrls, nextAddress: () => string): ProcessSpec {
  const settings: FleetDaemonSettings = {
    ...commonSettings('gateway', name, index, options, urls),
    listen: { callers: nextAddress(), peers: nextAddress(), operations: nextAddress() },
    gateway: options.gatewaySettings
  }
  return planDaemon(settings, options)
}

function commonSettings (role: 'gateway' | 'agent', name: string, index: number, options: FleetOptions, urls: PlatformUrls): Omit<FleetDaemonSettings, 'listen'> {
  return {
    role,
    name,
    host: `host-${name}`,
    failureDomain: options.failureDomains[index % options.failureDomains.length],
    region: options.region,
    platform: { tableUrl: urls.table, objectsUrl: urls.objects, hostsUrl: urls.hosts },
    log: { level: options.logLevel }
  }
}

function planDaemon (planned: FleetDaemonSettings, options: FleetOptions): ProcessSpec {
  const settings = options.adjustSettings?.(planned) ?? planned
  const settingsFile = join(options.directory, 'settings', `${settings.name}.jsonc`)
  const { callers, peers, operations } = settings.listen
  const hostEntry: HostEntry = { host: settings.host, role: settings.role, address: options.hostAddress?.(settings) ?? peers, failureDomain: settings.failureDomain, region: settings.region, state: 'live' }
  return {
    name: settings.name,
    role: settings.role,
    script: DAEMON_SCRIPT,
    arguments: ['--settings', settingsFile],
    addresses: { ...(callers === undefined ? {} : { callers: `http://${callers}` }), peers: `http://${peers}`, operations: `http://${operations}` },
    aliveUrl: `http://${operations}/healthz`,
    readyUrl: `http://${operations}/readyz`,
    settings,
    settingsFile,
    hostEntry
  }
}

function namesOf (prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`)
}

function groupBy<Item> (items: Item[], size: number): Item[][] {
  return Array.from({ length: Math.ceil(items.length / size) }, (_, index) => items.slice(index * size, (index + 1) * size))
}
