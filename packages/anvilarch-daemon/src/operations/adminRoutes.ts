/** Routes of the operator interface, served at the callers' address of each gateway. */
import { suggestNames } from 'anvilarch-configuration'
import { ROW_KEYS } from 'anvilarch-protocol'
import { AnvilarchError, toAnvilarchError } from 'anvilarch-utils'
import { parseVersionRow } from '../configuration/applyDecision'
import { type ApplyInput, type ApplyResult, applyConfiguration } from '../configuration/applyConfiguration'
import { parseJsonObject, readBody } from '../callers/http/readBody'
import type { CallerContext, Route } from '../callers/types'
import type { DaemonContext } from '../context'
import type { LeaseObserver } from '../leases/types'
import type { AgentDirectory, AgentView } from '../membership/types'
import { waitForPropagation } from '../membership/waitForPropagation'
import type { AgentClients } from '../peers/types'
import { sendView } from './adminHttp'
import { endpointViews, type GatewayView, gatewayViews, isInForce, serviceViews } from './adminViews'

/** Dependencies of the routes. */
export interface AdminParts {
  directory: AgentDirectory
  clients: AgentClients
  observer: LeaseObserver
  /** @returns this gateway for the status */
  describeSelf: () => GatewayView
}

const PREFIX = '/admin/v1'
/** Maximum body size of an operator's request: a document with 37,000 callers takes about 6 MB. */
const MAX_BODY_BYTES = 32 * 1024 * 1024
/** Maximum time to wait until a majority of the agents has a document before its acceptance is reported. */
const SPREAD_TIMEOUT_MS = 3000
const DRAIN_TIMEOUT_MS = 3000
/** Rows per page and maximum number of pages when counting jobs. */
const COUNT_PAGE_ROWS = 1000
const MAX_COUNT_PAGES = 10

/**
 * @param context - shared parts of the gateway
 * @param parts - dependencies of the routes
 * @returns the routes
 */
export function createAdminRoutes (context: DaemonContext, parts: AdminParts): Route[] {
  return [
    { method: 'GET', path: `${PREFIX}/configuration`, handle: async ({ response }) => { sendView(response, 200, await showConfiguration(context)) } },
    { method: 'POST', path: `${PREFIX}/configuration`, handle: async call => { await apply(context, parts, call) } },
    { method: 'GET', path: `${PREFIX}/status`, handle: async ({ response }) => { sendView(response, 200, await showStatus(context, parts)) } },
    { method: 'GET', path: `${PREFIX}/services`, handle: async ({ response }) => { sendView(response, 200, showServices(context, parts)) } },
    { method: 'GET', path: `${PREFIX}/endpoints`, handle: async ({ response }) => { sendView(response, 200, { endpoints: endpointViews(parts.directory.list()) }) } },
    { method: 'POST', path: `${PREFIX}/agents/:name/drain`, handle: async call => { await drain(parts, call) } }
  ]
}

async function showConfiguration (context: DaemonContext): Promise<unknown> {
  const current = context.configuration.current()
  if (current === undefined) {
    throw new AnvilarchError('No configuration is in force yet. Apply one with "anvilarch config apply FILE".', {
      code: 'not_found', step: 'configuration.show'
    })
  }
  const { version, hash, document } = current
  return { version, hash, document, ...await readOrigin(context, version) }
}

/** Reads who applied the configuration, which is stored only in the row. If the table is unavailable, the rest is still shown. */
async function readOrigin (context: DaemonContext, version: number): Promise<{ appliedBy: string, appliedAtMs: number } | undefined> {
  try {
    const [row] = await context.platform.table.read([ROW_KEYS.configurationVersion])
    const versionRow = parseVersionRow(row)
    return versionRow?.version === version ? { appliedBy: versionRow.appliedBy, appliedAtMs: versionRow.appliedAtMs } : undefined
  } catch {
    return undefined
  }
}

async function apply (context: DaemonContext, parts: AdminParts, call: CallerContext): Promise<void> {
  const input = parseApplyInput(parseJsonObject(await readBody(call, MAX_BODY_BYTES)), call.caller)
  const result = await applyConfiguration(context, input)
  if (result.outcome === 'applied') await waitForPropagation(parts.directory, result.version, context.clock, SPREAD_TIMEOUT_MS)
  const applyResponse = APPLY_RESPONSES[result.outcome](result as never)
  sendView(call.response, applyResponse.status, applyResponse.body)
}

/** Responses by outcome of applying a document. */
const APPLY_RESPONSES: { [Outcome in ApplyResult['outcome']]: (result: Extract<ApplyResult, { outcome: Outcome }>) => { status: number, body: unknown } } = {
  applied: ({ version, hash, changed }) => ({ status: 200, body: { version, hash, changed } }),
  conflict: ({ version }) => ({
    status: 409,
    body: {
      error: { message: `Version ${version} is in force; it was applied in the meantime.`, type: 'conflict', code: 'conflict', step: 'configuration.apply', ran: 'not_run' },
      version
    }
  }),
  not_valid: ({ issues }) => ({ status: 422, body: { issues } })
}

function parseApplyInput (body: Record<string, unknown>, caller: string): ApplyInput {
  const { documentText, fileName, ifVersion, appliedBy } = body
  if (typeof documentText !== 'string') throw badField('documentText', documentText, 'the text of a document')
  if (ifVersion !== undefined && !(Number.isInteger(ifVersion) && (ifVersion as number) >= 0)) throw badField('ifVersion', ifVersion, 'a whole number')
  return {
    documentText,
    fileName: typeof fileName === 'string' ? fileName : 'document',
    ifVersion: ifVersion as number | undefined,
    appliedBy: typeof appliedBy === 'string' && appliedBy !== '' ? appliedBy : caller
  }
}

function badField (field: string, found: unknown, expected: string): AnvilarchError {
  return new AnvilarchError(`Field "${field}" is ${JSON.stringify(found)}; expected ${expected}.`, { code: 'bad_request', step: 'configuration.apply' })
}

async function showStatus (context: DaemonContext, parts: AdminParts): Promise<unknown> {
  const own = parts.describeSelf()
  const agents = parts.directory.list()
  const gateways = gatewayViews(parts.observer.list(), own)
  const configurationVersion = context.configuration.version()
  return {
    gateway: own.instance,
    configurationVersion,
    inForce: isInForce(configurationVersion, gateways, agents),
    gateways,
    agents,
    jobs: { active: await countActiveJobs(context) }
  }
}

/** @returns the number of active jobs, or null if the table is unavailable */
async function countActiveJobs (context: DaemonContext): Promise<number | null> {
  let count = 0
  let after: string | undefined
  try {
    for (let page = 0; page < MAX_COUNT_PAGES; page++) {
      const found = await context.platform.table.scan(ROW_KEYS.activeJobs, { after, limit: COUNT_PAGE_ROWS })
      count += found.rows.length
      after = found.next
      if (after === undefined) break
    }
    return count
  } catch {
    return null
  }
}

function showServices (context: DaemonContext, parts: AdminParts): unknown {
  const current = context.configuration.current()
  return { services: current === undefined ? [] : serviceViews(current.document, parts.directory.list()) }
}

async function drain (parts: AdminParts, call: CallerContext): Promise<void> {
  const agent = findAgent(parts.directory, call.params.name)
  try {
    const { running } = await parts.clients.get(agent.address, 'control').drain({ reason: `asked by ${call.caller}` }, { timeoutMs: DRAIN_TIMEOUT_MS })
    parts.directory.noteDraining(agent.name)
    sendView(call.response, 200, { agent: agent.name, running })
  } catch (error) {
    throw toAnvilarchError(error, { code: 'unavailable', step: 'membership.drain', peer: agent.name, ran: 'unknown', retryAfterMs: 1000 })
  }
}

function findAgent (directory: AgentDirectory, name: string): AgentView {
  const agent = directory.get(name)
  if (agent !== undefined) return agent
  const close = suggestNames(name, directory.list().map(view => view.name))
  const hint = close.length === 0 ? '' : ` Did you mean "${close.join('" or "')}"?`
  throw new AnvilarchError(`No agent "${name}" is known here.${hint}`, { code: 'not_found', step: 'membership.drain' })
}
