/** Starts a local fleet for one run, applies a document and waits until every endpoint is ready for work. */
import type { Clock } from 'anvilarch-utils'
import { applyDocument, type Fleet, type FleetProcess, startFleet, waitFor } from 'anvilarch-standins'
import { getJson } from './fleetCounters'
import type { BenchAgent, BenchDocument, BenchFleet, BenchFleetOptions, BenchGateway } from './fleetTypes'
import type { RunContext } from './types'

/** Names in the configuration document of the bench. */
export const BENCH_NAMES = { model: 'bench-model', version: '1.0', modelService: 'assistant', plainService: 'lookup', region: 'local' } as const

const DEFAULT_FAILURE_DOMAINS = ['domain-a', 'domain-b']
/** Short transfers: the time to load weights is not measured. */
const FAST_WEIGHT_LOADING = { maxConcurrent: 8, transferMs: 20 }
const READY_TIMEOUT_MS = 30_000
/** Limits that no experiment reaches, since only the limits of endpoints and daemons are measured. */
const UNLIMITED_CALLER = { requestsPerSecond: 1_000_000, burst: 1_000_000, maxConcurrent: 100_000, maxActiveJobs: 1000 }

const openFleets = new Set<Fleet>()

/** Stops the fleets of an interrupted run, whose processes would otherwise keep running. */
export async function stopOpenFleets (): Promise<void> {
  await Promise.all([...openFleets].map(fleet => fleet.stop()))
}

/** The fields of `GET /admin/v1/status` that the bench reads. */
interface StatusView {
  agents: Array<{ name: string, state: string, endpoints: Array<{ kind: string, health: string, service: string, models: Array<{ state: string }> }> }>
}

/**
 * @param context - of the run; files of the fleet are written to its folder
 * @param options - size and settings
 * @returns the fleet, ready for work
 */
export async function openFleet (context: Pick<RunContext, 'clock' | 'directory'>, options: BenchFleetOptions): Promise<BenchFleet> {
  const failureDomains = options.failureDomains ?? DEFAULT_FAILURE_DOMAINS
  const document = benchDocument(options, failureDomains)
  options.document?.(document)
  const local = await startFleet({
    directory: context.directory,
    gateways: options.gateways,
    modelEndpoints: options.models,
    plainEndpoints: options.plains,
    region: BENCH_NAMES.region,
    failureDomains,
    plainService: BENCH_NAMES.plainService,
    engine: options.engine ?? {},
    weights: FAST_WEIGHT_LOADING,
    logLevel: 'warn',
    gatewaySettings: options.gateway ?? {},
    agentSettings: options.agent ?? {},
    adjustSettings: options.adjustSettings,
    ...(options.plainServiceMs === undefined ? {} : { serviceMs: options.plainServiceMs })
  })
  openFleets.add(local)
  try {
    await applyDocument(local.callerUrls()[0], 'bench.jsonc', JSON.stringify(document))
    await local.waitReady()
    const fleet = toBenchFleet(local, document)
    await Promise.all(fleet.gateways.map(gateway => waitForEndpoints(context.clock, gateway, options.models + options.plains)))
    return fleet
  } catch (error) {
    await stopFleet(local)
    throw error
  }
}

async function stopFleet (local: Fleet): Promise<void> {
  await local.stop()
  openFleets.delete(local)
}

/** Waits until the gateway lists all endpoints as ready. Otherwise a run would start with the load on some of them only. */
async function waitForEndpoints (clock: Clock, gateway: BenchGateway, count: number): Promise<void> {
  await waitFor(async () => {
    const status = await getJson<StatusView>(`${gateway.origin}/admin/v1/status`)
    const endpoints = status.agents.filter(agent => agent.state === 'serving').flatMap(agent => agent.endpoints)
    const ready = endpoints.filter(endpoint => endpoint.health === 'ready' && endpoint.service !== '' && endpoint.models.every(model => model.state === 'ready'))
    return ready.length >= count
  }, { clock, timeoutMs: READY_TIMEOUT_MS, what: `gateway "${gateway.name}" to see ${count} endpoints that take work` })
}

function benchDocument (options: BenchFleetOptions, failureDomains: string[]): BenchDocument {
  const services: BenchDocument['services'] = {}
  if (options.models > 0) {
    services[BENCH_NAMES.modelService] = {
      kind: 'model', model: BENCH_NAMES.model, version: BENCH_NAMES.version, replicas: options.models, classes: ['online', 'batch'], timeoutMs: 30_000
    }
  }
  services[BENCH_NAMES.plainService] = {
    kind: 'plain', replicas: Math.max(1, options.plains), routes: [{ method: 'GET', path: '/names/:name', idempotent: true, timeoutMs: 5000 }]
  }
  return {
    formatVersion: 1,
    regions: { [BENCH_NAMES.region]: { failureDomains } },
    models: { [BENCH_NAMES.model]: { versions: { [BENCH_NAMES.version]: { sizeBytes: 1_000_000 } }, adapters: [] } },
    services,
    defaultCaller: UNLIMITED_CALLER
  }
}

function toBenchFleet (local: Fleet, document: BenchDocument): BenchFleet {
  const platformOf = (role: 'table' | 'objects' | 'hosts'): BenchFleet['table'] => ({ url: local.urls[role], pid: pidOf(local.processes(role)[0]) })
  return {
    gateways: local.processes('gateway').map(toGateway),
    agents: local.processes('agent').map(agent => toAgent(agent, local)),
    table: platformOf('table'),
    objects: platformOf('objects'),
    hosts: platformOf('hosts'),
    services: { model: BENCH_NAMES.modelService, plain: BENCH_NAMES.plainService },
    model: BENCH_NAMES.model,
    document,
    local,
    stop: () => stopFleet(local)
  }
}

function toGateway (gateway: FleetProcess): BenchGateway {
  const { callers, peers, operations } = gateway.spec.addresses
  return { name: gateway.spec.name, pid: pidOf(gateway), peerAddress: new URL(peers).host, operationsUrl: operations, origin: callers }
}

function toAgent (agent: FleetProcess, local: Fleet): BenchAgent {
  const { peers, operations } = agent.spec.addresses
  const endpoint = local.get(agent.spec.fronts?.[0] ?? '')
  return {
    name: agent.spec.name,
    pid: pidOf(agent),
    peerAddress: new URL(peers).host,
    operationsUrl: operations,
    kind: endpoint.spec.role === 'plain' ? 'plain' : 'model',
    failureDomain: agent.spec.hostEntry?.failureDomain ?? '',
    endpoint: { name: endpoint.spec.name, url: endpoint.spec.addresses.http, pid: pidOf(endpoint) }
  }
}

function pidOf (fleetProcess: FleetProcess): number {
  if (fleetProcess.processId === undefined) throw new Error(`"${fleetProcess.spec.name}" is not running`)
  return fleetProcess.processId
}
