import { Agent } from 'undici'
import { call, callForJson } from '../../__fixtures__/callStandin'
import { startTableStandin, type TableStandin } from '../../table/tableStandin'

const COMMIT = { commitId: 'a', conditions: [], writes: [{ key: 'x', value: '1' }] }

describe('startStandinServer', () => {
  let table: TableStandin

  beforeEach(async () => { table = await startTableStandin() })
  afterEach(async () => { await table.close() })

  const setFaults = async (changes: object): Promise<any> => await callForJson(`${table.url}/faults`, { method: 'PUT', body: changes })

  test('merges changed faults into the current ones', async () => {
    await setFaults({ latencyMs: 5 })
    expect(await setFaults({ lagMs: 7 })).toMatchObject({ latencyMs: 5, lagMs: 7, outage: false })
    expect(await callForJson(`${table.url}/faults`)).toMatchObject({ latencyMs: 5, lagMs: 7 })
  })

  test('rejects a misspelt fault, which would leave a test without its failure', async () => {
    const response = await call(`${table.url}/faults`, { method: 'PUT', body: { latency: 5 } })
    expect(response.status).toBe(400)
    expect(response.text).toContain('unknown fault \\"latency\\"')
  })

  test('responds with 503 during an outage, and nothing takes effect', async () => {
    await setFaults({ outage: true })
    expect((await call(`${table.url}/v1/commit`, { body: COMMIT })).status).toBe(503)
    expect(table.rows()).toEqual([])
  })

  test('closes the connection after the effect when responses are lost', async () => {
    await setFaults({ loseReplies: 1 })
    await expect(call(`${table.url}/v1/commit`, { body: COMMIT })).rejects.toThrow()
    expect(table.rows().map(row => row.key)).toEqual(['x'])
  })

  test('does not respond while it is frozen', async () => {
    await setFaults({ frozen: true })
    let responded = false
    call(`${table.url}/v1/commit`, { body: COMMIT }).then(() => { responded = true }, () => {})
    // The response to a request that was sent later shows that the frozen one had time to complete.
    expect(await callForJson(`${table.url}/faults`)).toMatchObject({ frozen: true })
    expect(responded).toBe(false)
    expect(table.rows()).toEqual([])
  })

  test('silences the open connections once and serves new ones', async () => {
    const pooled = new Agent({ connections: 1 })
    const read = { body: { keys: ['x'] } }
    await call(`${table.url}/v1/read`, { ...read, dispatcher: pooled })
    expect(await setFaults({ silence: true })).toMatchObject({ silence: false })
    const silent = call(`${table.url}/v1/read`, { ...read, dispatcher: pooled }).then(() => 'responded', () => 'closed')
    expect((await call(`${table.url}/v1/read`, read)).status).toBe(200)
    await pooled.destroy()
    expect(await silent).toBe('closed')
  })

  test('responds with 500 to a request that contains the text of failOn', async () => {
    await setFaults({ failOn: 'poison' })
    expect((await call(`${table.url}/v1/read`, { body: { keys: ['poison'] } })).status).toBe(500)
    expect((await call(`${table.url}/v1/read`, { body: { keys: ['x'] } })).status).toBe(200)
  })

  test('crashes on a request that contains the text of crashOn', async () => {
    await setFaults({ crashOn: 'poison' })
    await expect(call(`${table.url}/v1/read`, { body: { keys: ['poison'] } })).rejects.toThrow()
    expect(table.crashed()).toBe(true)
    await expect(call(`${table.url}/v1/read`, { body: { keys: ['x'] } })).rejects.toThrow()
  })

  test('responds with 400 to a body that is not JSON', async () => {
    expect((await call(`${table.url}/v1/read`, { body: '{' })).status).toBe(400)
  })
})
