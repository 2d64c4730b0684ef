import { startTestGateway, type TestGateway } from '../__fixtures__/testGateway'

describe('a gateway whose directory catches up after a process pause', () => {
  let gateway: TestGateway

  afterEach(async () => { await gateway.stop() })

  // Guards against requests to an endpoint long after the host list has reported that it is draining.
  it('sends requests only once it has read the host list', async () => {
    gateway = await startTestGateway({ agents: [{ name: 'a1' }, { name: 'a2' }] })
    const [draining] = gateway.directory.views
    let catchingUp: Promise<void> | undefined = new Promise<void>(resolve => {
      setTimeout(() => {
        draining.state = 'draining'
        catchingUp = undefined
        resolve()
      }, 50)
    })
    gateway.directory.catchUp = () => catchingUp
    const responses = await Promise.all([1, 2, 3, 4].map(async () => await fetch(`${gateway.url}/services/names/names/a.example`)))
    expect(responses.map(response => response.status)).toEqual([200, 200, 200, 200])
    expect(gateway.agents.map(agent => agent.starts.length)).toEqual([0, 4])
  })

  it('responds at the deadline also while it catches up', async () => {
    gateway = await startTestGateway({ agents: [{ name: 'a1' }] })
    gateway.directory.catchUp = () => new Promise<void>(() => {})
    const response = await fetch(`${gateway.url}/services/names/names/a.example`, { headers: { 'x-deadline-ms': '150' } })
    expect(response.status).toBe(504)
    expect(gateway.agents[0].starts).toEqual([])
  })
})
