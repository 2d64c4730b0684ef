/** Handles the requests of an engine: completions, and the resumption and cancellation of streams. */
import { randomUUID } from 'node:crypto'
import { type Clock } from 'anvilarch-utils'
import { containsText, type HandlerRequest, type HandlerResult, type StandinServer } from '../common/standinServer'
import { type Execution, type ExecutionLog } from '../ledger/executions'
import { type LedgerReporter } from '../ledger/ledgerReporter'
import { type CompletionKind, completionText, type EngineRequestBody, planCompletion } from './completionPlan'
import { type EngineLoop } from './engineLoop'
import { type ModelRegistry, type RecordedOrder } from './models'
import { type EngineReports } from './reports'
import { createEventWriter, completionBody } from './sseEvents'
import { attachReader, endStream, type EngineStream, flushReaders, type StreamRegistry } from './streams'
import { type EngineOptions, type StepResult } from './types'
import { findProblem } from './validateRequest'

/** The executions of the engine, and the orders that it received. */
export interface EngineLedger {
  executions: Execution[]
  orders: RecordedOrder[]
}

/** The components of one engine. */
export interface EngineState {
  name: string
  incarnation: string
  clock: Clock
  options: EngineOptions
  loop: EngineLoop
  streams: StreamRegistry
  models: ModelRegistry
  reports: EngineReports
  log: ExecutionLog
  reporter: LedgerReporter
}

const EVENT_STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' }

/**
 * Runs a completion. The execution is recorded before it starts.
 *
 * @param state - the engine
 * @param server - the server, for its faults and to crash it
 * @param kind - kind of completion
 * @param request - the request
 * @returns the complete response, or a stream of it
 */
export async function complete (state: EngineState, server: StandinServer<EngineLedger>, kind: CompletionKind, request: HandlerRequest): Promise<HandlerResult> {
  const body = JSON.parse(request.body.toString()) as EngineRequestBody
  const problem = findProblem(kind, body)
  if (problem !== undefined) return errorResult(400, problem, 'invalid_request_error')
  if (!state.models.serves(body.model)) return errorResult(404, `the model ${JSON.stringify(body.model)} is not loaded`, 'model_not_found')
  const attemptId = String(request.headers['x-attempt-id'] ?? randomUUID())
  if (state.streams.get(attemptId) !== undefined) return errorResult(409, `attempt "${attemptId}" is known already; resume it instead`, 'attempt_exists')
  const plan = planCompletion(kind, body, state.options.blockTokens)
  const continuedTokens = body.continuation?.tokens ?? 0
  if (continuedTokens > plan.totalTokens || (continuedTokens > 0 && body.continuation?.text !== completionText(plan, continuedTokens))) {
    return errorResult(400, 'the text of "continuation" is not the start of this answer', 'bad_continuation')
  }
  const stream = createStream(state, request, attemptId, body, plan, continuedTokens)
  stream.crashesEngine = containsText(request, server.faults.get().crashOn)
  state.streams.add(stream)
  await recordStart(state, stream)
  submit(state, stream)
  if (body.stream === true) {
    return { status: 200, headers: EVENT_STREAM_HEADERS, stream: response => { attachReader(stream, response, continuedTokens) } }
  }
  if (stream.state === 'running') await new Promise<void>(resolve => { stream.onEnd.push(resolve) })
  return stream.state === 'completed' ? { status: 200, body: completionBody(stream.source) } : errorResult(409, 'the attempt was cancelled', 'cancelled')
}

function createStream (state: EngineState, request: HandlerRequest, attemptId: string, body: EngineRequestBody, plan: ReturnType<typeof planCompletion>, continuedTokens: number): EngineStream {
  const requestId = String(request.headers['x-request-id'] ?? attemptId)
  const source = {
    completionId: `${plan.kind === 'chat' ? 'chatcmpl' : 'cmpl'}-${requestId}`,
    createdSeconds: Math.floor(state.clock.wallMs() / 1000),
    model: body.model ?? '',
    plan,
    includeUsage: body.stream_options?.include_usage === true,
    cachedTokens: 0
  }
  return {
    attemptId,
    requestId,
    executionId: randomUUID(),
    source,
    writer: createEventWriter(source),
    producedTokens: continuedTokens,
    state: 'running',
    submitted: false,
    crashesEngine: false,
    endedMs: 0,
    readers: new Set(),
    onEnd: []
  }
}

async function recordStart (state: EngineState, stream: EngineStream): Promise<void> {
  const execution: Execution = {
    executionId: stream.executionId,
    requestId: stream.requestId,
    attemptId: stream.attemptId,
    startedAtMs: state.clock.wallMs(),
    state: 'running',
    endpoint: state.name,
    incarnation: state.incarnation
  }
  state.log.start(execution)
  await state.reporter.report(execution)
}

function recordState (state: EngineState, stream: EngineStream): void {
  const execution = state.log.end(stream.executionId, stream.state, state.clock.wallMs())
  // Unlike the start, the end is not waited for: if its record is lost, the execution is only still listed as running.
  if (execution !== undefined) state.reporter.report(execution).catch(() => {})
}

/** Submits a stream to the scheduler, unless it was cancelled in the meantime or has no tokens left to produce. */
function submit (state: EngineState, stream: EngineStream): void {
  if (stream.state !== 'running' || stream.submitted) return
  const { plan } = stream.source
  if (stream.producedTokens >= plan.totalTokens) {
    finish(state, stream, 'completed')
    return
  }
  stream.submitted = true
  state.loop.submit({ id: stream.attemptId, promptTokens: plan.promptTokens, blocks: plan.blocks, producedTokens: stream.producedTokens, totalTokens: plan.totalTokens })
  state.reports.recordLoad(state.clock.nowMs(), state.loop.load())
}

function finish (state: EngineState, stream: EngineStream, outcome: 'completed' | 'cancelled'): void {
  endStream(stream, outcome, state.clock.nowMs())
  recordState(state, stream)
}

/** Applies the tokens of one step to their streams. A stream that crashes the engine does so at its first token: by then it runs. */
export function applyStep (state: EngineState, server: StandinServer<EngineLedger>, result: StepResult): void {
  for (const { id, producedTokens } of result.produced) {
    const stream = state.streams.get(id)
    if (stream === undefined) continue
    if (stream.crashesEngine) {
      state.loop.stop()
      server.crash()
      return
    }
    if (stream.source.cachedTokens === 0) stream.source.cachedTokens = state.loop.cachedPromptTokens(id)
    stream.producedTokens = producedTokens
    if (producedTokens >= stream.source.plan.totalTokens) finish(state, stream, 'completed')
    else flushReaders(stream)
  }
  const nowMs = state.clock.nowMs()
  state.reports.recordLoad(nowMs, state.loop.load())
  state.streams.removeExpired(nowMs)
}

/** Attaches the connection to a stream, and submits a cancelled stream to the scheduler again. */
export function resume (state: EngineState, request: HandlerRequest): HandlerResult {
  const stream = state.streams.get(request.params.attemptId ?? '')
  if (stream === undefined) return errorResult(404, 'no such stream', 'unknown_stream')
  const { offsetTokens = 0 } = JSON.parse(request.body.toString() || '{}') as { offsetTokens?: number }
  if (!Number.isInteger(offsetTokens) || offsetTokens < 0 || offsetTokens > stream.source.plan.totalTokens) {
    return errorResult(400, `"offsetTokens" is ${JSON.stringify(offsetTokens)}; the answer has ${stream.source.plan.totalTokens} tokens`, 'invalid_request_error')
  }
  if (stream.state === 'cancelled') {
    stream.state = 'running'
    recordState(state, stream)
    submit(state, stream)
  }
  return { status: 200, headers: EVENT_STREAM_HEADERS, stream: response => { attachReader(stream, response, offsetTokens) } }
}

/** Cancels a stream and frees its slot; its state is kept for the retention period. */
export function cancel (state: EngineState, request: HandlerRequest): HandlerResult {
  const stream = state.streams.get(request.params.attemptId ?? '')
  if (stream === undefined) return errorResult(404, 'no such stream', 'unknown_stream')
  if (stream.state === 'running') {
    state.loop.remove(stream.attemptId)
    finish(state, stream, 'cancelled')
  }
  return { status: 200, body: { state: stream.state, tokens: stream.producedTokens } }
}

/** @returns the cache events that are old enough to be published */
export function cacheEvents (state: EngineState, server: StandinServer<EngineLedger>, request: HandlerRequest): HandlerResult {
  const after = Number(request.query.get('after') ?? 0)
  const lagMs = state.options.cacheEventLagMs + server.faults.get().lagMs
  return { status: 200, body: state.reports.cacheEvents(state.clock.nowMs(), lagMs, after) }
}

function errorResult (status: number, message: string, code: string): HandlerResult {
  return { status, body: { error: { message, type: 'invalid_request_error', code } } }
}
