/** The stand-in of a plain service: responds to any method and path, and records its executions. */
import { randomUUID } from 'node:crypto'
import { type Clock, createSystemClock, sleep } from 'anvilarch-utils'
import { containsText, type HandlerRequest, type HandlerResult, type StandinHandle, type StandinOptions, type StandinServer, startStandinServer } from '../common/standinServer'
import { hashText, wordAt } from '../common/text'
import { createExecutionLog, type Execution, type ExecutionLog } from '../ledger/executions'
import { createLedgerReporter, type LedgerReporter } from '../ledger/ledgerReporter'

/** The executions of the service. */
export interface PlainLedger {
  executions: Execution[]
}

/** Options of a plain service. */
export interface PlainStandinOptions extends StandinOptions {
  /** Name under which it reports to the collector. */
  name?: string
  /** Duration of one call. */
  serviceMs?: number
  /** Address of the ledger collector. */
  ledgerUrl?: string
}

/** A running plain service. */
export type PlainStandin = StandinHandle<PlainLedger>

/** Corresponds to an in-memory lookup behind a small HTTP server. */
export const DEFAULT_SERVICE_MS = 2

/** Words in the `answer` of one response. */
const ANSWER_WORDS = 6

interface PlainState {
  name: string
  incarnation: string
  serviceMs: number
  clock: Clock
  log: ExecutionLog
  reporter: LedgerReporter
}

/**
 * @param options - name, service time, port, faults and clock
 * @returns the running stand-in
 */
export async function startPlainStandin (options: PlainStandinOptions = {}): Promise<PlainStandin> {
  const clock = options.clock ?? createSystemClock()
  const state: PlainState = {
    name: options.name ?? 'plain',
    incarnation: randomUUID(),
    serviceMs: options.serviceMs ?? DEFAULT_SERVICE_MS,
    clock,
    log: createExecutionLog(),
    reporter: createLedgerReporter(options.ledgerUrl, clock)
  }
  const server: StandinServer<PlainLedger> = await startStandinServer<PlainLedger>({
    crashesInHandler: true,
    routes: [
      { method: 'GET', path: '/health', handle: () => ({ status: 200, body: { status: 'ok' } }) },
      { method: 'ANY', path: '/*', handle: request => run(state, server, request) }
    ],
    ledger: query => ({ executions: state.log.list(query?.get('request') ?? undefined) })
  }, options)
  return server
}

async function run (state: PlainState, server: StandinServer<PlainLedger>, request: HandlerRequest): Promise<HandlerResult> {
  const requestId = String(request.headers['x-request-id'] ?? randomUUID())
  const attemptId = String(request.headers['x-attempt-id'] ?? randomUUID())
  const executionId = randomUUID()
  const execution: Execution = { executionId, requestId, attemptId, startedAtMs: state.clock.wallMs(), state: 'running', endpoint: state.name, incarnation: state.incarnation }
  await state.reporter.report(execution)
  state.log.start(execution)
  if (state.serviceMs > 0) await sleep(state.clock, state.serviceMs)
  if (containsText(request, server.faults.get().crashOn)) {
    server.crash()
    return { status: 500 }
  }
  const ended = state.log.end(executionId, 'completed', state.clock.wallMs())
  if (ended !== undefined) await state.reporter.report(ended)
  return {
    status: 200,
    body: { path: request.path, requestId, answer: expectedPlainAnswer(request.method, request.path, request.body.toString()) }
  }
}

/**
 * @param method - method of the call
 * @param path - path without query, as received by the service
 * @param body - body of the call
 * @returns the text in the field `answer` of the response
 */
export function expectedPlainAnswer (method: string, path: string, body: string): string {
  const hash = hashText(`${method} ${path}\n${body}`)
  return Array.from({ length: ANSWER_WORDS }, (_, index) => wordAt(hash, index)).join('')
}
