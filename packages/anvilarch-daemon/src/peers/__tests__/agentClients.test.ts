import { createFakeClock } from 'anvilarch-utils'
import { type FakeAgent, startFakeAgent } from '../../attempts/__fixtures__/fakeAgent'
import { createAgentClients } from '../agentClients'
import type { AgentClient, AgentClients } from '../types'

describe('createAgentClients', () => {
  const clock = createFakeClock()
  let agent: FakeAgent
  let clients: AgentClients

  beforeAll(() => { jest.spyOn(console, 'error').mockImplementation(() => {}) })
  beforeEach(async () => {
    agent = await startFakeAgent({ name: 'a1' })
    clients = createAgentClients({ clock, leftConnectionMs: 5_000 })
  })
  afterEach(async () => {
    await clients.close()
    await agent.close()
  })

  const use = async (client: AgentClient): Promise<void> => { await client.cancelAttempt({ attemptId: 'x' }) }
  const condition = async (holds: () => boolean): Promise<void> => {
    for (let tries = 0; !holds(); tries++) {
      if (tries > 1_000) throw new Error(`condition was never met: ${holds.toString()}`)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }

  it('opens one connection per address and work class, on first use', async () => {
    const { address } = agent.view
    expect(clients.get(address, 'online')).toBe(clients.get(address, 'online'))
    expect(agent.sessions.size).toBe(0)
    await Promise.all([use(clients.get(address, 'online')), use(clients.get(address, 'online')), use(clients.get(address, 'lookup'))])
    expect(agent.sessions.size).toBe(2)
  })

  it('opens one new connection for all streams that detect the same unresponsive connection', async () => {
    // Guards against hundreds of connections to one agent, one for each stream of an unresponsive connection.
    const { address } = agent.view
    const silent = clients.get(address, 'online')
    await use(silent)
    const renewed = Array.from({ length: 50 }, () => clients.renew(address, 'online', silent))
    expect(new Set(renewed).size).toBe(1)
    await use(renewed[0])
    expect(agent.sessions.size).toBe(2)
    expect(clients.renew(address, 'online', renewed[0])).not.toBe(renewed[0])
  })

  it('destroys a replaced connection after a timeout', async () => {
    const { address } = agent.view
    const silent = clients.get(address, 'online')
    await use(silent)
    await use(clients.renew(address, 'online', silent))
    clock.advance(4_999)
    expect(agent.sessions.size).toBe(2)
    clock.advance(1)
    await condition(() => agent.sessions.size === 1)
  })

  it('destroys all connections to a removed agent', async () => {
    const { address } = agent.view
    await Promise.all([use(clients.get(address, 'online')), use(clients.get(address, 'control'))])
    clients.forget(address)
    clock.advance(5_000)
    await condition(() => agent.sessions.size === 0)
  })
})
