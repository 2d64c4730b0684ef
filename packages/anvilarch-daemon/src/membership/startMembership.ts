/** Maintains the agent directory of a gateway: polls the host list and exchanges state with the agents on one timer. */
import type { ExchangeResponse } from 'anvilarch-protocol'
import { type LifecycleManager, sleep } from 'anvilarch-utils'
import type { Suspects } from '../attempts/suspects'
import type { DaemonContext } from '../context'
import type { AgentClients } from '../peers/types'
import type { QuarantineLog } from '../quarantine/types'
import { createAgentDirectory, type MutableDirectory } from './agentDirectory'
import { createConfigurationPropagation } from './configurationPropagation'
import { DEFAULT_OPTIONS, isRemovable, selectDue, type ScheduleOptions } from './exchangeSchedule'
import { afterExchangeResponse, afterExchangeSent, afterHostList, afterExchangeFailure, type MemberRecord, newMember } from './memberRecord'
import { updateShortage, isShortOfEndpoints, type Shortage, MAX_SHORTAGE_MS } from './shortage'

/** Dependencies of `startMembership`. */
export interface MembershipParts {
  clients: AgentClients
  quarantine: QuarantineLog
  /** Receives the suspects that agents report; shared with the request runner of this gateway. */
  suspects: Pick<Suspects, 'add'>
}

/** The directory, and whether its initial exchanges are complete. */
export interface Membership extends MutableDirectory {
  /**
   * Whether the host list was read and every listed agent was queried once. A gateway that accepted work earlier would reject
   * it for lack of endpoints, although they exist.
   */
  isInitialized: () => boolean
}

/** Relative jitter of the poll interval of the host list. */
const POLL_JITTER = 0.2
/** Minimum poll interval per entry: reading the list of 340 hosts (some 50 KB) every two seconds would use the whole byte budget. */
const HOST_POLL_MS_PER_ENTRY = 12
/**
 * After a longer process pause the host list is read before new work is sent. Otherwise an agent that started draining meanwhile
 * would get work long after the list has reported it.
 */
const LONG_PAUSE_MS = 2000
/** Maximum wait of new work for the host list, which may be unavailable. */
const MAX_CATCH_UP_MS = 500
/** Timeout of an exchange, which then counts as failed. */
const EXCHANGE_TIMEOUT_MS = 1000

/**
 * @param context - shared context of the daemon
 * @param parts - clients, quarantine and suspects
 * @param lifecycle - stops the polls and the exchanges
 * @returns directory, which is populated as agents respond
 */
export async function startMembership (
  context: DaemonContext, parts: MembershipParts, lifecycle: LifecycleManager
): Promise<Membership> {
  const { clock, settings } = context
  const options: ScheduleOptions = { ...DEFAULT_OPTIONS, intervalMs: settings.gateway.exchangeIntervalMs }
  const directory = createAgentDirectory(context)
  const propagation = createConfigurationPropagation(context, { clients: parts.clients, directory })
  const stopping = new AbortController()
  let listedCount = 0
  let shortage: Shortage | undefined
  const loops: Array<Promise<void>> = []
  let listRead = false
  let initialized = false
  let lastCheckMs = clock.nowMs()
  let catchingUp: Promise<void> | undefined

  const repeat = async (intervalMs: () => number, action: () => Promise<void> | void): Promise<void> => {
    while (!stopping.signal.aborted) {
      await action()
      await sleep(clock, intervalMs(), stopping.signal)
    }
  }

  const hostPollMs = (): number => {
    const intervalMs = Math.max(settings.gateway.pollIntervalMs, listedCount * HOST_POLL_MS_PER_ENTRY)
    return context.random.jitter(intervalMs, POLL_JITTER)
  }

  const pollHosts = async (): Promise<void> => {
    try {
      const listed = await context.platform.hosts.list(stopping.signal)
      listedCount = listed.length
      const entries = listed.filter(entry => entry.role === 'agent')
      const nowMs = clock.nowMs()
      const byAddress = new Map(entries.map(entry => [entry.address, entry]))
      for (const entry of entries) {
        if (directory.record(entry.address) === undefined) directory.put(newMember(entry, nowMs))
      }
      for (const record of directory.records()) {
        directory.put(afterHostList(record, byAddress.get(record.address)?.state ?? 'absent', nowMs))
      }
      listRead = true
    } catch (error) {
      if (!stopping.signal.aborted) context.logger.debug('the host list was not read', { error: String(error) })
    }
  }

  /** Called by each tick and before each routing decision: after a process pause either may run first. */
  const detectPause = (): void => {
    const nowMs = clock.nowMs()
    const pausedMs = nowMs - lastCheckMs
    lastCheckMs = nowMs
    if (pausedMs < LONG_PAUSE_MS || catchingUp !== undefined) return
    context.logger.info('this process stood still; the host list is read before new work is sent', { pausedMs: Math.round(pausedMs) })
    catchingUp = Promise.race([pollHosts(), sleep(clock, MAX_CATCH_UP_MS, stopping.signal)]).finally(() => { catchingUp = undefined })
  }

  const removeExpired = (): void => {
    for (const record of directory.records()) {
      if (!isRemovable(record, clock.nowMs(), options)) continue
      directory.remove(record.address)
      parts.clients.remove(record.address)
    }
  }

  const exchange = async (due: MemberRecord): Promise<void> => {
    const { address } = due
    const sentMs = clock.nowMs()
    directory.put(afterExchangeSent(due, sentMs))
    const quarantined = parts.quarantine.addedSince(due.quarantineSequence)
    const client = parts.clients.get(address, 'control')
    try {
      const response = await client.exchange({
        gateway: settings.name,
        gatewayIncarnation: context.incarnation,
        configurationVersion: BigInt(context.configuration.version()),
        quarantined: quarantined.fingerprints
      }, { timeoutMs: EXCHANGE_TIMEOUT_MS, signal: stopping.signal })
      const record = directory.record(address)
      if (record === undefined) return
      const updated = afterExchangeResponse(record, response, clock.nowMs())
      directory.put(hasAllFingerprints(record, updated, response) ? { ...updated, quarantineSequence: quarantined.sequence } : updated)
      for (const fingerprint of response.suspects) parts.suspects.add(fingerprint)
      propagation.onResponse(address)
    } catch (error) {
      if (stopping.signal.aborted) return
      const record = directory.record(address)
      if (record !== undefined) directory.put(afterExchangeFailure(record))
      // The connection may stay unresponsive while a new one would work, so the next exchange uses a new connection.
      parts.clients.reconnect(address, 'control', client)
      context.logger.debug('an exchange was not answered', { peer: address, error: String(error) })
    }
  }

  const checkShortage = (): boolean => {
    const current = context.configuration.current()
    const nowMs = clock.nowMs()
    const isShort = current !== undefined && isShortOfEndpoints(current.document, directory.list())
    shortage = updateShortage(shortage, isShort, context.configuration.version(), nowMs)
    return shortage !== undefined && nowMs - shortage.sinceMs < MAX_SHORTAGE_MS
  }

  const logFailure = (error: unknown): void => {
    context.logger.error('an exchange failed', { error: String(error) })
  }

  const tick = (): void => {
    detectPause()
    removeExpired()
    const input = { records: directory.records(), isShort: checkShortage(), nowMs: clock.nowMs() }
    for (const record of selectDue(input, options)) exchange(record).catch(logFailure)
  }

  await lifecycle.start({
    name: 'membership',
    start: () => {
      loops.push(repeat(hostPollMs, pollHosts))
      loops.push(repeat(() => options.tickMs, tick))
    },
    stop: async () => {
      stopping.abort()
      propagation.stop()
      await Promise.all(loops)
    }
  })
  return {
    ...directory,
    catchUp: () => {
      detectPause()
      return catchingUp
    },
    isInitialized: () => {
      initialized ||= listRead && directory.records().every(wasQueried)
      return initialized
    }
  }
}

function wasQueried (record: MemberRecord): boolean {
  return record.lastResponseMs !== Number.NEGATIVE_INFINITY || record.consecutiveFailures > 0
}

/**
 * Whether the agent now has all quarantined fingerprints. A new incarnation has none of those that were sent to its predecessor,
 * so they are sent again from the beginning.
 */
function hasAllFingerprints (before: MemberRecord, updated: MemberRecord, response: ExchangeResponse): boolean {
  const { agentIncarnation } = response
  if (updated.view.incarnation !== agentIncarnation) return false
  return before.view.incarnation === agentIncarnation || before.quarantineSequence === 0
}
