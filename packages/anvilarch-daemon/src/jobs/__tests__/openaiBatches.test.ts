import { FAILING_PROMPTS } from '../__fixtures__/fakeRunner'
import { type BatchClient, createBatchClient, itemLine, itemLines, until } from '../__fixtures__/batchClient'
import { startTestGateway, type TestGateway, type TestGatewayOptions } from '../__fixtures__/testGateway'

const HOUR_MS = 3_600_000

describe('files and batches through the openai client', () => {
  let gateway: TestGateway
  let client: BatchClient

  const start = async (options?: TestGatewayOptions): Promise<void> => {
    gateway = await startTestGateway(options)
    client = createBatchClient(gateway.server.url)
  }

  afterEach(async () => { await gateway.stop() })

  it('uploads a file, runs a batch and returns one result for each item', async () => {
    await start()
    const file = await client.upload(itemLines(30))
    expect(file).toMatchObject({ object: 'file', purpose: 'batch', filename: 'items.jsonl' })
    expect(await (await client.openai.files.content(file.id)).text()).toBe(itemLines(30))
    const batch = await client.untilEnded((await client.submit(file.id)).id)
    expect(batch).toMatchObject({ status: 'completed', request_counts: { total: 30, completed: 30, failed: 0 }, error_file_id: null })
    const results = await client.results(batch.output_file_id)
    expect(results.map(result => result.custom_id).sort()).toEqual(Array.from({ length: 30 }, (_value, index) => `c-${index}`).sort())
    for (const { custom_id: id, response } of results) expect(response?.body.choices[0].message.content).toBe(`re: question ${id.slice(2)}`)
    expect(gateway.store.counts.conflicts).toBe(0)
  })

  // Guards against a job that never ends.
  it('ends a batch with items that always fail, and lists a reason for each in the error file', async () => {
    await start()
    const prompts = [FAILING_PROMPTS.fail, FAILING_PROMPTS.refuse, FAILING_PROMPTS.quarantine, 'fine']
    const file = await client.upload(prompts.map((prompt, index) => itemLine(index, prompt)).join('\n'))
    const batch = await client.untilEnded((await client.submit(file.id)).id)
    expect(batch.request_counts).toEqual({ total: 4, completed: 1, failed: 3 })
    const errors = await client.results(batch.error_file_id)
    const codes = Object.fromEntries(errors.map(({ custom_id: id, error }) => [id, error?.code]))
    expect(codes).toEqual({ 'c-0': 'endpoint_failed', 'c-1': 'status_400', 'c-2': 'quarantined' })
    expect(errors.find(({ custom_id: id }) => id === 'c-1')?.response?.status_code).toBe(400)
    expect(gateway.runner.started.get(FAILING_PROMPTS.fail)).toBe(3)
    expect(gateway.runner.started.get(FAILING_PROMPTS.quarantine)).toBe(1)
  }, 20_000)

  // Guards against a cancelled job that continues.
  it('cancels running items within a poll, starts no more items and keeps the partial results', async () => {
    await start({ runner: { maxRunMs: 0, slots: 8 } })
    gateway.runner.slowMs = HOUR_MS
    const lines = Array.from({ length: 64 }, (_value, index) => itemLine(index, index % 4 === 0 ? 'fast' : 'SLOW'))
    const { id } = await client.submit((await client.upload(lines.join('\n'))).id)
    await until(() => [...gateway.store.objects.keys()].some(name => name.startsWith(`results/${id}/`)))
    expect(gateway.runner.running()).toBe(8)
    expect((await client.openai.batches.cancel(id)).status).toBe('cancelling')
    await until(() => gateway.runner.running() === 0)
    expect(gateway.runner.cancelled()).toBe(8)
    const batch = await client.untilEnded(id)
    const completed = batch.request_counts?.completed ?? 0
    expect(batch).toMatchObject({ status: 'cancelled', request_counts: { total: 64, failed: 0 } })
    expect(completed).toBeGreaterThan(0)
    expect((await client.results(batch.output_file_id)).length).toBe(completed)
    expect(gateway.runner.started.get('SLOW')).toBe(8)
    expect((await client.openai.batches.cancel(id)).id).toBe(id)
  })

  it('expires a batch at the end of its window and keeps the partial results', async () => {
    await start({ runner: { maxRunMs: 0, slots: 8 } })
    gateway.runner.slowMs = HOUR_MS
    const file = await client.upload(itemLines(4) + itemLine(100, 'SLOW'))
    const { id } = await client.submit(file.id, { window: '2h' })
    await until(() => gateway.context.timeline.query().some(({ event }) => event === 'jobs.segment_committed') && gateway.runner.running() === 1)
    gateway.skipTime(2 * HOUR_MS)
    const batch = await client.untilEnded(id)
    expect(gateway.runner.cancelled()).toBe(1)
    expect(batch).toMatchObject({ status: 'expired', request_counts: { completed: 4, failed: 0 } })
    expect((await client.results(batch.output_file_id)).length).toBe(4)
    expect(await client.openai.files.delete(String(batch.output_file_id))).toMatchObject({ deleted: true })
    await expect(client.results(batch.output_file_id)).rejects.toMatchObject({ status: 404 })
  })

  it('lists files and batches of one caller, newest first, in pages', async () => {
    await start({ runner: { maxRunMs: 0 } })
    const files = []
    for (let number = 0; number < 3; number++) {
      files.unshift((await client.upload(itemLine(number))).id)
      await client.untilEnded((await client.submit(files[0])).id)
    }
    const listed = []
    for await (const file of client.openai.files.list({ limit: 2 })) listed.push(file.id)
    expect(listed).toEqual(files)
    const inputs = []
    for await (const batch of client.openai.batches.list({ limit: 2 })) inputs.push(batch.input_file_id)
    expect(inputs).toEqual(files)
    expect((await createBatchClient(gateway.server.url, 'other').openai.batches.list()).data).toEqual([])
  })

  it('hides files and batches of one caller from another', async () => {
    await start()
    const { openai } = createBatchClient(gateway.server.url, 'other')
    const file = await client.upload(itemLines(2))
    const batch = await client.untilEnded((await client.submit(file.id)).id)
    const attempts = [
      openai.files.retrieve(file.id), openai.files.content(file.id), openai.files.delete(file.id), openai.batches.retrieve(batch.id),
      openai.batches.cancel(batch.id), openai.files.content(String(batch.output_file_id)),
      openai.batches.create({ input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h' })
    ]
    for (const attempt of attempts) await expect(attempt).rejects.toMatchObject({ status: 404 })
  })

  it('deletes a file that no active batch uses, and leaves its chunks to the sweeper', async () => {
    await start({ runner: { maxRunMs: 0, slots: 8 } })
    gateway.runner.slowMs = HOUR_MS
    const file = await client.upload(itemLine(1, 'SLOW'))
    const { id } = await client.submit(file.id)
    await expect(client.openai.files.delete(file.id)).rejects.toMatchObject({ status: 409 })
    await client.openai.batches.cancel(id)
    expect(await client.openai.files.delete(file.id)).toMatchObject({ id: file.id, deleted: true })
    await expect(client.openai.files.retrieve(file.id)).rejects.toMatchObject({ status: 404 })
    expect(gateway.store.rows.has(`upload/${file.id}`)).toBe(true)
  })
})
