import { startTestGateway, type TestGateway } from '../__fixtures__/testGateway'

describe('a gateway that catches up after a pause of its own process', () => {
  let gateway: TestGateway

  afterEach(async () => { await gateway.stop() })

  // Guards against this: an endpoint is given work long after the host list has said that it leaves.
  it('sends new work only once it has read the host list', async () => {
    gateway = await startTestGateway({ agents: [{ name: 'a1' }, { name: 'a2' }] })
    const [leaving] = gateway.directory.views
    let catchingUp: Promise<void> | undefined = new Promise<void>(resolve => {
      setTimeout(() => {
        leaving.state = 'draining'
        catchingUp = undefined
        resolve()
      }, 50)
    })
    gateway.directory.catchUp = () => catchingUp
    const answers = await Promise.all([1, 2, 3, 4].map(async () => await fetch(`${gateway.url}/services/names/names/a.example`)))
    expect(answers.map(answer => answer.status)).toEqual([200, 200, 200, 200])
    expect(gateway.agents.map(agent => agent.starts.length)).toEqual([0, 4])
  })

  it('answers at the deadline also while it catches up', async () => {
    gateway = await startTestGateway({ agents: [{ name: 'a1' }] })
    gateway.directory.catchUp = () => new Promise<void>(() => {})
    const response = await fetch(`${gateway.url}/services/names/names/a.example`, { headers: { 'x-deadline-ms': '150' } })
    expect(response.status).toBe(504)
    expect(gateway.agents[0].starts).toEqual([])
  })
})
