/**
 * Propagates the configuration between this gateway and the agents: pushes it to agents with an older version, pulls it from
 * an agent with a newer one.
 *
 * Agents rarely poll the table, so the push is what activates a change within seconds. It is independent of the exchange
 * schedule, which is too slow for that in a large fleet.
 */
import type { DaemonContext } from '../context'
import type { AgentClients } from '../peers/types'
import type { MutableDirectory } from './agentDirectory'
import type { MemberRecord } from './memberRecord'

/** Dependencies of `createConfigurationPropagation`. */
export interface ConfigurationPropagationParts {
  clients: AgentClients
  directory: MutableDirectory
}

/** Propagation of the configuration between this gateway and the agents. */
export interface ConfigurationPropagation {
  /** Called after a response to an exchange; the version of the agent may differ from this gateway's. */
  onResponse: (address: string) => void
  stop: () => void
}

/** Maximum of pushes in progress. */
const MAX_PUSHES = 8
/** Timeout of a push or a pull, which is then retried. */
const TRANSFER_TIMEOUT_MS = 3000
/** Delay before a failed push is retried; the next exchange may be a minute later. */
const RETRY_MS = 1000

/**
 * @param context - shared context of the daemon
 * @param parts - clients and directory
 * @returns propagation, which also reacts to changes of the configuration
 */
export function createConfigurationPropagation (context: DaemonContext, parts: ConfigurationPropagationParts): ConfigurationPropagation {
  const { configuration, logger } = context
  const { clients, directory } = parts
  const stopping = new AbortController()
  const waiting: string[] = []
  const queued = new Set<string>()
  let pushing = 0
  let pulling = false

  const isBehind = (record: MemberRecord): boolean =>
    record.view.name !== '' && record.isResponsive && record.view.configurationVersion < configuration.version()

  const push = async (address: string): Promise<void> => {
    const record = directory.record(address)
    const current = configuration.current()
    if (record === undefined || current === undefined || !isBehind(record)) return
    const known = await clients.get(address, 'control').pushConfiguration(
      { version: BigInt(current.version), hash: current.hash, documentJson: current.documentJson },
      { timeoutMs: TRANSFER_TIMEOUT_MS, signal: stopping.signal })
    const after = directory.record(address)
    if (after === undefined) return
    directory.put({ ...after, view: { ...after.view, configurationVersion: Number(known.version) } })
  }

  const pushNext = (): void => {
    while (pushing < MAX_PUSHES && waiting.length > 0 && !stopping.signal.aborted) {
      const address = waiting.shift() as string
      queued.delete(address)
      pushing++
      push(address)
        .catch((error: unknown) => {
          logger.debug('a configuration was not pushed', { peer: address, error: String(error) })
          context.clock.after(RETRY_MS, () => { if (!stopping.signal.aborted) enqueue(address) })
        })
        .finally(() => {
          pushing--
          pushNext()
        })
    }
  }

  const enqueue = (address: string): void => {
    if (queued.has(address)) return
    queued.add(address)
    waiting.push(address)
    pushNext()
  }

  /** Every gateway pushes to all agents, each in random order, so that they share the work instead of pushing to the same agents. */
  const pushToAll = (): void => {
    const behind = directory.records().filter(isBehind).map(record => ({ address: record.address, rank: context.random.next() }))
    for (const { address } of behind.sort((left, right) => left.rank - right.rank)) enqueue(address)
  }

  /**
   * A gateway without a configuration does not pull from the first agent that responds: during an outage of the table, that
   * agent may not have received the latest change. `bootstrapConfiguration` compares the agents instead.
   */
  const shouldPull = (record: MemberRecord): boolean =>
    !pulling && configuration.version() > 0 && record.view.configurationVersion > configuration.version()

  const pull = async (address: string): Promise<void> => {
    pulling = true
    try {
      const found = await clients.get(address, 'control').pullConfiguration({}, { timeoutMs: TRANSFER_TIMEOUT_MS, signal: stopping.signal })
      configuration.offer({ version: Number(found.version), hash: found.hash, documentJson: found.documentJson })
    } catch (error) {
      logger.debug('a configuration was not pulled', { peer: address, error: String(error) })
    } finally {
      pulling = false
    }
  }

  const unsubscribe = configuration.onChange(pushToAll)
  return {
    onResponse: address => {
      const record = directory.record(address)
      if (record === undefined) return
      if (isBehind(record)) enqueue(address)
      if (shouldPull(record)) pull(address).catch(() => {})
    },
    stop: () => {
      unsubscribe()
      stopping.abort()
    }
  }
}
