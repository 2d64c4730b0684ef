/** Waits until a configuration version is in force in every live daemon. */
import type { CliSession } from '../session'
import { createProgress } from '../output/progress'
import { DEFAULT_POLL_INTERVAL_MS, pollUntil } from '../waiting'
import { type DaemonVersion, daemonVersions, isInForceEverywhere } from './inForce'

/** Result of the wait. */
export interface InForceResult {
  inForce: boolean
  daemons: DaemonVersion[]
  waitedMs: number
}

/**
 * Polls a gateway until the version is in force in every live daemon or the time limit is reached.
 *
 * @param session - of the running command
 * @param version - the version to wait for; the one of the gateway if undefined
 * @param timeoutMs - time limit
 * @returns the last reported state of the daemons
 */
export async function waitInForce (session: CliSession, version: number | undefined, timeoutMs: number): Promise<InForceResult> {
  const { clock } = session.environment
  const progress = createProgress(session.environment, 'daemons')
  const startedMs = clock.nowMs()
  try {
    const { isDone, state } = await pollUntil({
      clock,
      timeoutMs,
      intervalMs: DEFAULT_POLL_INTERVAL_MS,
      poll: async () => daemonVersions(await session.gateway.status(), version),
      isDone: isInForceEverywhere,
      onState: daemons => {
        const live = daemons.filter(daemon => daemon.isLive)
        progress.update(live.filter(daemon => daemon.isInForce).length, live.length, 'hold the version')
      }
    })
    return { inForce: isDone, daemons: state, waitedMs: Math.round(clock.nowMs() - startedMs) }
  } finally {
    progress.stop()
  }
}
