/** Maintains local copies of the configuration, endpoints and work in the store, for both roles. */
import { setImmediate as nextTurn } from 'node:timers/promises'
import { runInBackground } from 'anvilarch-utils'
import { buildAccountDirectory } from '../accounts/accountDirectory'
import { type ConfigurationHolder, createConfigurationHolder } from '../configuration/configurationHolder'
import { createEndpointTable, type EndpointTable } from '../endpoints/endpointTable'
import { MEMBER_PARTITION } from '../jobs/partitions'
import { MEMBER_TABLE } from '../jobs/jobRows'
import { createWorkTable, type WorkTable } from '../jobs/workTable'
import type { EndpointRow } from '../model/types'
import { createUnusableRows, type UnusableRows } from '../store/unusableRows'
import type { StoredRow } from '../store/types'
import { originRetentionMs } from '../streams/retention'
import { createVersionHistory, type VersionHistory } from '../streams/versionHistory'
import { feedWaitMs } from '../store/feedWait'
import { pollTable, type FollowTableOptions, followTable } from '../store/tableFollower'
import { createTableFreshness, type TableFreshness } from '../store/tableFreshness'
import { registerStateMetrics } from '../telemetry/stateMetrics'
import type { RoleContext } from './types'

/** Local copies of the state in the store. */
export interface PlatformView {
  configuration: ConfigurationHolder
  endpoints: EndpointTable
  /** Software versions of the listed endpoints. */
  versions: VersionHistory
  /** @returns how long the origins of streams, and the versions of endpoints that are gone, matter, in milliseconds */
  originRetentionMs: () => number
  work: WorkTable
  /** Receives rows of shared tables that cannot be used. */
  unusableRows: UnusableRows
  /** Follows one more table until the view is closed. */
  follow: (table: FollowedTable) => void
  /** Reads the configuration from the store and applies it. @returns whether the store responded */
  refreshConfiguration: () => Promise<boolean>
  /** @returns age of the local copy of a followed table */
  freshness: (table: string) => TableFreshness
  /** Stops following all tables. */
  close: () => void
}

/** Operators and endpoints write to a single partition with an empty name. */
export const DEFAULT_PARTITIONS = ['']

/** A table that is followed. */
export type FollowedTable = Pick<FollowTableOptions, 'table' | 'partitions' | 'listener' | 'intervalMs'>

/** Every heartbeat of an endpoint is a change, so changes are batched. Draining endpoints must get no requests after 2 s, which allows the delay. */
const ENDPOINT_FEED_INTERVAL_MS = 250

/** Options of `followPlatform`. */
export interface FollowPlatformOptions {
  /** Returns the time until the next listing of the daemons, in milliseconds. Called after each listing. */
  memberListingIntervalMs: () => number
}

/**
 * Starts to follow the tables that both roles need.
 *
 * @param context - store, wire, clock and log
 * @param options - differences between the roles
 * @returns copies that are updated until the view is closed
 */
export function followPlatform (context: RoleContext, options: FollowPlatformOptions): PlatformView {
  const { store, clock, log, wire } = context
  const configuration = createConfigurationHolder()
  let retentionMs = originRetentionMs(undefined)
  configuration.onChange(changed => { retentionMs = originRetentionMs(changed) })
  const versions = createVersionHistory(clock, () => retentionMs)
  const endpoints = createEndpointTable({
    clock,
    log,
    storeFailureTimes: store,
    versions,
    isConfiguredService: service => configuration.current()?.services.has(service) ?? true
  })
  configuration.onChange(endpoints.onServicesChanged)
  const unusableRows = createUnusableRows({ clock, log, metrics: context.metrics })
  const work = createWorkTable(unusableRows)
  const controller = new AbortController()
  const waitMs = feedWaitMs({ contactMs: context.settings.contactMs, callTimeoutMs: store.callTimeoutMs })
  const freshnessByTable = new Map<string, TableFreshness>()
  const freshness = (table: string): TableFreshness => {
    const known = freshnessByTable.get(table) ?? createTableFreshness(clock, waitMs)
    freshnessByTable.set(table, known)
    return known
  }
  const follow = (table: FollowedTable): void => {
    const { onResponse } = freshness(table.table)
    runInBackground(log, `follow ${table.table}`, () => followTable({ store, clock, random: context.random, log, waitMs, signal: controller.signal, onResponse, ...table }))
  }

  const decodeEndpoint = (row: StoredRow): EndpointRow => {
    const decoded = wire.operator.decodeEndpoint(row)
    if (decoded.row === 'unusable') context.metrics.unusableRows.inc({ table: row.table })
    return decoded
  }

  const applyConfiguration = async (row: StoredRow): Promise<void> => {
    const decoded = wire.operator.decodeConfiguration(row)
    if (decoded === undefined || decoded.version <= (configuration.current()?.version ?? -Infinity)) return
    const accounts = decoded.accounts && await buildAccountDirectory(decoded.accounts, nextTurn)
    const { version } = decoded
    if (!configuration.offer({ ...decoded, accounts })) return
    context.metrics.configurationVersion.set(version)
    log.info('configuration in force', { version, routeCount: decoded.routes.length, accountCount: accounts?.accountCount ?? 0, keyCount: accounts?.keyCount ?? 0 })
    if (accounts !== undefined && accounts.ambiguous.size > 0) log.error('key in two accounts', { version, accounts: [...accounts.ambiguous].join(', ') })
  }

  const applyInBackground = (row: StoredRow): void => {
    runInBackground(log, 'apply configuration', () => applyConfiguration(row))
  }

  const refreshConfiguration = async (): Promise<boolean> => {
    const read = await store.readRows({ table: wire.operator.configurationTable, partition: DEFAULT_PARTITIONS[0] })
    if (read.err) return false
    await Promise.all(read.val.rows.map(applyConfiguration))
    return true
  }

  follow({
    table: wire.operator.configurationTable,
    partitions: DEFAULT_PARTITIONS,
    listener: {
      onListing: rows => rows.forEach(applyInBackground),
      onChange: change => { if (change.change === 'put') applyInBackground(change.row) }
    }
  })
  follow({
    table: wire.operator.endpointTable,
    partitions: DEFAULT_PARTITIONS,
    intervalMs: () => ENDPOINT_FEED_INTERVAL_MS,
    listener: {
      onListing: rows => endpoints.onListing(rows.map(decodeEndpoint)),
      onChange: change => {
        if (change.change === 'put') {
          endpoints.onRow(decodeEndpoint(change.row))
          return
        }
        if (!endpoints.isKnown(change.key.key)) freshness(wire.operator.endpointTable).onMissedRows()
        endpoints.onRemoved(change.key.key)
      }
    }
  })
  runInBackground(log, `list ${MEMBER_TABLE}`, () => pollTable({
    store,
    clock,
    random: context.random,
    log,
    signal: controller.signal,
    onResponse: freshness(MEMBER_TABLE).onResponse,
    table: MEMBER_TABLE,
    partitions: [MEMBER_PARTITION],
    listener: work.listeners.members,
    intervalMs: options.memberListingIntervalMs
  }))
  context.peers.setView({ work, endpoints })
  registerStateMetrics(context.metrics.registry, { work, configuration: configuration.current, freshnessByTable })
  return {
    configuration,
    endpoints,
    versions,
    originRetentionMs: () => retentionMs,
    work,
    unusableRows,
    follow,
    refreshConfiguration,
    freshness,
    close: () => controller.abort()
  }
}
