import { validateSettings } from 'anvilarch-configuration'
import { countPorts, planFleet } from '../fleetPlan'
import { DEFAULT_FLEET_OPTIONS, type FleetOptions, type ProcessSpec } from '../types'

function plan (changes: Partial<FleetOptions> = {}): ProcessSpec[] {
  const options: FleetOptions = { ...DEFAULT_FLEET_OPTIONS, directory: '/tmp/fleet', ...changes }
  return planFleet(options, Array.from({ length: countPorts(options) }, (_, index) => 20_000 + index))
}

describe('planFleet', () => {
  test('assigns a separate port to each listener', () => {
    const addresses = plan().flatMap(({ addresses }) => Object.values(addresses))
    expect(new Set(addresses).size).toBe(addresses.length)
    expect(addresses.join(' ')).not.toContain('undefined')
  })

  test.each([1, 2, 5])('plans one agent per %i endpoints', endpointsPerAgent => {
    const agents = plan({ endpointsPerAgent }).filter(({ role }) => role === 'agent')
    expect(agents).toHaveLength(Math.ceil(5 / endpointsPerAgent))
    expect(agents.flatMap(({ fronts }) => fronts)).toEqual(['engine-1', 'engine-2', 'engine-3', 'plain-1', 'plain-2'])
  })

  test('creates valid settings for the daemons', () => {
    const daemons = plan({ endpointsPerAgent: 2, agentSettings: { heartbeatMs: 100 }, gatewaySettings: { pollIntervalMs: 200 } }).filter(({ settings }) => settings !== undefined)
    expect(daemons).toHaveLength(5)
    for (const { settings } of daemons) expect(validateSettings(JSON.stringify(settings), 'settings').ok).toBe(true)
  })

  test('lists a daemon under the address that hostAddress returns', () => {
    const agents = plan({ hostAddress: ({ name, listen }) => name === 'agent-1' ? '127.0.0.1:9' : listen.peers }).filter(({ role }) => role === 'agent')
    expect(agents[0].hostEntry?.address).toBe('127.0.0.1:9')
    expect(agents[1].hostEntry?.address).toBe(agents[1].settings?.listen.peers)
  })
})
