/** `anvilarch endpoint drain AGENT` */
import { positional, string } from 'cmd-ts'
import { defineCommand } from '../defineCommand'
import { formatCount } from '../output/table'

/** Drains the endpoints of one agent. */
export const endpointDrain = defineCommand({
  name: 'drain',
  description: 'Take the endpoints of an agent out of service; what runs there is finished first',
  args: { agent: positional({ type: string, displayName: 'AGENT', description: 'name of the agent, see "endpoint list"' }) },
  examples: [{ description: 'Before a host is powered down', line: 'anvilarch endpoint drain agent-7' }],
  run: async ({ agent }, session) => {
    const response = await session.gateway.drainAgent(agent)
    return {
      json: response,
      text: `agent ${response.agent} takes no new work; ${formatCount(response.running, 'attempt')} in progress will be finished`
    }
  }
})
