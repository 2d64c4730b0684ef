import { createRandom, createSystemClock, sleep } from 'anvilarch-utils'
import { startLightAgents } from '../lightAgents'
import { startLightGateways } from '../lightGateways'

const clock = createSystemClock()
const COUNTS = { exchangeIntervalMs: 20, lookupsPerSecond: 200, service: 'lookup', endpoint: 'plain' }

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(clock, 5)
}

describe('startLightGateways', () => {
  test('exchanges states with light agents and sends lookups to them', async () => {
    const agents = await startLightAgents({ clock, count: 2, service: 'lookup', failureDomains: ['a', 'b'], region: 'r' })
    const gateways = startLightGateways({ clock, random: createRandom(1), count: 3, agentAddress: agents.agents[1].address, ...COUNTS })
    // The timers of the system clock do not keep the process running, but the open sockets do. Two gateways may have made all the
    // exchanges and lookups before the third has connected.
    await until(() => gateways.stats().exchanges >= 6 && gateways.stats().lookups >= 6 && agents.stats().connections >= 6)
    expect(agents.stats().receivedBytes).toBeGreaterThan(500)
    expect(agents.agents.map(agent => agent.failureDomain)).toEqual(['a', 'b'])
    await gateways.close()
    expect(gateways.stats()).toMatchObject({ exchangeErrors: 0, lookupErrors: 0 })
    expect(agents.stats().connections).toBe(6)
    await agents.close()
  })
})
