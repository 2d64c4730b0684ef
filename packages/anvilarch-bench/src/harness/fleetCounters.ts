/** Reads counters of a fleet: metrics of the daemons and ledgers of the stand-ins. */
import type { EngineLedger, ObjectLedger, TableLedger } from 'anvilarch-standins'
import { request } from 'undici'
import { type MetricSample, parseMetrics, sumMetric } from '../sampling/metricsReader'
import type { BenchDaemon, BenchFleet, BenchPlatform } from './fleetTypes'

/**
 * @param url - to read
 * @returns the JSON body
 */
export async function getJson<Body> (url: string): Promise<Body> {
  const response = await request(url)
  return await response.body.json() as Body
}

/**
 * @param daemons - daemons to read from
 * @returns the metrics of all of them; daemons that do not respond are omitted
 */
export async function readMetrics (daemons: readonly BenchDaemon[]): Promise<MetricSample[]> {
  const pages = await Promise.all(daemons.map(async daemon => {
    try {
      return await (await request(`${daemon.operationsUrl}/metrics`)).body.text()
    } catch {
      return ''
    }
  }))
  return pages.flatMap(parseMetrics)
}

/** Calls that the stand-ins of the platform served. */
export interface PlatformCounts {
  tableReads: number
  tableScans: number
  tableCommits: number
  objectPuts: number
  objectGets: number
  objectLists: number
}

/**
 * @param fleet - fleet with the platform
 * @returns calls since the stand-ins started
 */
export async function readPlatformCounts (fleet: Pick<BenchFleet, 'table' | 'objects'>): Promise<PlatformCounts> {
  const [table, objects] = await Promise.all([readLedger<TableLedger>(fleet.table), readLedger<ObjectLedger>(fleet.objects)])
  const tableCounts = table.counts as unknown as Record<string, number>
  return {
    tableReads: tableCounts.reads ?? 0,
    tableScans: tableCounts.scans ?? 0,
    tableCommits: tableCounts.commits ?? 0,
    objectPuts: objects.counts.puts + objects.counts.repeatedPuts,
    objectGets: objects.counts.gets,
    objectLists: objects.counts.lists
  }
}

/**
 * @param before - counts at the start
 * @param after - counts at the end
 * @returns their differences
 */
export function countsBetween (before: PlatformCounts, after: PlatformCounts): PlatformCounts {
  const names = Object.keys(before) as Array<keyof PlatformCounts>
  return Object.fromEntries(names.map(name => [name, after[name] - before[name]])) as unknown as PlatformCounts
}

/**
 * @param fleet - fleet with the endpoints
 * @param kind - kind of endpoints to read
 * @returns the executions by name of the endpoint; endpoints that do not respond are omitted
 */
export async function readExecutions (fleet: BenchFleet, kind: 'model' | 'plain' = 'model'): Promise<Map<string, EngineLedger['executions']>> {
  const executions = new Map<string, EngineLedger['executions']>()
  for (const agent of fleet.agents.filter(candidate => candidate.kind === kind)) {
    const ledger = await getJson<EngineLedger>(`${agent.endpoint.url}/ledger`).catch(() => undefined)
    if (ledger !== undefined) executions.set(agent.endpoint.name, ledger.executions)
  }
  return executions
}

/**
 * @param before - metrics at the start
 * @param after - metrics at the end
 * @param name - of a counter
 * @param labels - that must match
 * @returns its increase
 */
export function metricGrowth (before: readonly MetricSample[], after: readonly MetricSample[], name: string, labels?: Record<string, string>): number {
  return sumMetric(after, name, labels) - sumMetric(before, name, labels)
}

async function readLedger<Ledger> (platform: BenchPlatform): Promise<Ledger> {
  return await getJson<Ledger>(`${platform.url}/ledger`)
}
