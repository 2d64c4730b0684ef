/** The collector of execution records. It keeps running when the endpoints that report to it end. */
import { type HandlerRequest, type HandlerResult, type StandinHandle, type StandinOptions, startStandinServer } from '../common/standinServer'
import { createExecutionLog, type Execution, type ExecutionLog } from './executions'

/** All executions of the fleet's endpoints. */
export interface CollectedLedger {
  executions: Execution[]
}

/** A running collector. */
export type LedgerStandin = StandinHandle<CollectedLedger>

/**
 * @param options - port, faults and clock
 * @returns the running collector; `GET /ledger?request=ID` returns the executions of one request
 */
export async function startLedgerStandin (options: StandinOptions = {}): Promise<LedgerStandin> {
  const log = createExecutionLog()
  return await startStandinServer<CollectedLedger>({
    routes: [{ method: 'POST', path: '/executions', handle: request => recordExecutions(log, request) }],
    ledger: query => ({ executions: log.list(query?.get('request') ?? undefined) })
  }, options)
}

function recordExecutions (log: ExecutionLog, request: HandlerRequest): HandlerResult {
  const { executions } = JSON.parse(request.body.toString()) as { executions: Execution[] }
  for (const execution of executions) log.start(execution)
  return { status: 200, body: {} }
}
