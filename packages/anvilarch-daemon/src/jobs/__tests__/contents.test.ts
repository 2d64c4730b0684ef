import { createChunkWriter } from '../chunkWriter'
import { createLineSplitter } from '../lineSplitter'
import { createBatchClient, getOnOneConnection, itemLine, itemLines } from '../__fixtures__/batchClient'
import { startTestGateway, type TestGateway } from '../__fixtures__/testGateway'

describe('createLineSplitter', () => {
  it('returns the same lines however the bytes are split', () => {
    const text = 'one\n\ntwo é\nthree'
    for (let size = 1; size < text.length; size++) {
      const splitter = createLineSplitter(100)
      const bytes = Buffer.from(text)
      const lines: Buffer[] = []
      for (let start = 0; start < bytes.length; start += size) lines.push(...splitter.push(bytes.subarray(start, start + size)))
      lines.push(splitter.finish() ?? Buffer.alloc(0))
      expect(lines.map(String)).toEqual(['one\n', '\n', 'two é\n', 'three'])
    }
  })
})

describe('createChunkWriter', () => {
  // Guards against a gateway that runs out of memory during a large upload.
  it('accepts no more data while two chunks are being written', async () => {
    const finishPut: Array<() => void> = []
    const objects = { putIfAbsent: async () => await new Promise<'created'>(resolve => { finishPut.push(() => { resolve('created') }) }) }
    const writer = createChunkWriter({ objects: objects as never, fileId: 'f', partItems: 2, partBytes: 10_000, maxItemBytes: 1_000, maxFileBytes: 100_000 })
    let pushed = 0
    const upload = (async () => {
      for (; pushed < 20; pushed++) await writer.push(Buffer.from(itemLine(pushed) + '\n'))
      return await writer.finish()
    })()
    await new Promise(resolve => setImmediate(resolve))
    expect({ pushed, puts: finishPut.length }).toEqual({ pushed: 4, puts: 2 })
    for (let put = 0; put < 10; put++) {
      finishPut[put]()
      await new Promise(resolve => setImmediate(resolve))
    }
    expect(await upload).toMatchObject({ chunkItems: new Array(10).fill(2), models: ['m'], urls: ['/v1/chat/completions'] })
  })
})

describe('content of files', () => {
  let gateway: TestGateway

  beforeEach(async () => { gateway = await startTestGateway() })

  afterEach(async () => { await gateway.stop() })

  // Guards against a caller that mistakes partial results for complete ones.
  it('closes the connection when the rest of the content cannot be read', async () => {
    const client = createBatchClient(gateway.server.url)
    const file = await client.upload(itemLines(20))
    const batch = await client.untilEnded((await client.submit(file.id)).id)
    const { objects } = gateway.context.platform
    const { get } = objects
    for (const id of [file.id, String(batch.output_file_id)]) {
      let reads = 0
      objects.get = async name => {
        if (++reads > 2) throw new Error('outage')
        return await get(name)
      }
      const download = async (): Promise<string> => await (await client.openai.files.content(id)).text()
      await expect(download()).rejects.toThrow()
      objects.get = get
    }
    expect((await client.results(batch.output_file_id)).length).toBe(20)
  })

  // Guards against a client that reads the next response on the connection as the rest of a file.
  it.each([
    ['shorter', (body: Uint8Array) => body.slice(1)],
    ['longer', (body: Uint8Array) => Buffer.concat([body, body])]
  ])('sends nothing more after a file whose last chunk is %s than recorded', async (_name, change) => {
    const file = await createBatchClient(gateway.server.url).upload(itemLines(20))
    const { objects } = gateway.context.platform
    const { get } = objects
    const changed = async (name: string): Promise<Uint8Array | null> => {
      const body = await get(name)
      return body === null ? null : change(body)
    }
    const names = (await objects.list('', { limit: 100 })).names
    objects.get = async name => name === names.at(-1) ? await changed(name) : await get(name)
    const text = await getOnOneConnection(gateway.server.url, [`/v1/files/${file.id}/content`, '/v1/files'])
    const [, body = ''] = text.split('\r\n\r\n')
    expect(body.length).toBeLessThan(file.bytes)
    expect(text).not.toContain('"object":"list"')
  })

  // Guards against a caller that waits for bytes that are never sent.
  it('returns an error when the only chunk of a file is too short', async () => {
    const file = await createBatchClient(gateway.server.url).upload(itemLines(1))
    const { objects } = gateway.context.platform
    const { get } = objects
    objects.get = async name => (await get(name))?.slice(1) ?? null
    expect(await getOnOneConnection(gateway.server.url, [`/v1/files/${file.id}/content`])).toMatch(/^HTTP\/1.1 502 [^]*"code":"incomplete"/)
  })
})
