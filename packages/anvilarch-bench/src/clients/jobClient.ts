/** Client of batch jobs on the OpenAI-compatible routes: uploads items, creates, polls and cancels jobs, and checks every result. */
import { Readable } from 'node:stream'
import { type Clock, sleep } from 'anvilarch-utils'
import type { Dispatcher } from 'undici'

/** An item of a job. */
export interface JobItem {
  customId: string
  body: object
}

/** A batch as the routes return it. */
export interface BatchView {
  id: string
  status: string
  output_file_id?: string | null
  error_file_id?: string | null
  request_counts?: { total: number, completed: number, failed: number }
}

/** Options of `createJobClient`. */
export interface JobClientOptions {
  clock: Clock
  dispatcher: Dispatcher
  origin: string
  headers?: Record<string, string>
  /** Route that the items are sent to. */
  endpoint?: string
}

/** Result of checking an output file. */
export interface ResultCheck {
  lines: number
  /** Items with the expected text. */
  right: number
  wrong: number
  doubled: number
  missing: number
}

/** Sends requests about jobs to one gateway. */
export interface JobClient {
  upload: (items: Iterable<JobItem>) => Promise<string>
  create: (fileId: string, idempotencyKey?: string) => Promise<BatchView>
  get: (jobId: string) => Promise<BatchView>
  cancel: (jobId: string) => Promise<BatchView>
  /** Polls until the job has ended or the timeout has elapsed. */
  waitForEnd: (jobId: string, options: { timeoutMs: number, pollMs?: number, signal?: AbortSignal }) => Promise<BatchView>
  /** Reads the output file line by line and compares each result with the expected text. */
  readResults: (fileId: string, expected: ReadonlyMap<string, string> | ((customId: string) => string | undefined), expectedCount: number) => Promise<ResultCheck>
}

/** Final states of a batch. */
const FINAL_STATES = new Set(['completed', 'failed', 'cancelled', 'expired'])
const DEFAULT_POLL_MS = 250
const BOUNDARY = 'anvilarch-bench-boundary'
/** Lines written to the socket at a time; writing them one by one would cost a system call each. */
const LINES_PER_WRITE = 500

/**
 * @param options - clock, connections and address of the gateway
 * @returns a client whose calls reject with the status and body of an error response
 */
export function createJobClient (options: JobClientOptions): JobClient {
  const endpoint = options.endpoint ?? '/v1/chat/completions'
  const call = async (method: 'GET' | 'POST', path: string, headers: Record<string, string>, body?: string | Readable): Promise<Dispatcher.ResponseData> => {
    const response = await options.dispatcher.request({ origin: options.origin, path, method, headers: { ...options.headers, ...headers }, body })
    if (response.statusCode < 400) return response
    throw new Error(`${method} ${path}: ${response.statusCode} ${(await response.body.text()).slice(0, 300)}`)
  }
  const callJson = async <Body>(method: 'GET' | 'POST', path: string, body?: object, headers: Record<string, string> = {}): Promise<Body> => {
    const text = body === undefined ? undefined : JSON.stringify(body)
    const response = await call(method, path, { 'content-type': 'application/json', ...headers }, text)
    return await response.body.json() as Body
  }
  const get = (jobId: string): Promise<BatchView> => callJson('GET', `/v1/batches/${jobId}`)

  return {
    upload: async items => {
      const headers = { 'content-type': `multipart/form-data; boundary=${BOUNDARY}` }
      const response = await call('POST', '/v1/files', headers, Readable.from(multipart(items, endpoint), { objectMode: false }))
      return (await response.body.json() as { id: string }).id
    },
    create: (fileId, idempotencyKey) => callJson(
      'POST',
      '/v1/batches',
      { input_file_id: fileId, endpoint, completion_window: '24h' },
      idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }
    ),
    get,
    cancel: jobId => callJson('POST', `/v1/batches/${jobId}/cancel`),
    waitForEnd: async (jobId, { timeoutMs, pollMs = DEFAULT_POLL_MS, signal }) => {
      const deadlineMs = options.clock.nowMs() + timeoutMs
      let view = await get(jobId)
      while (!FINAL_STATES.has(view.status) && options.clock.nowMs() < deadlineMs && signal?.aborted !== true) {
        await sleep(options.clock, pollMs, signal)
        view = await get(jobId)
      }
      return view
    },
    readResults: async (fileId, expected, expectedCount) => {
      const response = await call('GET', `/v1/files/${fileId}/content`, {})
      const expectedTextOf = typeof expected === 'function' ? expected : (customId: string) => expected.get(customId)
      return await checkResults(linesOf(response.body), expectedTextOf, expectedCount)
    }
  }
}

/**
 * @param lines - lines of an output file
 * @param expected - text of the correct result of an item; undefined for an item that was never sent
 * @param expectedCount - items of the job
 * @returns how many items have the correct text, and how many are wrong, duplicated or missing
 */
export async function checkResults (lines: AsyncIterable<string> | Iterable<string>, expected: (customId: string) => string | undefined, expectedCount: number): Promise<ResultCheck> {
  const check: ResultCheck = { lines: 0, right: 0, wrong: 0, doubled: 0, missing: 0 }
  const seen = new Set<string>()
  for await (const line of lines) {
    const result = JSON.parse(line) as { custom_id: string, response?: { body?: { choices?: Array<{ message?: { content?: string } }> } } }
    check.lines++
    if (seen.has(result.custom_id)) {
      check.doubled++
      continue
    }
    seen.add(result.custom_id)
    const text = result.response?.body?.choices?.[0]?.message?.content
    if (text !== undefined && text === expected(result.custom_id)) check.right++
    else check.wrong++
  }
  check.missing = Math.max(0, expectedCount - seen.size)
  return check
}

function * multipart (items: Iterable<JobItem>, endpoint: string): Generator<Buffer> {
  yield Buffer.from(`--${BOUNDARY}\r\ncontent-disposition: form-data; name="purpose"\r\n\r\nbatch\r\n`)
  yield Buffer.from(`--${BOUNDARY}\r\ncontent-disposition: form-data; name="file"; filename="items.jsonl"\r\ncontent-type: application/jsonl\r\n\r\n`)
  let lines: string[] = []
  for (const item of items) {
    lines.push(JSON.stringify({ custom_id: item.customId, method: 'POST', url: endpoint, body: item.body }) + '\n')
    if (lines.length < LINES_PER_WRITE) continue
    yield Buffer.from(lines.join(''))
    lines = []
  }
  if (lines.length > 0) yield Buffer.from(lines.join(''))
  yield Buffer.from(`\r\n--${BOUNDARY}--\r\n`)
}

async function * linesOf (body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder()
  let rest = ''
  for await (const chunk of body) {
    const lines = (rest + decoder.decode(chunk, { stream: true })).split('\n')
    rest = lines.pop() ?? ''
    for (const line of lines) if (line !== '') yield line
  }
  if (rest !== '') yield rest
}
