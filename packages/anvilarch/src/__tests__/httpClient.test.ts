import { type FakeGateway, startFakeGateway } from '../__fixtures__/fakeGateway'
import { createHttpClient, type HttpCall } from '../gateway/httpClient'

const READ: HttpCall = { method: 'GET', path: '/admin/v1/services', step: 'services.list', isRepeatable: true }
const WRITE: HttpCall = { ...READ, method: 'POST', path: '/admin/v1/agents/agent-1/drain', isRepeatable: false }

let silent: FakeGateway
let healthy: FakeGateway

beforeEach(async () => {
  silent = await startFakeGateway('')
  healthy = await startFakeGateway('')
  silent.state.isSilent = true
})

afterEach(async () => {
  await silent.close()
  await healthy.close()
})

const createClient = () => createHttpClient({ gatewayUrls: [silent.url, healthy.url], connectTimeoutMs: 1000, answerTimeoutMs: 50 })

describe('createHttpClient', () => {
  // Guards against this: every command takes a minute.
  it('asks the next gateway when one takes the connection and never answers', async () => {
    const client = createClient()
    await expect(client.json(READ)).resolves.toMatchObject({ services: [{ name: 'lookup' }] })
    await expect(client.json(READ)).resolves.toBeDefined()
    await client.close()
    expect(silent.state.requests).toHaveLength(1)
  })

  it('does not send a call again that may have had an effect', async () => {
    const client = createClient()
    await expect(client.json(WRITE)).rejects.toMatchObject({ ran: 'unknown', code: 'outcome_unknown', peer: silent.url })
    await client.close()
    expect(healthy.state.requests).toEqual([])
  })
})
