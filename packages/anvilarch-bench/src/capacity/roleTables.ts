/** Capacity tables: the load of each role and of the platform at the size that the system is designed for. */
import { AGENTS, ASSUMED, BUDGETS, ITEMS_PER_SECOND, SECONDS_PER_DAY, SIZES } from './sizes'
import { assumed, estimateAt, measured, type Results, type CapacityValue, sum, times } from './capacityValues'

/** A row of a capacity table. */
export interface CapacityRow {
  quantity: string
  /** The size that the value refers to, in words. */
  size: string
  value: CapacityValue
  unit: string
  budget?: number
  /** What bounds or reduces the value. */
  mechanism: string
}

/** A table with its heading. */
export interface CapacityTable {
  title: string
  rows: CapacityRow[]
}

const MS_PER_SECOND = 1000
const PER_THOUSAND = 1000
const MEBIBYTE = 1024 * 1024
const KIBIBYTE = 1024
const ONE_GATEWAY_VARIANT = /one gateway/

/**
 * @param results - latest results
 * @returns the tables of the roles and of the platform
 */
export function roleTables (results: Results): CapacityTable[] {
  return [gatewayTable(results), agentTable(results), platformTable(results)]
}

function gatewayTable (results: Results): CapacityTable {
  const { gateways } = ASSUMED
  const perGateway = (rate: number): number => rate / gateways
  return {
    title: `Gateway (${gateways} of ${SIZES.daemons} daemons, assumed)`,
    rows: [
      ...controlRows(results, 'gateway', AGENTS, `${AGENTS} agents`),
      cpuRow('requests', times(measured(results, 'overhead', 'through', 'gatewayCpuPerLookupMs'), perGateway(SIZES.requestsPerSecond)), `${SIZES.requestsPerSecond} requests a second over ${gateways}`, 'one session to each agent, no probe for a request'),
      bytesRow(results, 'gateway', perGateway(SIZES.requestsPerSecond), `${SIZES.requestsPerSecond} requests a second over ${gateways}`),
      cpuRow('online tokens', times(measured(results, 'overhead', 'through', 'gatewayCpuPerDenseTokenMs'), perGateway(SIZES.tokensPerSecond * ASSUMED.onlineTokenShare)), `${SIZES.tokensPerSecond} tokens a second, ${ASSUMED.onlineTokenShare * 100}% online (assumed), over ${gateways}`, 'frames of one turn joined'),
      cpuRow('batch items', times(measured(results, 'jobs', largestJob(results), 'gatewayCpuPerItemMs'), perGateway(ITEMS_PER_SECOND)), `${Math.round(ITEMS_PER_SECOND)} items a second over ${gateways}`, 'parts leased in chunks, items answered whole'),
      { quantity: 'memory with the largest job', size: `${SIZES.largestJobItems} items`, value: scaled(measured(results, 'jobs', largestJob(results), 'gatewayPeakBytes'), 1 / MEBIBYTE), unit: `MiB, peak with ${largestJob(results)}`, mechanism: 'parts of bounded size, buffers bounded in items and bytes' },
      { quantity: 'callers\' limits', size: `${SIZES.callers} accounts`, value: scaled(assumed(200 * SIZES.callers), 1 / MEBIBYTE), unit: 'MiB', mechanism: 'a token bucket for each account seen' },
      { quantity: 'streams in progress', size: `${SIZES.requestsPerSecond} requests a second`, value: assumed(perGateway(streamsInProgress())), unit: 'streams', mechanism: 'bounded by maxConcurrentRequests' }
    ]
  }
}

function agentTable (results: Results): CapacityTable {
  const perAgent = (rate: number): number => rate / AGENTS
  return {
    title: `Agent (${AGENTS} of ${SIZES.daemons} daemons, ${(SIZES.replicas / AGENTS).toFixed(1)} replicas each)`,
    rows: [
      ...controlRows(results, 'agent', ASSUMED.gateways, `${ASSUMED.gateways} gateways`),
      cpuRow('requests', times(measured(results, 'overhead', 'through', 'agentCpuPerLookupMs'), perAgent(SIZES.requestsPerSecond)), `${SIZES.requestsPerSecond} requests a second over ${AGENTS}`, 'one session from each gateway'),
      bytesRow(results, 'agent', perAgent(SIZES.requestsPerSecond), `${SIZES.requestsPerSecond} requests a second over ${AGENTS}`),
      cpuRow('tokens', times(measured(results, 'overhead', 'through', 'agentCpuPerDenseTokenMs'), perAgent(SIZES.tokensPerSecond)), `${SIZES.tokensPerSecond} tokens a second over ${AGENTS}`, 'events of the engine read once, frames joined'),
      cpuRow('batch items', times(measured(results, 'jobs', largestJob(results), 'agentCpuPerItemMs'), perAgent(ITEMS_PER_SECOND)), `${Math.round(ITEMS_PER_SECOND)} items a second over ${AGENTS}`, 'whole answers: one frame an item'),
      { quantity: 'streams in progress', size: `${SIZES.requestsPerSecond} requests a second`, value: assumed(perAgent(streamsInProgress())), unit: 'streams', mechanism: 'bounded by slots and the queue of the endpoint' }
    ]
  }
}

/** Calls of all daemons together. */
function platformTable (results: Results): CapacityTable {
  const { gateways } = ASSUMED
  const items = (figure: string): CapacityValue => times(measured(results, 'jobs', largestJob(results), figure), ITEMS_PER_SECOND / PER_THOUSAND)
  const idle = (figure: string): CapacityValue => sum(
    times(estimateAt(results, 'control', 'peers', `gatewayIdle${figure}`, AGENTS), gateways),
    times(estimateAt(results, 'control', 'peers', `agentIdle${figure}`, gateways), AGENTS)
  )
  const row = (what: string, size: string, value: CapacityValue, budget: number | undefined, mechanism: string): CapacityRow => ({ quantity: what, size, value, unit: 'a second', budget, mechanism })
  const itemSize = `${Math.round(ITEMS_PER_SECOND)} items a second`
  const daemonSize = `${gateways} gateways, ${AGENTS} agents`
  const commits = items('tableCommitsPer1000Items')
  const idleCommits = idle('TableCommitsPerSecond')
  const reads = items('tableReadsPer1000Items')
  const idleReads = sum(idle('TableReadsPerSecond'), idle('TableScansPerSecond'))
  return {
    title: 'Platform, all daemons together',
    rows: [
      row('table writes, batch', itemSize, commits, undefined, 'one commit for a segment of many items'),
      row('table writes, idle', daemonSize, idleCommits, undefined, 'one heartbeat row a gateway for all its leases'),
      row('table writes, configuration', `${SIZES.configurationChangesPerDay} changes a day`, assumed(SIZES.configurationChangesPerDay / SECONDS_PER_DAY), undefined, 'one row, compare-and-set'),
      row('table writes, together', 'sum', sum(commits, idleCommits), BUDGETS.tableWritesPerSecond, ''),
      row('table reads, batch', itemSize, reads, undefined, 'scans for work start at hashed places'),
      row('table reads, idle', daemonSize, idleReads, undefined, 'gateways poll, agents are pushed to'),
      row('table reads, together', 'sum', sum(reads, idleReads), BUDGETS.tableReadsPerSecond, ''),
      row('object writes', itemSize, items('objectPutsPer1000Items'), BUDGETS.objectWritesPerSecond, 'chunks of many lines, segments of many results'),
      row('object reads', itemSize, items('objectGetsPer1000Items'), BUDGETS.objectReadsPerSecond, 'a part is one chunk'),
      { quantity: 'configuration in force', size: `${AGENTS} agents`, value: estimateAt(results, 'configuration', 'peers', 'inForceMaxMs', AGENTS), unit: 'ms, slowest change', budget: SIZES.configurationLimitMs, mechanism: 'polled by gateways, pushed to agents' }
    ]
  }
}

function controlRows (results: Results, role: 'gateway' | 'agent', peers: number, size: string): CapacityRow[] {
  const at = (figure: string): CapacityValue => estimateAt(results, 'control', 'peers', `${role}Idle${figure}`, peers)
  return [
    { quantity: 'control, processor', size, value: scaled(at('CpuShare'), 100), unit: '% of a core', budget: BUDGETS.cpuShare * 100, mechanism: 'one tick for all peers' },
    { quantity: 'control, memory', size, value: scaled(at('Bytes'), 1 / MEBIBYTE), unit: 'MiB resident', budget: BUDGETS.memoryBytes / MEBIBYTE, mechanism: 'a record for each peer; most is the runtime' },
    { quantity: 'control, memory of its own', size, value: scaled(at('AnonymousBytes'), 1 / MEBIBYTE), unit: 'MiB resident, without pages of files', mechanism: 'the rest is the program of the runtime, shared on a host' },
    { quantity: 'control, network', size, value: scaled(at('BytesPerSecond'), 1 / KIBIBYTE), unit: 'KiB a second', budget: BUDGETS.bytesPerSecond / KIBIBYTE, mechanism: 'exchanges stretched by the number of agents' }
  ]
}

function cpuRow (what: string, millisecondsPerSecond: CapacityValue, size: string, mechanism: string): CapacityRow {
  return { quantity: `processor, ${what}`, size, value: scaled(millisecondsPerSecond, 1 / MS_PER_SECOND), unit: 'cores', mechanism }
}

/** Traffic between gateways and agents for short responses; streamed tokens are not included. */
function bytesRow (results: Results, role: 'gateway' | 'agent', ratePerSecond: number, size: string): CapacityRow {
  const value = scaled(times(measured(results, 'control', '320 peers', `${role}BytesPerLookup`), ratePerSecond), 1 / KIBIBYTE)
  return { quantity: 'network, requests', size, value, unit: 'KiB a second', mechanism: 'frames of one turn in one message' }
}

function scaled (value: CapacityValue, factor: number): CapacityValue {
  return times(value, factor)
}

/** @returns the streams in progress at the peak if tokens are sent at the required inter-token time */
export function streamsInProgress (): number {
  const tokensPerRequest = SIZES.tokensPerSecond * ASSUMED.onlineTokenShare / SIZES.requestsPerSecond
  return SIZES.requestsPerSecond * tokensPerRequest * SIZES.interTokenMs / MS_PER_SECOND
}

/** @returns the name of the variant with the most items, in which the start-up has the smallest share */
export function largestJob (results: Results): string {
  const variants = (results.get('jobs')?.variants ?? []).filter(variant => ONE_GATEWAY_VARIANT.test(variant.name))
  return variants.sort((left, right) => Number(right.settings.items) - Number(left.settings.items))[0]?.name ?? 'one gateway'
}
