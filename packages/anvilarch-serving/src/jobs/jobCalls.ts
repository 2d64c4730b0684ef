/** Handles the calls by which clients submit, read and end jobs. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { sleep } from 'anvilarch-utils'
import findMyWay from 'find-my-way'
import { accountNameOf, type Caller } from '../accounts/types'
import type { RequestMetadata, Route } from '../model/types'
import type { DrainState } from '../drain/drainState'
import { returnAtTurnMs } from '../requests/callerReturn'
import { sendBytes, sendJson, sendGatewayResponse } from '../requests/clientResponse'
import type { JobWire } from '../roles/types'
import type { ServingMetrics } from '../telemetry/metrics'
import { STORE_PROBE_INTERVAL_MS } from '../store/transport'
import { acceptJob, type Submission } from './acceptJob'
import { endJob, isClosed } from './jobRecord'
import { storedJobId } from './jobRows'
import { type ChangeOutcome, changeJob, type JobParts, readJob } from './jobStore'
import type { ResultReader } from './resultReader'
import type { JobRecord } from './types'

/** Dependencies of the job calls. */
export interface JobCallParts extends JobParts {
  metrics: ServingMetrics
  results: ResultReader
  wire: JobWire
  drainState: DrainState
  /** @returns a number in [0, 1) */
  random: () => number
}

/** A submission whose body has been read. */
export interface SubmitCall {
  request: IncomingMessage
  response: ServerResponse
  route: Route
  caller: Caller
  body: Buffer
  metadata: RequestMetadata
  arrivedAtMs: number
}

/** A call about a submitted job. */
interface NamedJobCall {
  request: IncomingMessage
  response: ServerResponse
  named: NamedJob
  query: Record<string, string>
}

type JobHandler = (call: NamedJobCall) => Promise<void>

/** The router only looks up the handler of a call, since it passes no more than request and response to its own handlers. */
const placeholderHandler = (): void => {}

/** Handles the calls about jobs. */
export interface JobCalls {
  /** @returns whether the request is a call about a submitted job */
  isJobCall: (request: IncomingMessage) => boolean
  handle: (request: IncomingMessage, response: ServerResponse, caller: Caller) => Promise<void>
  submit: (call: SubmitCall) => Promise<void>
}

/** Gateways that a client may try within its time, of which each has an equal part to accept a job: another one may reach the store. */
const SUBMIT_TRIES = 3

/** How long reading or ending a job is attempted: clients wait 1.5 s beyond the time that they allow for results, of which a part is for slow links. */
const CALL_TIMEOUT_MS = 1200

/** Longest duration of a job call while the store responds: its attempts, the wait for results, and the last call to the store. */
export const MAX_JOB_CALL_MS = 3000

/** Waiting tokens decrease item by item; when enough of them have ended is not known. */
const UNKNOWN_TURN_MS = Infinity

/** Longest wait of a read for results. */
const MAX_READ_WAIT_MS = 1000

/** Poll interval of a job while its client waits for a result; items end some seconds apart. */
const RESULT_POLL_MS = 350

const RETRY_PAUSE_MS = 120

/**
 * @param parts - store, results and wire
 * @returns handlers of the job calls
 */
export function createJobCalls (parts: JobCallParts): JobCalls {
  const router = findMyWay()
  const register = (method: 'GET' | 'DELETE', path: string, handler: JobHandler): void => router.on(method, path, placeholderHandler, handler)
  register('GET', parts.wire.resultsPath, async ({ request, response, named, query }) => {
    const position = Math.max(0, Number.parseInt(query[parts.wire.afterParameter] ?? '0', 10) || 0)
    await readResults(parts, request, response, named, position)
  })
  register('GET', parts.wire.itemPath, async ({ response, named, query }) => await readItem(parts, response, named, query[parts.wire.itemParameter] ?? ''))
  register('DELETE', parts.wire.resultsPath, async ({ response, named }) => await end(parts, response, named))

  const find = ({ method, url }: IncomingMessage): ReturnType<typeof router.find> => router.find(method as 'GET', url ?? '/')
  return {
    isJobCall: request => find(request) !== null,
    handle: async (request, response, caller) => {
      const found = find(request)
      if (found === null) return
      request.resume()
      const handler = found.store as JobHandler
      await handler({ request, response, named: { caller, clientJobId: found.params.id ?? '' }, query: found.searchParams })
    },
    submit: call => submit(parts, call)
  }
}

async function submit (parts: JobCallParts, call: SubmitCall): Promise<void> {
  const { response, metadata, route } = call
  const items = parts.wire.decodeSubmission(call.body)
  if (!Array.isArray(items)) {
    sendGatewayResponse(response, { status: 400, code: 'bad_job', message: items.problem }, parts.drainState)
    return
  }
  const submission: Submission = {
    jobId: storedJobId(call.caller, metadata.requestId),
    account: accountNameOf(call.caller),
    host: call.request.headers.host ?? '',
    path: call.request.url ?? '/',
    items
  }
  const timeoutMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs)
  const outcome = await acceptJob(parts, route, submission, call.arrivedAtMs + timeoutMs / SUBMIT_TRIES)
  const remainingMs = call.arrivedAtMs + timeoutMs - parts.clock.nowMs()
  parts.metrics.jobCalls.inc({ call: 'submit', outcome })
  parts.log.info('job submitted', { jobId: metadata.requestId, account: accountNameOf(call.caller), route: route.name, itemCount: items.length, outcome, elapsedMs: Math.round(parts.clock.nowMs() - call.arrivedAtMs) })
  switch (outcome) {
    case 'accepted':
      sendJson(response, 202, {}, parts.drainState)
      return
    case 'over_limit':
      sendGatewayResponse(response, { status: 429, code: 'over_limit', message: 'too many tokens wait on this route', retryAfterMs: returnAtTurnMs(remainingMs, UNKNOWN_TURN_MS, parts.random) }, parts.drainState)
      return
    case 'refused':
      sendGatewayResponse(response, { status: 503, code: 'store_unavailable', message: 'the job could not be stored and will not run', retryAfterMs: returnAtTurnMs(remainingMs, STORE_PROBE_INTERVAL_MS, parts.random) }, parts.drainState)
      return
    case 'unknown':
      sendGatewayResponse(response, { status: 504, code: 'outcome_unknown', message: 'the store has not said whether the job is stored' }, parts.drainState)
  }
}

async function readResults (parts: JobCallParts, request: IncomingMessage, response: ServerResponse, named: NamedJob, position: number): Promise<void> {
  const untilMs = parts.clock.nowMs() + CALL_TIMEOUT_MS
  const job = await findJob(parts, named, isClosed, untilMs)
  if (job === 'unavailable') {
    sendUnavailable(parts, response, 'read')
    return
  }
  if (job === undefined) {
    sendNotFound(parts, response, 'read')
    return
  }
  const waitMs = Math.min(MAX_READ_WAIT_MS, parts.wire.waitMs(request.headers))
  const current = await waitForResults(parts, job, position, waitMs, response)
  const page = await parts.results.page(current, position)
  if (page.err) {
    sendUnavailable(parts, response, 'read')
    return
  }
  parts.metrics.jobCalls.inc({ call: 'read', outcome: 'answered' })
  sendJson(response, 200, parts.wire.encodePage(page.val), parts.drainState)
}

/** A job as identified by a call. */
interface NamedJob {
  caller: Caller
  clientJobId: string
}

/**
 * Finds a job. A job submitted before callers needed keys is stored under the client's id alone and has no account: any caller
 * that has a key and sends this id may read and end it.
 */
async function findJob (parts: JobCallParts, { caller, clientJobId }: NamedJob, isSufficient: (job: JobRecord) => boolean, untilMs: number): Promise<JobRecord | undefined | 'unavailable'> {
  const own = await findStored(parts, storedJobId(caller, clientJobId), isSufficient, untilMs)
  if (own !== undefined || caller.caller === 'unchecked') return own
  const unowned = await findStored(parts, clientJobId, isSufficient, untilMs)
  return unowned === 'unavailable' || unowned?.account === undefined ? unowned : undefined
}

/** Reads the job from the store unless the local cache suffices: the cache may be older than what another gateway has sent the client. */
async function findStored (parts: JobCallParts, jobId: string, isSufficient: (job: JobRecord) => boolean, untilMs: number): Promise<JobRecord | undefined | 'unavailable'> {
  const known = parts.work.job(jobId)?.record
  if (known !== undefined && isSufficient(known)) return known
  for (;;) {
    const read = await readJob(parts, jobId)
    if (read.ok) return read.val?.record
    if (parts.clock.nowMs() > untilMs) return 'unavailable'
    await sleep(parts.clock, RETRY_PAUSE_MS)
  }
}

/** Polls the job while the client waits for a result. */
async function waitForResults (parts: JobCallParts, job: JobRecord, position: number, waitMs: number, response: ServerResponse): Promise<JobRecord> {
  const untilMs = parts.clock.nowMs() + waitMs
  const closed = new AbortController()
  response.on('close', () => closed.abort())
  let current = job
  for (;;) {
    if (current.listed.length > position || isClosed(current)) return current
    const pauseMs = Math.min(RESULT_POLL_MS, untilMs - parts.clock.nowMs())
    if (pauseMs <= 0 || closed.signal.aborted) return current
    await sleep(parts.clock, pauseMs, closed.signal)
    const read = await readJob(parts, job.jobId)
    if (read.ok && read.val !== undefined) current = read.val.record
  }
}

async function readItem (parts: JobCallParts, response: ServerResponse, named: NamedJob, itemId: string): Promise<void> {
  const untilMs = parts.clock.nowMs() + CALL_TIMEOUT_MS
  const job = await findJob(parts, named, known => !known.ended, untilMs)
  if (job === undefined || (job !== 'unavailable' && !job.itemIds.includes(itemId))) {
    sendNotFound(parts, response, 'item')
    return
  }
  const items = job === 'unavailable' ? undefined : await parts.results.items(job.jobId)
  const body = items?.ok === true ? items.val?.find(item => item.id === itemId)?.body : undefined
  if (body === undefined) {
    sendUnavailable(parts, response, 'item')
    return
  }
  parts.metrics.jobCalls.inc({ call: 'item', outcome: 'answered' })
  sendBytes(response, { status: 200, contentType: 'application/octet-stream', bytes: body }, parts.drainState)
}

async function end (parts: JobCallParts, response: ServerResponse, named: NamedJob): Promise<void> {
  const outcome = await endStored(parts, named, parts.clock.nowMs() + CALL_TIMEOUT_MS)
  parts.metrics.jobCalls.inc({ call: 'end', outcome })
  parts.log.info('job ended by its client', { jobId: named.clientJobId, account: accountNameOf(named.caller), outcome })
  if (outcome === 'applied' || outcome === 'not_applicable') sendJson(response, 200, {}, parts.drainState)
  else if (outcome === 'no_such_job') sendNotFound(parts, response, 'end')
  else sendUnavailable(parts, response, 'end')
}

/** Ends the caller's job, or a job without an account. */
async function endStored (parts: JobCallParts, { caller, clientJobId }: NamedJob, untilMs: number): Promise<ChangeOutcome> {
  const outcome = await changeJob(parts, storedJobId(caller, clientJobId), job => job.ended ? undefined : { next: endJob(job) }, untilMs)
  if (outcome !== 'no_such_job' || caller.caller === 'unchecked') return outcome
  const unowned = await findStored(parts, clientJobId, () => false, untilMs)
  if (unowned === 'unavailable') return 'refused'
  if (unowned === undefined || unowned.account !== undefined) return 'no_such_job'
  return await changeJob(parts, clientJobId, job => job.ended ? undefined : { next: endJob(job) }, untilMs)
}

function sendNotFound (parts: JobCallParts, response: ServerResponse, call: string): void {
  parts.metrics.jobCalls.inc({ call, outcome: 'not_found' })
  sendGatewayResponse(response, { status: 404, code: 'no_such_job', message: 'no such job or item' }, parts.drainState)
}

function sendUnavailable (parts: JobCallParts, response: ServerResponse, call: string): void {
  parts.metrics.jobCalls.inc({ call, outcome: 'unavailable' })
  sendGatewayResponse(response, { status: 503, code: 'store_unavailable', message: 'the store does not answer', retryAfterMs: STORE_PROBE_INTERVAL_MS }, parts.drainState)
}
