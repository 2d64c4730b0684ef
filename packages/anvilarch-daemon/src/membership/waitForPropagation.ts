/** Waits until a majority of the agents have a configuration version. */
import type { Clock } from 'anvilarch-utils'
import type { AgentDirectory, AgentView } from './types'

/**
 * @param agents - all known agents; unreachable ones count as not having the version
 * @param version - configuration version
 * @returns whether a majority has this version or a later one
 */
export function hasPropagated (agents: AgentView[], version: number): boolean {
  const current = agents.filter(agent => agent.state !== 'unreachable' && agent.configurationVersion >= version)
  return agents.length === 0 || current.length * 2 > agents.length
}

/**
 * A version that was reported to an operator as accepted must stay active, also if the gateways restart during an outage of
 * the table. They then adopt the highest version among a majority of the agents, so a majority must have the version before
 * it is reported as accepted.
 *
 * @param directory - directory of the agents
 * @param version - configuration version to wait for
 * @param clock - clock for the timeout
 * @param timeoutMs - maximum wait
 * @returns whether a majority has this version or a later one
 */
export async function waitForPropagation (directory: AgentDirectory, version: number, clock: Clock, timeoutMs: number): Promise<boolean> {
  if (hasPropagated(directory.list(), version)) return true
  return await new Promise<boolean>(resolve => {
    const finish = (isDone: boolean): void => {
      timer.cancel()
      unsubscribe()
      resolve(isDone)
    }
    const timer = clock.after(timeoutMs, () => { finish(false) })
    const unsubscribe = directory.onChange(() => {
      if (hasPropagated(directory.list(), version)) finish(true)
    })
  })
}
