import { createFakeClock, SILENT_LOGGER } from 'anvilarch-utils'
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
    clients = createAgentClients({ clock, logger: SILENT_LOGGER, replacedConnectionMs: 5_000 })
  })
  afterEach(async () => {
    await clients.close()
    await agent.close()
  })

  const callAgent = async (client: AgentClient): Promise<void> => { await client.cancelAttempt({ attemptId: 'x' }) }
  const waitUntil = async (isMet: () => boolean): Promise<void> => {
    for (let tries = 0; !isMet(); tries++) {
      if (tries > 1_000) throw new Error(`condition was never met: ${isMet.toString()}`)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }

  it('opens one connection per address and work class, on first use', async () => {
    const { address } = agent.view
    expect(clients.get(address, 'online')).toBe(clients.get(address, 'online'))
    expect(agent.sessions.size).toBe(0)
    await Promise.all([callAgent(clients.get(address, 'online')), callAgent(clients.get(address, 'online')), callAgent(clients.get(address, 'lookup'))])
    expect(agent.sessions.size).toBe(2)
  })

  it('opens one new connection for all streams that detect the same unresponsive connection', async () => {
    // Guards against hundreds of connections to one agent, one for each stream of an unresponsive connection.
    const { address } = agent.view
    const unresponsive = clients.get(address, 'online')
    await callAgent(unresponsive)
    const reconnected = Array.from({ length: 50 }, () => clients.reconnect(address, 'online', unresponsive))
    expect(new Set(reconnected).size).toBe(1)
    await callAgent(reconnected[0])
    expect(agent.sessions.size).toBe(2)
    expect(clients.reconnect(address, 'online', reconnected[0])).not.toBe(reconnected[0])
  })

  it('destroys a replaced connection after a timeout', async () => {
    const { address } = agent.view
    const unresponsive = clients.get(address, 'online')
    await callAgent(unresponsive)
    await callAgent(clients.reconnect(address, 'online', unresponsive))
    clock.advance(4_999)
    expect(agent.sessions.size).toBe(2)
    clock.advance(1)
    await waitUntil(() => agent.sessions.size === 1)
  })

  it('destroys all connections to a removed agent', async () => {
    const { address } = agent.view
    await Promise.all([callAgent(clients.get(address, 'online')), callAgent(clients.get(address, 'control'))])
    clients.remove(address)
    clock.advance(5_000)
    await waitUntil(() => agent.sessions.size === 0)
  })
})
