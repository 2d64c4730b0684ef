/** `anvilarch status` */
import { daemonVersions, isInForceEverywhere } from '../configuration/inForce'
import { defineCommand } from '../defineCommand'
import type { StatusResponse } from '../gateway/types'
import { shownHealth } from '../output/endpoints'
import { type Cell, formatTable } from '../output/table'

/** Shows the state of the whole system as one gateway reports it. */
export const status = defineCommand({
  name: 'status',
  description: 'Show gateways, agents, endpoints, the configuration version and active jobs',
  args: {},
  examples: [
    { description: 'The system at a glance', line: 'anvilarch status' },
    { description: 'Ask the second gateway if the first one is down', line: 'anvilarch status --gateway http://10.20.0.11:8080,http://10.20.0.12:8080' }
  ],
  run: async (_args, session) => {
    const response = await session.gateway.status()
    return { json: response, text: formatStatus(response) }
  }
})

function formatStatus (response: StatusResponse): string {
  const inForce = isInForceEverywhere(daemonVersions(response))
  const head = [
    `seen by        ${response.gateway}`,
    `configuration  version ${response.configurationVersion}, ${inForce ? 'in force in every live daemon' : 'not yet in force everywhere'}`,
    `jobs           ${response.jobs.active === null ? 'not known while the table can\'t be read' : `${response.jobs.active} active`}`
  ].join('\n')
  const gateways = response.gateways.map((gateway): Cell[] => [gateway.instance, gateway.state, gateway.configurationVersion, gateway.address, gateway.operationsAddress])
  const agents = response.agents.map((agent): Cell[] => [
    agent.name,
    agent.state,
    agent.configurationVersion,
    agent.host,
    agent.failureDomain,
    agent.endpoints.map(endpoint => `${endpoint.endpoint}:${shownHealth(endpoint.health, agent.state)}`).join(' ')
  ])
  return [
    head,
    formatTable(['GATEWAY', 'STATE', 'VERSION', 'ADDRESS', 'OPERATIONS'], gateways),
    formatTable(['AGENT', 'STATE', 'VERSION', 'HOST', 'FAILURE DOMAIN', 'ENDPOINTS'], agents)
  ].join('\n\n')
}
