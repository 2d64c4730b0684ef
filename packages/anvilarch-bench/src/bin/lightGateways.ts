/** Child process of the bench that runs many light gateways. */
import { createRandom, createSystemClock } from 'anvilarch-utils'
import { reportReady } from '../peers/childProcess'
import { type LightGatewaysOptions, startLightGateways } from '../peers/lightGateways'

const { seed, ...options } = JSON.parse(process.argv[2]) as Omit<LightGatewaysOptions, 'clock' | 'random'> & { seed: number }

const gateways = startLightGateways({ ...options, clock: createSystemClock(), random: createRandom(seed) })
reportReady({}, gateways.stats).catch((error: Error) => {
  process.stderr.write(`light gateways: ${error.message}\n`)
  process.exit(1)
})
