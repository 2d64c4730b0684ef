/** Polls the row of the current configuration version and fetches its document. */
import { OBJECT_NAMES, ROW_KEYS } from 'anvilarch-protocol'
import { type LifecycleManager, sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { parseVersionRow } from './applyDecision'

/** Options of `startConfigurationPoll`. */
export interface PollOptions {
  /** Poll interval once there is a configuration. */
  intervalMs: number
  /** Poll interval before the first configuration. */
  firstIntervalMs: number
  /** Called when the table cannot be read while there is no configuration. */
  onNoSource?: () => Promise<void>
}

/** Jitter of the poll interval, as a share, so that daemons do not poll at the same time. */
const POLL_JITTER = 0.3

/** Poll interval of an agent, for which the table is only a secondary source. */
export const AGENT_POLL_MS = 60_000

/**
 * @param context - shared parts of the daemon
 * @param options - intervals and callback for an unavailable table
 * @param lifecycle - stops the polls
 */
export async function startConfigurationPoll (
  context: DaemonContext, options: PollOptions, lifecycle: LifecycleManager
): Promise<void> {
  const { configuration, platform } = context
  const stopping = new AbortController()
  let pollLoop: Promise<void> | undefined

  const fetchNewer = async (): Promise<void> => {
    const [row] = await platform.table.read([ROW_KEYS.configurationVersion], stopping.signal)
    const versionRow = parseVersionRow(row)
    if (versionRow === undefined || versionRow.version <= configuration.version()) return
    const body = await platform.objects.get(OBJECT_NAMES.configuration(versionRow.hash), undefined, stopping.signal)
    if (body === null) {
      context.logger.error('the document that the row names is not there', { version: versionRow.version, hash: versionRow.hash })
      return
    }
    configuration.offer({ version: versionRow.version, hash: versionRow.hash, documentJson: new TextDecoder().decode(body) })
  }

  const poll = async (): Promise<void> => {
    try {
      await fetchNewer()
    } catch (error) {
      if (stopping.signal.aborted) return
      context.logger.debug('the configuration was not polled', { error: String(error) })
      if (configuration.version() === 0) await options.onNoSource?.()
    }
  }

  const runPolls = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await poll()
      const intervalMs = configuration.version() === 0 ? options.firstIntervalMs : options.intervalMs
      await sleep(context.clock, context.random.jitter(intervalMs, POLL_JITTER), stopping.signal)
    }
  }

  await lifecycle.start({
    name: 'configuration poll',
    start: () => { pollLoop = runPolls() },
    stop: async () => {
      stopping.abort()
      await pollLoop
    }
  })
}
