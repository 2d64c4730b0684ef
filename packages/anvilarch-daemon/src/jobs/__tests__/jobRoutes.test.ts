import { type BatchClient, abortUpload, createBatchClient, itemLine, itemLines, until } from '../__fixtures__/batchClient'
import { createMemoryStore } from '../__fixtures__/memoryStore'
import { startTestGateway, type TestGateway } from '../__fixtures__/testGateway'

const rowsOf = (gateway: TestGateway, prefix: string): string[] => [...gateway.store.rows.keys()].filter(key => key.startsWith(prefix))

const UPLOAD_START = '--b\r\ncontent-disposition: form-data; name="file"; filename="f"\r\n\r\n'
const UPLOAD_HEADERS = { 'content-type': 'multipart/form-data; boundary=b' }

describe('rejected uploads', () => {
  let gateway: TestGateway
  let client: BatchClient

  beforeEach(async () => {
    gateway = await startTestGateway()
    client = createBatchClient(gateway.server.url)
  })

  afterEach(async () => { await gateway.stop() })

  const expectNothingStored = (): void => {
    expect([...gateway.store.objects.keys()]).toEqual([])
    expect([...rowsOf(gateway, 'file/'), ...rowsOf(gateway, 'upload/'), ...rowsOf(gateway, 'callerfile/')]).toEqual([])
  }

  it.each([
    ['is not JSON', '{"custom_id": ', /Line 7 .*not JSON/],
    ['is no object', '[]', /Line 7 .*not a JSON object/],
    ['lacks a custom_id', '{"method":"POST","url":"/v1/completions","body":{"model":"m"}}', /Line 7 .*"custom_id"/],
    ['lacks a body', '{"custom_id":"x","method":"POST","url":"/v1/completions"}', /Line 7 .*"body"/],
    ['has an unknown url', '{"custom_id":"x","method":"POST","url":"/v1/embeddings","body":{"model":"m"}}', /Line 7 .*"\/v1\/embeddings"/],
    ['repeats a custom_id', itemLine(5), /Line 7 .*"c-5" was used on line 6/],
    ['is too long', itemLine(6, 'x'.repeat(3_000)), /Line 7 .*2048 bytes/]
  ])('names the line that %s and stores nothing', async (_name, line, message) => {
    await expect(client.upload(itemLines(6) + line + '\n' + itemLines(3))).rejects.toMatchObject({ status: 400, message: expect.stringMatching(message) })
    expectNothingStored()
  })

  it.each([['no items', '\n\n'], ['blank lines without end', '\n'.repeat(9_000)]])('rejects a file of %s', async (_name, content) => {
    await expect(client.upload(content)).rejects.toMatchObject({ status: 400 })
    expectNothingStored()
  })

  it('rejects a form with another purpose, and one without a file', async () => {
    const post = async (fields: Record<string, string | Blob>): Promise<number> => {
      const body = new FormData()
      for (const [name, value] of Object.entries(fields)) body.append(name, value as string)
      return (await fetch(`${gateway.server.url}/v1/files`, { method: 'POST', body })).status
    }
    expect(await post({ purpose: 'fine-tune', file: new Blob([itemLines(9)]) })).toBe(400)
    expect(await post({ purpose: 'batch' })).toBe(400)
    expect((await fetch(`${gateway.server.url}/v1/files`, { method: 'POST', body: 'text' })).status).toBe(400)
    expectNothingStored()
  })

  // Guards against uploads that a stopping gateway cuts without an answer.
  it('stores nothing of an upload that does not end before the drain does, and says so', async () => {
    const content = new ReadableStream({ start: controller => { controller.enqueue(Buffer.from(UPLOAD_START + itemLines(40))) } })
    const uploading = fetch(`${gateway.server.url}/v1/files`, { method: 'POST', body: content, headers: UPLOAD_HEADERS, duplex: 'half' } as RequestInit)
    await until(() => gateway.store.counts.puts > 0)
    gateway.server.gate.startDrain({ readinessLeadMs: 0, drainTimeoutMs: 1_100 })
    const response = await uploading
    expect([response.status, await response.json()]).toEqual([503, { error: expect.objectContaining({ code: 'draining', ran: 'not_run' }) }])
    await until(() => gateway.store.objects.size === 0 && rowsOf(gateway, 'upload/').length === 0)
    expectNothingStored()
  })

  // Guards against an incomplete file that can be run, and against chunks that are never removed.
  it('stores nothing of an incomplete upload', async () => {
    await abortUpload(gateway.server.url, itemLines(40))
    await until(() => gateway.store.counts.puts > 0)
    await until(() => gateway.store.objects.size === 0 && rowsOf(gateway, 'upload/').length === 0)
    expectNothingStored()
    const body = `--b\r\ncontent-disposition: form-data; name="file"; filename="f"\r\n\r\n${itemLines(3)}`
    const headers = { 'content-type': 'multipart/form-data; boundary=b' }
    expect((await fetch(`${gateway.server.url}/v1/files`, { method: 'POST', body, headers })).status).toBe(400)
    expectNothingStored()
  })

  it('reports that nothing was run, and when to retry, while a service of the platform is down', async () => {
    const expectRefusal = async (attempt: Promise<unknown>): Promise<void> => {
      const error = await attempt.catch((caught: unknown) => caught)
      expect(error).toMatchObject({ status: 503, error: { ran: 'not_run' } })
      expect(Number((error as { headers: Headers }).headers.get('retry-after'))).toBeGreaterThan(0)
    }
    gateway.faults.objects.outage = true
    await expectRefusal(client.upload(itemLines(3)))
    gateway.faults.objects.outage = false
    const file = await client.upload(itemLines(3))
    gateway.faults.table.outage = true
    await expectRefusal(client.upload(itemLines(3)))
    await expectRefusal(client.submit(file.id))
    gateway.faults.table.outage = false
    expect(rowsOf(gateway, 'job/')).toEqual([])
  })
})

describe('resubmitted jobs', () => {
  const store = createMemoryStore()
  let gateways: TestGateway[]
  let clients: BatchClient[]
  let fileId: string

  beforeEach(async () => {
    store.rows.clear()
    gateways = [await startTestGateway({ store, name: 'a' }), await startTestGateway({ store, name: 'b' })]
    clients = gateways.map(({ server }) => createBatchClient(server.url))
    fileId = (await clients[0].upload(itemLines(6))).id
  })

  afterEach(async () => { for (const gateway of gateways) await gateway.stop() })

  // Guards against a job that runs twice.
  it('accepts one job when it is submitted to two gateways at once, with and without a key, even if its file was uploaded twice', async () => {
    const again = (await clients[1].upload(itemLines(6))).id
    for (const { faults } of gateways) faults.table.latencyMs = 8
    for (const key of [undefined, 'renewals/2026 #1']) {
      const jobs = await Promise.all([clients[0].submit(fileId, { key }), clients[1].submit(again, { key }), clients[1].submit(fileId, { key })])
      expect(new Set(jobs.map(job => job.id)).size).toBe(1)
      await clients[0].untilEnded(jobs[0].id)
      expect((await clients[1].submit(again, { key })).id).toBe(jobs[0].id)
    }
    expect(rowsOf(gateways[0], 'job/').length).toBe(2)
  })

  it('rejects other content under the key of a job', async () => {
    await clients[0].submit(fileId, { key: 'k' })
    const other = (await clients[1].upload(itemLines(7))).id
    await expect(clients[1].submit(other, { key: 'k' })).rejects.toMatchObject({ status: 409 })
    await expect(clients[1].submit(fileId, { key: 'k', window: '12h' })).rejects.toMatchObject({ status: 409 })
    expect(rowsOf(gateways[0], 'job/').length).toBe(1)
  })

  it('creates a new job for the same content after a cancel, unless the caller sent a key', async () => {
    for (const gateway of gateways) gateway.runner.slowMs = 60_000
    const slow = (await clients[0].upload(itemLine(0, 'SLOW'))).id
    const [plain, named] = [await clients[0].submit(slow), await clients[0].submit(slow, { key: 'k' })]
    for (const { id } of [plain, named]) await clients[0].openai.batches.cancel(id)
    const again = await clients[1].submit(slow)
    expect([plain.id, named.id]).not.toContain(again.id)
    expect((await clients[0].submit(slow)).id).toBe(again.id)
    expect((await clients[1].submit(slow, { key: 'k' })).id).toBe(named.id)
  })

  // Guards against a job that runs although its caller received a definite error.
  it('determines whether a commit with a lost reply took effect, or reports that its outcome is unknown', async () => {
    const { table } = gateways[0].context.platform
    const { commit } = table
    let lost = 1
    table.commit = async sent => {
      const result = await commit(sent)
      const isAccept = sent.writes.some(write => write.key.startsWith('jobkey/'))
      if (!isAccept || lost-- <= 0) return result
      throw Object.assign(new Error('connection reset'), { code: 'ECONNRESET' })
    }
    const settled = await clients[0].submit(fileId, { key: 'settled' })
    expect((await clients[1].submit(fileId, { key: 'settled' })).id).toBe(settled.id)
    lost = 100
    await expect(clients[0].submit(fileId, { key: 'open' })).rejects.toMatchObject({ error: { ran: 'unknown', message: expect.stringContaining('Idempotency-Key') } })
    expect((await clients[1].submit(fileId, { key: 'open' })).id).toBe((await clients[1].submit(fileId, { key: 'open' })).id)
    expect(rowsOf(gateways[0], 'job/').length).toBe(2)
    table.commit = commit
  })

  it('rejects jobs above the limit of active jobs of the caller', async () => {
    for (const gateway of gateways) gateway.runner.slowMs = 60_000
    const slow = (await clients[0].upload(itemLine(0, 'SLOW'))).id
    const jobs = []
    for (const key of ['1', '2', '3']) jobs.push(await clients[0].submit(slow, { key }))
    await expect(clients[1].submit(slow, { key: '4' })).rejects.toMatchObject({ status: 429 })
    await clients[0].openai.batches.cancel(jobs[0].id)
    await clients[1].submit(slow, { key: '4' })
  })
})
