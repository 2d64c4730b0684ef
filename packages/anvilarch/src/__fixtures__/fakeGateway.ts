/** In-memory gateway for tests: versioned configuration, files, jobs, and injected faults. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { hashDocument, validateDocument } from 'anvilarch-configuration'
import type { TimelineEvent } from 'anvilarch-protocol'
import type { BatchResponse, StatusResponse } from '../gateway/types'

/** A running fake gateway. */
export interface FakeGateway {
  url: string
  state: FakeState
  close: () => Promise<void>
}

/** State that a test sets and reads. */
export interface FakeState {
  version: number
  documentText: string
  /** Versions that the agents report, one for each status request; the last one is repeated. */
  agentVersions: number[]
  jobs: Map<string, BatchResponse>
  jobByKey: Map<string, string>
  files: Map<string, string>
  /** Number of requests, by path, that take effect and whose connection is then closed without a response. */
  responsesToLose: Record<string, number>
  /** Error responses to send first, by path. */
  errorResponses: Record<string, Array<{ status: number, body: object, retryAfter?: string }>>
  requests: Array<{ method: string, path: string, headers: IncomingMessage['headers'] }>
  /** Whether each response is cut off after its first byte. */
  isTruncated: boolean
  /** Whether connections are accepted but requests get no response. */
  isUnresponsive: boolean
  timeline: TimelineEvent[]
  /** Further agents. */
  otherAgents: Array<{ name: string, operationsAddress: string }>
  /** Successive states of a job, one for each request. */
  jobStates: string[]
}

type Handler = (context: { state: FakeState, body: Buffer, request: IncomingMessage, path: string, address: string }) => { status?: number, body: unknown }

const ITEM_LINES = 3
/** A job in one of these states is replaced when the same content is submitted again without a key. */
const REPLACEABLE_STATES = ['cancelled', 'expired']

const HANDLERS: Array<[RegExp, Handler]> = [
  [/^GET \/admin\/v1\/configuration$/, ({ state }) => {
    const document = validateDocument(state.documentText, 'document').unwrap()
    return { body: { version: state.version, hash: hashDocument(document), document, appliedBy: 'ana', appliedAtMs: 0 } }
  }],
  [/^POST \/admin\/v1\/configuration$/, ({ state, body }) => {
    const { documentText, ifVersion } = JSON.parse(body.toString())
    const validated = validateDocument(documentText, 'document')
    if (!validated.ok) return { status: 422, body: { issues: validated.val } }
    if (ifVersion !== undefined && ifVersion !== state.version) {
      const error = { message: `Version ${state.version} is in force, not ${String(ifVersion)}.`, code: 'conflict', step: 'configuration.apply', ran: 'not_run' }
      return { status: 409, body: { error, version: state.version } }
    }
    const hash = hashDocument(validated.val)
    const changed = state.version === 0 || hash !== hashDocument(validateDocument(state.documentText, 'document').unwrap())
    if (changed) state.version++
    state.documentText = documentText
    return { body: { version: state.version, hash, changed } }
  }],
  [/^GET \/admin\/v1\/status$/, ({ state, address }) => ({ body: statusOf(state, address) })],
  [/^GET \/admin\/v1\/services$/, () => ({ body: { services: [{ name: 'lookup', kind: 'plain', replicas: 2, ready: 1, classes: ['lookup'] }] } })],
  [/^GET \/admin\/v1\/endpoints$/, () => ({ body: { endpoints: [{ endpoint: 'engine-1', agent: 'agent-1', agentState: 'serving', kind: 'model', service: 'assistant', health: 'ready' }] } })],
  [/^POST \/admin\/v1\/agents\/agent-1\/drain$/, () => ({ body: { agent: 'agent-1', running: 2 } })],
  [/^POST \/v1\/files$/, ({ state, body }) => {
    const id = `file-${state.files.size}`
    state.files.set(id, body.toString())
    return { body: { id, bytes: body.length, filename: 'items.jsonl' } }
  }],
  [/^POST \/v1\/batches$/, ({ state, request, body }) => {
    const requested = JSON.parse(body.toString())
    const idempotencyKey = request.headers['idempotency-key']
    const key = idempotencyKey ?? `~content ${fileContent(state, requested.input_file_id)} ${requested.endpoint} ${requested.completion_window}`
    const existing = state.jobs.get(state.jobByKey.get(String(key)) ?? '')
    const isReplaceable = existing !== undefined && REPLACEABLE_STATES.includes(existing.status)
    if (existing !== undefined && !(isReplaceable && idempotencyKey === undefined)) return { body: existing }
    const job = newJob(state, `batch_${state.jobs.size}`, requested.endpoint)
    state.jobByKey.set(String(key), job.id)
    state.jobs.set(job.id, job)
    return { body: job }
  }],
  [/^GET \/v1\/batches\?/, ({ state }) => ({ body: { data: [...state.jobs.values()], has_more: false } })],
  [/^GET \/v1\/batches\//, ({ state, path }) => {
    const job = state.jobs.get(path.split('/')[3])
    if (job === undefined) return notFound('job')
    const next = state.jobStates.shift()
    if (next !== undefined) job.status = next
    return { body: job }
  }],
  [/^POST \/v1\/batches\/[^/]+\/cancel$/, ({ state, path }) => {
    const job = state.jobs.get(path.split('/')[3])
    if (job === undefined) return notFound('job')
    job.status = 'cancelling'
    return { body: job }
  }],
  [/^GET \/v1\/files\/[^/]+\/content$/, ({ state, path }) => ({ body: Buffer.from(state.files.get(path.split('/')[3]) ?? '') })],
  [/^GET \/timeline\?/, ({ state }) => ({ body: { process: 'gateway-1', events: state.timeline } })]
]

/** @returns a running gateway on a free port of the loopback address */
export async function startFakeGateway (documentText: string): Promise<FakeGateway> {
  const state: FakeState = {
    version: 1, documentText, agentVersions: [1], jobs: new Map(), jobByKey: new Map(), files: new Map(), responsesToLose: {}, errorResponses: {}, requests: [], isTruncated: false, isUnresponsive: false, timeline: [], otherAgents: [], jobStates: []
  }
  const server = createServer((request, response) => { handle(state, request, response).catch(() => response.destroy()) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    state,
    close: async () => {
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/** @returns a URL on which nothing listens: its port was just released */
export async function unusedUrl (): Promise<string> {
  const gateway = await startFakeGateway('')
  await gateway.close()
  return gateway.url
}

async function handle (state: FakeState, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  const { method = '', url: path = '' } = request
  state.requests.push({ method, path, headers: request.headers })
  if (state.isUnresponsive) return
  const refusal = state.errorResponses[path]?.shift()
  if (refusal !== undefined) {
    send(response, refusal.status, refusal.body, refusal.retryAfter)
    return
  }
  const handler = HANDLERS.find(([pattern]) => pattern.test(`${method} ${path}`))?.[1] ?? (() => notFound('page'))
  const result = handler({ state, body: Buffer.concat(chunks), request, path, address: request.headers.host ?? '' })
  if ((state.responsesToLose[path] ?? 0) > 0) {
    state.responsesToLose[path]--
    request.socket.destroy()
    return
  }
  if (state.isTruncated) {
    response.writeHead(200, { 'content-length': 1000 })
    response.write('{', () => request.socket.destroy())
    return
  }
  send(response, result.status ?? 200, result.body)
}

function send (response: ServerResponse, status: number, body: unknown, retryAfter?: string): void {
  response.writeHead(status, retryAfter === undefined ? {} : { 'retry-after': retryAfter })
  response.end(Buffer.isBuffer(body) ? body : JSON.stringify(body))
}

function statusOf (state: FakeState, address: string): StatusResponse {
  const agentVersion = state.agentVersions.length > 1 ? state.agentVersions.shift() as number : state.agentVersions[0]
  const agents = [{ name: 'agent-1', operationsAddress: '' }, ...state.otherAgents]
  return {
    gateway: 'gateway-1',
    configurationVersion: state.version,
    inForce: agentVersion >= state.version,
    gateways: [{ instance: 'gateway-1', address, operationsAddress: address, configurationVersion: state.version, state: 'serving' }],
    agents: agents.map(agent => ({
      ...agent, host: 'host-1', address, failureDomain: 'domain-a', region: 'local', state: 'serving', configurationVersion: agentVersion, endpoints: []
    })),
    jobs: { active: state.jobs.size }
  }
}

function newJob (state: FakeState, id: string, endpoint: string): BatchResponse {
  state.files.set(`${id}-output`, '{"custom_id":"a"}\n{"custom_id":"b"}\n')
  state.files.set(`${id}-error`, '{"custom_id":"c"}\n')
  return {
    id, status: 'in_progress', endpoint, input_file_id: 'file-0', output_file_id: `${id}-output`, error_file_id: `${id}-error`, created_at: 0, request_counts: { total: ITEM_LINES, completed: 2, failed: 1 }
  }
}

function notFound (what: string): { status: number, body: object } {
  return { status: 404, body: { error: { message: `There is no such ${what}.`, code: 'not_found', step: `${what}.find`, ran: 'not_run' } } }
}

/** @returns the content of the file in an uploaded multipart form */
function fileContent (state: FakeState, fileId: string): string {
  const upload = state.files.get(fileId) ?? ''
  return upload.slice(upload.lastIndexOf('\r\n\r\n'), upload.lastIndexOf('\r\n--'))
}
