/** Keeps configuration, endpoints and work of the store at hand for either role. */
import { setImmediate as nextTurn } from 'node:timers/promises'
import { runInBackground } from 'anvilarch-utils'
import { buildAccountDirectory } from '../accounts/accountDirectory'
import { type ConfigurationHolder, createConfigurationHolder } from '../configuration/configurationHolder'
import { createEndpointTable, type EndpointTable } from '../endpoints/endpointTable'
import { MEMBER_PARTITION } from '../jobs/partitions'
import { MEMBER_TABLE } from '../jobs/jobRows'
import { createWorkTable, type WorkTable } from '../jobs/workTable'
import type { StoredRow } from '../store/types'
import { feedWaitMs } from '../store/feedWait'
import { pollTable, type FollowTableOptions, followTable } from '../store/tableFollower'
import { registerStateMetrics } from '../telemetry/stateMetrics'
import type { RoleContext } from './types'

/** Copies of what the store tells. */
export interface PlatformView {
  configuration: ConfigurationHolder
  endpoints: EndpointTable
  work: WorkTable
  /** Follows one more table until the view is closed. */
  follow: (table: FollowedTable) => void
  /** Reads the configuration from the store and puts it in force. @returns whether the store has answered */
  refreshConfiguration: () => Promise<boolean>
  /** @returns local time of the last answer about a followed table; undefined before the first */
  answeredAtMs: (table: string) => number | undefined
  /** @returns whether a followed table may have changes of which this process has not heard: its feed is overdue */
  isFeedOverdue: (table: string) => boolean
  /** Ends the following. */
  close: () => void
}

/** Operators and endpoints write to one partition without a name. */
export const DEFAULT_PARTITIONS = ['']

/** A table that is followed. */
export type FollowedTable = Pick<FollowTableOptions, 'table' | 'partitions' | 'listener' | 'intervalMs'>

/** Each endpoint's heartbeat is a change. An endpoint that drains must be left alone within 2 s, so that gathering them is no harm. */
const ENDPOINT_FEED_INTERVAL_MS = 250

/** The answer of a feed comes this much after the end of its wait at most while the store and its links are well. */
const OVERDUE_MS = 500

/** Options of `followPlatform`. */
export interface FollowPlatformOptions {
  /** Asked after each listing of the daemons: time until the next one. */
  memberListingIntervalMs: () => number
}

/**
 * @param context - store and wire
 * @param options - what differs between the roles
 * @returns copies that follow the store until the process stops
 */
export function followPlatform (context: RoleContext, options: FollowPlatformOptions): PlatformView {
  const { store, clock, log, wire } = context
  const configuration = createConfigurationHolder()
  const endpoints = createEndpointTable({
    clock,
    log,
    storeFailureTimes: store,
    isConfiguredService: service => configuration.current()?.services.has(service) ?? true
  })
  configuration.onChange(endpoints.onServicesChanged)
  const work = createWorkTable()
  const controller = new AbortController()
  const tableAnsweredAtMs = new Map<string, number>()
  const waitMs = feedWaitMs({ contactMs: context.settings.contactMs, callTimeoutMs: store.callTimeoutMs })
  const follow = (table: FollowedTable): void => {
    const onAnswer = (): void => { tableAnsweredAtMs.set(table.table, clock.nowMs()) }
    runInBackground(log, `follow ${table.table}`, () => followTable({ store, clock, random: context.random, log, waitMs, signal: controller.signal, onAnswer, ...table }))
  }

  const takeConfiguration = async (row: StoredRow): Promise<void> => {
    const listed = wire.operator.decodeConfiguration(row)
    if (listed === undefined || listed.version <= (configuration.current()?.version ?? -Infinity)) return
    const accounts = listed.accounts && await buildAccountDirectory(listed.accounts, nextTurn)
    const { version } = listed
    if (!configuration.offer({ ...listed, accounts })) return
    context.metrics.configurationVersion.set(version)
    log.info('configuration in force', { version, routeCount: listed.routes.length, accountCount: accounts?.accountCount ?? 0, keyCount: accounts?.keyCount ?? 0 })
    if (accounts !== undefined && accounts.ambiguous.size > 0) log.error('key in two accounts', { version, accounts: [...accounts.ambiguous].join(', ') })
  }

  const offerConfiguration = (row: StoredRow): void => {
    runInBackground(log, 'take a configuration', () => takeConfiguration(row))
  }

  const refreshConfiguration = async (): Promise<boolean> => {
    const read = await store.readRows({ table: wire.operator.configurationTable, partition: DEFAULT_PARTITIONS[0] })
    if (read.err) return false
    await Promise.all(read.val.rows.map(takeConfiguration))
    return true
  }

  follow({
    table: wire.operator.configurationTable,
    partitions: DEFAULT_PARTITIONS,
    listener: {
      onListing: rows => rows.forEach(offerConfiguration),
      onChange: change => { if (change.change === 'put') offerConfiguration(change.row) }
    }
  })
  follow({
    table: wire.operator.endpointTable,
    partitions: DEFAULT_PARTITIONS,
    intervalMs: () => ENDPOINT_FEED_INTERVAL_MS,
    listener: {
      onListing: rows => endpoints.onListing(rows.map(wire.operator.decodeEndpoint)),
      onChange: change => {
        if (change.change === 'removed') endpoints.onRemoved(change.key.key)
        else endpoints.onRow(wire.operator.decodeEndpoint(change.row))
      }
    }
  })
  runInBackground(log, `list ${MEMBER_TABLE}`, () => pollTable({
    store,
    clock,
    random: context.random,
    log,
    signal: controller.signal,
    onAnswer: () => { tableAnsweredAtMs.set(MEMBER_TABLE, clock.nowMs()) },
    table: MEMBER_TABLE,
    partitions: [MEMBER_PARTITION],
    listener: work.listeners.members,
    intervalMs: options.memberListingIntervalMs
  }))
  context.peers.setView({ work, endpoints })
  registerStateMetrics(context.metrics.registry, { clock, work, tableAnsweredAtMs })
  return {
    configuration,
    endpoints,
    work,
    follow,
    refreshConfiguration,
    answeredAtMs: table => tableAnsweredAtMs.get(table),
    isFeedOverdue: table => clock.nowMs() - (tableAnsweredAtMs.get(table) ?? -Infinity) > waitMs + OVERDUE_MS,
    close: () => controller.abort()
  }
}
