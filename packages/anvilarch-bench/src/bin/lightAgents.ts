/** Child process of the bench that runs many light agents. */
import { createSystemClock } from 'anvilarch-utils'
import { reportReady } from '../peers/childProcess'
import { type LightAgentsOptions, startLightAgents } from '../peers/lightAgents'

const options = JSON.parse(process.argv[2]) as Omit<LightAgentsOptions, 'clock'>

startLightAgents({ ...options, clock: createSystemClock() })
  .then(agents => reportReady(agents.agents, agents.stats))
  .catch((error: Error) => {
    process.stderr.write(`light agents: ${error.message}\n`)
    process.exit(1)
  })
