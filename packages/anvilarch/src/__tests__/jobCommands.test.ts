import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type FakeGateway, startFakeGateway } from '../__fixtures__/fakeGateway'
import { type CommandOutcome, createTestEnvironment, runCommand } from '../__fixtures__/runCommand'
import { createMultipartBody } from '../gateway/multipart'
import { downloadToFile } from '../jobs/downloadFile'
import { createSession } from '../session'

const ITEMS = ['a', 'b', 'c'].map(id => JSON.stringify({ custom_id: id, method: 'POST', url: '/v1/chat/completions', body: {} })).join('\n') + '\n'

let gateway: FakeGateway
let folder: string
let itemsFile: string

beforeEach(async () => {
  gateway = await startFakeGateway('')
  folder = mkdtempSync(join(tmpdir(), 'anvilarch-cli-'))
  itemsFile = join(folder, 'items.jsonl')
  writeFileSync(itemsFile, ITEMS)
})

afterEach(async () => {
  await gateway.close()
  rmSync(folder, { recursive: true })
})

const run = (...words: string[]): Promise<CommandOutcome> => runCommand([...words, '--gateway', gateway.url])
const keysSent = (): unknown[] => gateway.state.requests.filter(({ path }) => path === '/v1/batches').map(({ headers }) => headers['idempotency-key'])

describe('job submit', () => {
  it('uploads the file as multipart with its purpose and creates a job without a generated key', async () => {
    const outcome = await run('job', 'submit', itemsFile, '--json')
    expect(outcome.exitCode).toBe(0)
    expect(outcome.json()).toMatchObject({ job: { id: 'batch_0', endpoint: '/v1/chat/completions' }, tries: 1 })
    expect(outcome.json()).not.toHaveProperty('key')
    expect(keysSent()).toEqual([undefined])
    const upload = gateway.state.files.get('file-0')
    expect(upload).toContain('name="purpose"\r\n\r\nbatch\r\n')
    expect(upload).toContain(`filename="items.jsonl"\r\nContent-Type: application/jsonl\r\n\r\n${ITEMS}\r\n--`)
  })

  it('accepts a key and an endpoint', async () => {
    const outcome = await run('job', 'submit', itemsFile, '--key', 'night-1', '--endpoint', '/v1/completions', '--json')
    expect(outcome.json()).toMatchObject({ key: 'night-1', job: { endpoint: '/v1/completions' } })
    expect(keysSent()).toEqual(['night-1'])
  })

  // Guards against a second job for the same file, which would run each item twice.
  it.each([[undefined, []], ['night-1', ['--key', 'night-1']]])('retries if the response is lost, and gets the same job (key %s)', async (key, words) => {
    gateway.state.responsesToLose['/v1/batches'] = 2
    const outcome = await run('job', 'submit', itemsFile, '--json', ...words)
    expect(outcome.json()).toMatchObject({ job: { id: 'batch_0' }, tries: 3 })
    expect(keysSent()).toEqual(Array(3).fill(key))
    expect(gateway.state.jobs.size).toBe(1)
  })

  // Guards against a file that can't be run again after its job was cancelled by mistake.
  it.each([
    ['in_progress', 'batch_0'], ['completed', 'batch_0'], ['cancelled', 'batch_1'], ['expired', 'batch_1']
  ])('for a file whose job is %s, returns %s when it is submitted again', async (state, expected) => {
    await run('job', 'submit', itemsFile)
    gateway.state.jobStates = [state]
    await run('job', 'show', 'batch_0')
    expect((await run('job', 'submit', itemsFile, '--json')).json().job.id).toBe(expected)
  })

  // Guards against a second job after an error response with an unknown outcome.
  it('retries after an unknown outcome, and not before the time in Retry-After', async () => {
    const error = { message: 'The table did not answer.', code: 'outcome_unknown', step: 'jobs.create', ran: 'unknown' }
    gateway.state.errorResponses['/v1/batches'] = [{ status: 504, body: { error }, retryAfter: '4' }]
    const outcome = await run('job', 'submit', itemsFile)
    expect(outcome.exitCode).toBe(0)
    expect(outcome.waitedMs).toBe(4000)
    expect(outcome.stderr).toContain('Sending again in 4.0 s')
    expect(keysSent()).toEqual([undefined, undefined])
    expect(gateway.state.jobs.size).toBe(1)
  })

  // Guards against retries that come too early for a caller at its limit and are all refused.
  it('waits for a Retry-After above its own longest backoff, and stops retrying if it is too long', async () => {
    const error = { message: 'You have 20 active jobs.', code: 'rate_limited', step: 'jobs.accept', ran: 'not_run' }
    gateway.state.errorResponses['/v1/batches'] = [{ status: 429, body: { error }, retryAfter: '30' }, { status: 429, body: { error }, retryAfter: '61' }]
    const outcome = await run('job', 'submit', itemsFile)
    expect(outcome.exitCode).toBe(1)
    expect(outcome.waitedMs).toBe(30_000)
    expect(outcome.stderr).toMatch(/Given up after 2 tries\.[^]*come back: in 61.0 s\n {2}what to do: Wait as long as stated/)
  })

  it('does not retry after a permanent error', async () => {
    const error = { message: 'Line 2 is not JSON.', code: 'bad_request', step: 'jobs.upload', ran: 'not_run' }
    gateway.state.errorResponses['/v1/files'] = [{ status: 400, body: { error } }]
    const outcome = await run('job', 'submit', itemsFile)
    expect(outcome.exitCode).toBe(1)
    expect(outcome.stderr).toContain('error: Line 2 is not JSON.\n  where: jobs.upload')
    expect(gateway.state.requests).toHaveLength(1)
  })

  it('stops after the maximum number of attempts and tells that the same command may be run again', async () => {
    gateway.state.responsesToLose['/v1/batches'] = 100
    const outcome = await run('job', 'submit', itemsFile)
    expect(outcome.exitCode).toBe(5)
    expect(outcome.stderr).toMatch(/Given up after 7 tries\.[^]*ran: unknown[^]*Then run the same command again: the same file gives the same job/)
  })

  it('waits for the end of the job', async () => {
    gateway.state.jobStates = ['in_progress', 'finalizing', 'completed']
    const outcome = await run('job', 'submit', itemsFile, '--wait')
    expect(outcome.exitCode).toBe(0)
    expect(outcome.stdout).toContain('anvilarch job results batch_0 --output output.jsonl --errors errors.jsonl')
  })

  it('exits with 6 when the time limit is reached', async () => {
    expect((await run('job', 'submit', itemsFile, '--wait', '2')).exitCode).toBe(6)
  })

  it.each(['failed', 'expired', 'cancelled'])('exits with 1 if the job is %s', async state => {
    gateway.state.jobStates = [state]
    expect((await run('job', 'submit', itemsFile, '--wait')).exitCode).toBe(1)
  })

  it.each([
    ['cancelled', ['--key', 'night-1'], 'Key "night-1" belongs to job batch_0, which is cancelled. Give another --key'],
    ['completed', [], 'This file was submitted before as job batch_0, which is completed. Give a --key']
  ])('reports that an existing job is %s', async (state, words, expected) => {
    await run('job', 'submit', itemsFile, ...words)
    gateway.state.jobStates = [state]
    await run('job', 'show', 'batch_0')
    const outcome = await run('job', 'submit', itemsFile, ...words)
    expect(outcome.stderr).toContain(expected)
  })
})

describe('job show, list and cancel', () => {
  beforeEach(async () => { await run('job', 'submit', itemsFile) })

  it('shows a job', async () => {
    expect((await run('job', 'show', 'batch_0')).stdout).toContain('items     2 completed, 1 failed, 3 in all')
  })

  it('lists jobs', async () => {
    expect((await run('job', 'list')).stdout).toMatch(/batch_0 +in_progress +3\/3 +1/)
  })

  it.each(['0', '-3', '1.5'])('exits with 2 for a limit of %s', async limit => {
    expect((await run('job', 'list', `--limit=${limit}`)).exitCode).toBe(2)
  })

  it('cancels a job', async () => {
    expect((await run('job', 'cancel', 'batch_0', '--json')).json()).toMatchObject({ job: { status: 'cancelling' } })
  })

  it('exits with 1 for an unknown job', async () => {
    const outcome = await run('job', 'show', 'batch_9')
    expect(outcome.exitCode).toBe(1)
    expect(outcome.stderr).toContain('There is no such job.')
  })
})

describe('job results', () => {
  beforeEach(async () => { await run('job', 'submit', itemsFile) })

  it('fails while the job is in progress', async () => {
    const outcome = await run('job', 'results', 'batch_0')
    expect(outcome.exitCode).toBe(1)
    expect(outcome.stderr).toContain('anvilarch job show batch_0 --wait')
  })

  it('prints results and mentions items that failed', async () => {
    gateway.state.jobStates = ['completed']
    const outcome = await run('job', 'results', 'batch_0')
    expect(outcome.stdout).toBe('{"custom_id":"a"}\n{"custom_id":"b"}\n')
    expect(outcome.stderr).toContain('1 item failed')
  })

  it('writes both files', async () => {
    gateway.state.jobStates = ['completed']
    const [output, errors] = [join(folder, 'output.jsonl'), join(folder, 'errors.jsonl')]
    const outcome = await run('job', 'results', 'batch_0', '--output', output, '--errors', errors, '--json')
    expect(outcome.json()).toMatchObject({ output: { lines: 2 }, errors: { lines: 1 } })
    expect(readFileSync(output, 'utf8')).toBe('{"custom_id":"a"}\n{"custom_id":"b"}\n')
    expect(readFileSync(errors, 'utf8')).toBe('{"custom_id":"c"}\n')
    expect(existsSync(`${output}.part`)).toBe(false)
  })

  // Guards against a results file with fewer results than the job has.
  it('leaves no file behind if the connection is lost', async () => {
    gateway.state.jobStates = ['completed']
    const output = join(folder, 'output.jsonl')
    const session = createSession(createTestEnvironment(), { gateway: gateway.url, apiKey: undefined, json: false })
    gateway.state.isTruncated = true
    await expect(downloadToFile(session, 'batch_0-output', output)).rejects.toMatchObject({ exit: 'unreachable', step: 'jobs.results' })
    await session.gateway.close()
    expect([output, `${output}.part`].filter(existsSync)).toEqual([])
  })
})

describe('createMultipartBody', () => {
  // Guards against a job whose last item is half a line.
  it('fails if the file has changed since its size was read', async () => {
    const body = createMultipartBody(itemsFile, ITEMS.length - 1, {})
    await expect(body.open().resume().toArray()).rejects.toMatchObject({ code: 'incomplete', ran: 'not_run' })
  })
})
