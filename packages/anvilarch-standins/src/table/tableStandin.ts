/** The stand-in of the platform's table service. */
import type { Commit, Row } from 'anvilarch-protocol'
import { type HandlerRequest, type HandlerResult, type StandinHandle, type StandinOptions, startStandinServer } from '../common/standinServer'
import { commitWrites, createTableState, readRows, scanRows, type TableState } from './tableState'

/** Counts of served requests, and the number of rows. */
export interface TableLedger {
  counts: TableState['counts']
  rowCount: number
}

/** A running table. */
export interface TableStandin extends StandinHandle<TableLedger> {
  /** @returns the rows whose keys start with the prefix */
  rows: (prefix?: string) => Row[]
}

/**
 * @param options - port, faults and clock
 * @returns the running stand-in
 */
export async function startTableStandin (options: StandinOptions = {}): Promise<TableStandin> {
  const state = createTableState()
  const server = await startStandinServer<TableLedger>({
    routes: [
      { method: 'POST', path: '/v1/read', handle: request => handleRead(state, request) },
      { method: 'POST', path: '/v1/scan', handle: request => handleScan(state, request) },
      { method: 'POST', path: '/v1/commit', handle: request => handleCommit(state, request) }
    ],
    ledger: () => ({ counts: { ...state.counts }, rowCount: state.rows.size })
  }, options)
  return { ...server, rows: (prefix = '') => [...state.rows.values()].filter(row => row.key.startsWith(prefix)) }
}

function handleRead (state: TableState, request: HandlerRequest): HandlerResult {
  const { keys } = parse<{ keys: string[] }>(request)
  if (!Array.isArray(keys)) return badRequest('"keys" must be a list of row keys')
  return { status: 200, body: { rows: readRows(state, keys) } }
}

function handleScan (state: TableState, request: HandlerRequest): HandlerResult {
  const { prefix, after, limit } = parse<{ prefix: string, after?: string, limit: number }>(request)
  if (typeof prefix !== 'string') return badRequest('"prefix" must be a text')
  if (!Number.isInteger(limit) || limit < 1) return badRequest('"limit" must be a whole number above 0')
  return { status: 200, body: scanRows(state, prefix, { after, limit }) }
}

function handleCommit (state: TableState, request: HandlerRequest): HandlerResult {
  const commit = parse<Commit>(request)
  if (typeof commit.commitId !== 'string' || commit.commitId === '') return badRequest('"commitId" must be a text')
  if (!Array.isArray(commit.conditions) || !Array.isArray(commit.writes)) return badRequest('"conditions" and "writes" must be lists')
  const invalidWrite = commit.writes.find(write => write.value !== null && typeof write.value !== 'string')
  if (invalidWrite !== undefined) return badRequest(`the value of "${invalidWrite.key}" must be a text or null`)
  return { status: 200, body: commitWrites(state, commit) }
}

function parse<Body> (request: HandlerRequest): Body {
  return JSON.parse(request.body.toString()) as Body
}

function badRequest (message: string): HandlerResult {
  return { status: 400, body: { error: { message } } }
}
