/** A caller with the `openai` client, for tests of the routes. */
import { connect } from 'node:net'
import OpenAI, { toFile } from 'openai'

/** One line of a result file. */
export interface ResultLine {
  custom_id: string
  response: { status_code: number, body: { choices: Array<{ message: { content: string } }> } } | null
  error: { code: string, message: string } | null
}

/** A client of one gateway. */
export interface BatchClient {
  openai: OpenAI
  upload: (content: string) => Promise<OpenAI.FileObject>
  submit: (fileId: string, options?: { key?: string, window?: string }) => Promise<OpenAI.Batch>
  untilEnded: (id: string) => Promise<OpenAI.Batch>
  results: (fileId: string | null | undefined) => Promise<ResultLine[]>
}

/**
 * @param url - URL of the gateway
 * @param caller - name of the client account
 * @returns a client without retries, so that each response is visible
 */
export function createBatchClient (url: string, caller = 'shop'): BatchClient {
  const openai = new OpenAI({ apiKey: caller, baseURL: `${url}/v1`, maxRetries: 0 })
  return {
    openai,
    upload: async content => await openai.files.create({ file: await toFile(Buffer.from(content), 'items.jsonl'), purpose: 'batch' }),
    submit: async (fileId, { key, window = '24h' } = {}) => await openai.batches.create(
      { input_file_id: fileId, endpoint: '/v1/chat/completions', completion_window: window as '24h' },
      key === undefined ? {} : { headers: { 'Idempotency-Key': key } }
    ),
    untilEnded: async id => {
      for (;;) {
        const batch = await openai.batches.retrieve(id)
        if (!['in_progress', 'cancelling'].includes(batch.status)) return batch
        await nextCheck()
      }
    },
    results: async fileId => {
      const text = await (await openai.files.content(String(fileId))).text()
      return text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as ResultLine)
    }
  }
}

/** Waits 5 ms between two checks of a condition. */
export async function nextCheck (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 5))
}

/**
 * @param condition - checked repeatedly until it is true
 */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await nextCheck()
}

/**
 * @param index - index of the item
 * @param content - content of its prompt
 * @returns one line of an input file
 */
export function itemLine (index: number, content = `question ${index}`): string {
  return JSON.stringify({ custom_id: `c-${index}`, method: 'POST', url: '/v1/chat/completions', body: { model: 'm', messages: [{ role: 'user', content }] } })
}

/**
 * @param count - number of items
 * @returns content of an input file
 */
export function itemLines (count: number): string {
  return Array.from({ length: count }, (_value, index) => itemLine(index) + '\n').join('')
}

/**
 * Sends the beginning of an upload and disconnects.
 *
 * @param url - URL of the gateway
 * @param content - beginning of the file
 */
export async function abortUpload (url: string, content: string): Promise<void> {
  const { hostname, port } = new URL(url)
  const head = 'POST /v1/files HTTP/1.1\r\nhost: x\r\nauthorization: Bearer shop\r\ncontent-length: 100000\r\n' +
    'content-type: multipart/form-data; boundary=b\r\n\r\n' +
    '--b\r\ncontent-disposition: form-data; name="file"; filename="f"\r\n\r\n'
  const socket = connect(Number(port), hostname)
  socket.on('error', () => {})
  await new Promise<void>(resolve => { socket.write(head + content, () => { resolve() }) })
  socket.destroy()
}

/**
 * Pipelines requests on one connection.
 *
 * @param url - URL of the gateway
 * @param paths - paths to get; the last request has the header `connection: close`
 * @returns all data received until the connection is closed
 */
export async function getOnOneConnection (url: string, paths: string[]): Promise<string> {
  const { hostname, port } = new URL(url)
  const socket = connect(Number(port), hostname)
  const heads = paths.map((path, index) => `GET ${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer shop\r\n${index === paths.length - 1 ? 'connection: close\r\n' : ''}\r\n`)
  socket.write(heads.join(''))
  let text = ''
  socket.on('data', data => { text += data.toString() })
  socket.on('error', () => {})
  return await new Promise(resolve => { socket.once('close', () => { resolve(text) }) })
}
