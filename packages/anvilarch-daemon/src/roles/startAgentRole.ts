/** The `agent` role: the process that runs on the host of the endpoints. */
import { startAgent } from '../agent/startAgent'
import { AGENT_POLL_MS, startConfigurationPoll } from '../configuration/startConfigurationPoll'
import type { StartRole } from './types'

/** Starts the agent before the configuration poll, so that a gateway can push the configuration before the table has returned it. */
export const startAgentRole: StartRole = async (context, lifecycle) => {
  const agent = await startAgent(context, lifecycle)
  await startConfigurationPoll(context, { intervalMs: AGENT_POLL_MS, firstIntervalMs: context.settings.gateway.pollIntervalMs }, lifecycle)
  return {
    readiness: () => {
      const { isReady, state } = agent.state()
      if (state === 'draining') return { ready: false, reason: 'draining' }
      return isReady ? { ready: true, reason: '' } : { ready: false, reason: 'no endpoint answers' }
    },
    drain: async () => { await agent.drain('signal') }
  }
}
