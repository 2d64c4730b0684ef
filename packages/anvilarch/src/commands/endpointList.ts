/** `anvilarch endpoint list` */
import { defineCommand } from '../defineCommand'
import { formatEndpoints } from '../output/endpoints'

/** Lists endpoints with their load. */
export const endpointList = defineCommand({
  name: 'list',
  description: 'List the endpoints, the agent beside each, what they serve and their load',
  args: {},
  examples: [{ description: 'Which endpoints are ready', line: 'anvilarch endpoint list' }],
  run: async (_args, session) => {
    const response = await session.gateway.endpoints()
    return { json: response, text: formatEndpoints(response.endpoints) }
  }
})
