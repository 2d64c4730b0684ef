/**
 * State of one agent on a gateway, and its transitions on each event. Pure: times are passed in.
 *
 * The host list lags, and an agent may be replaced by another one at the same address, so neither source is sufficient: the
 * list provides the address, the agent describes itself, and failures observed by attempts apply until the next response to
 * an exchange.
 */
import type { EndpointLoad, EndpointState, ExchangeResponse, HostEntry } from 'anvilarch-protocol'
import type { AgentView } from './types'

/** State of an agent in the host list; `absent` if it is not listed. */
export type Listed = HostEntry['state'] | 'absent'

/** State of one agent. */
export interface MemberRecord {
  /** Known from the host list; most of `view` is unknown until the first response. */
  address: string
  listed: Listed
  /** Time at which it was last on the host list. */
  lastListedMs: number
  /** The agent's description of itself. `state` is recomputed at each change. */
  view: AgentView
  /** Whether the agent has responded to an exchange since it was last found unreachable or replaced. */
  isResponsive: boolean
  /** Whether the agent reported that it is draining. An incarnation never stops draining. */
  isDraining: boolean
  /** Consecutive failed exchanges. */
  consecutiveFailures: number
  /** Time at which the last exchange was sent, and whether it is in progress. */
  exchangeSentMs: number
  isExchangePending: boolean
  /** Time of the last response to an exchange. */
  lastResponseMs: number
  /** Time at which an attempt response showed another incarnation than the last exchange. */
  incarnationChangedMs: number
  /** Time at which an attempt found an endpoint down, by endpoint name. */
  downMs: ReadonlyMap<string, number>
  /** Time since which an endpoint has been not ready or loading a model. */
  changingSinceMs: number | undefined
  /** Time at which the last order was sent to it. */
  lastOrderMs: number
  /** Sequence up to which the quarantined fingerprints were sent to this incarnation. */
  quarantineSequence: number
}

/** An agent counts as unreachable after this many consecutive exchanges without a response. */
export const MAX_CONSECUTIVE_FAILURES = 2

/**
 * @param entry - entry of the host list
 * @param nowMs - time at which the list was read
 * @returns record of an agent before the first exchange
 */
export function newMember (entry: HostEntry, nowMs: number): MemberRecord {
  const view: AgentView = {
    name: '',
    host: entry.host,
    address: entry.address,
    operationsAddress: '',
    incarnation: '',
    failureDomain: entry.failureDomain,
    region: entry.region,
    state: 'unreachable',
    configurationVersion: 0,
    lastHeardMs: Number.NEGATIVE_INFINITY,
    endpoints: []
  }
  return {
    address: entry.address,
    listed: entry.state,
    lastListedMs: nowMs,
    view,
    isResponsive: false,
    isDraining: false,
    consecutiveFailures: 0,
    exchangeSentMs: Number.NEGATIVE_INFINITY,
    isExchangePending: false,
    lastResponseMs: Number.NEGATIVE_INFINITY,
    incarnationChangedMs: Number.NEGATIVE_INFINITY,
    downMs: new Map(),
    changingSinceMs: undefined,
    lastOrderMs: Number.NEGATIVE_INFINITY,
    quarantineSequence: 0
  }
}

/**
 * @param record - previous record
 * @param listed - current state in the host list
 * @param nowMs - time at which the list was read
 * @returns updated record
 */
export function afterHostList (record: MemberRecord, listed: Listed, nowMs: number): MemberRecord {
  return withState({ ...record, listed, lastListedMs: listed === 'absent' ? record.lastListedMs : nowMs })
}

/**
 * @param record - previous record
 * @param nowMs - time at which the exchange was sent
 * @returns record with an exchange in progress
 */
export function afterExchangeSent (record: MemberRecord, nowMs: number): MemberRecord {
  return { ...record, exchangeSentMs: nowMs, isExchangePending: true }
}

/**
 * Applies the response to an exchange. It may be older than a failure observed by an attempt. Such a response does not
 * restore a replaced incarnation or an endpoint that is down; the next exchange decides.
 *
 * @param record - previous record; its `exchangeSentMs` is that of the exchange
 * @param response - the agent's description of itself
 * @param nowMs - time of the response
 * @returns updated record
 */
export function afterExchangeResponse (record: MemberRecord, response: ExchangeResponse, nowMs: number): MemberRecord {
  const completed = { ...record, isExchangePending: false, consecutiveFailures: 0 }
  const outdated = record.incarnationChangedMs >= record.exchangeSentMs && response.agentIncarnation !== record.view.incarnation
  if (outdated) return completed
  const sameIncarnation = response.agentIncarnation === record.view.incarnation
  const downMs = downSinceExchange(record, sameIncarnation)
  return withState(withChange({
    ...completed,
    isResponsive: true,
    lastResponseMs: nowMs,
    isDraining: (sameIncarnation && record.isDraining) || response.state === 'draining',
    downMs,
    quarantineSequence: sameIncarnation ? record.quarantineSequence : 0,
    view: { ...record.view, ...describedView(response), lastHeardMs: nowMs, endpoints: withDown(response.endpoints, downMs) }
  }, nowMs))
}

/**
 * @param record - record of the agent
 * @returns whether an endpoint is not ready or is loading a model, so that requests or orders may be waiting for it
 */
export function isChanging (record: MemberRecord): boolean {
  return record.view.endpoints.some(endpoint => endpoint.health !== 'ready' || endpoint.models.some(model => model.state === 'loading'))
}

function withChange (record: MemberRecord, nowMs: number): MemberRecord {
  return { ...record, changingSinceMs: isChanging(record) ? record.changingSinceMs ?? nowMs : undefined }
}

function describedView (response: ExchangeResponse): Partial<AgentView> {
  return {
    name: response.agent,
    host: response.host,
    operationsAddress: response.operationsAddress,
    incarnation: response.agentIncarnation,
    failureDomain: response.failureDomain,
    region: response.region,
    configurationVersion: Number(response.configurationVersion)
  }
}

/** Endpoints found down after the exchange was sent. */
function downSinceExchange (record: MemberRecord, sameIncarnation: boolean): Map<string, number> {
  if (!sameIncarnation) return new Map()
  return new Map([...record.downMs].filter(([, downAtMs]) => downAtMs >= record.exchangeSentMs))
}

function withDown (endpoints: EndpointState[], downMs: ReadonlyMap<string, number>): EndpointState[] {
  return endpoints.map(endpoint => downMs.has(endpoint.endpoint) ? { ...endpoint, health: 'crashed' } : endpoint)
}

/**
 * @param record - previous record
 * @returns record after a failed exchange
 */
export function afterExchangeFailure (record: MemberRecord): MemberRecord {
  const consecutiveFailures = record.consecutiveFailures + 1
  return withState({ ...record, isExchangePending: false, consecutiveFailures, isResponsive: record.isResponsive && consecutiveFailures < MAX_CONSECUTIVE_FAILURES })
}

/**
 * @param record - previous record
 * @returns record after an attempt could not reach the agent; it is unreachable until the next successful exchange
 */
export function afterUnreachable (record: MemberRecord): MemberRecord {
  return withState({ ...record, isResponsive: false })
}

/**
 * @param record - previous record
 * @returns record after the agent rejected work because it is draining
 */
export function afterDraining (record: MemberRecord): MemberRecord {
  return withState({ ...record, isDraining: true })
}

/**
 * @param record - previous record
 * @param incarnation - incarnation in a response to an attempt
 * @param nowMs - time of the response
 * @returns updated record; a new incarnation gets no work until an exchange has reported its endpoints
 */
export function afterIncarnation (record: MemberRecord, incarnation: string, nowMs: number): MemberRecord {
  if (incarnation === record.view.incarnation) return record
  const view = { ...record.view, incarnation, endpoints: [] }
  return withState({ ...record, view, isResponsive: false, isDraining: false, incarnationChangedMs: nowMs, downMs: new Map(), quarantineSequence: 0 })
}

/**
 * @param record - previous record
 * @param endpoint - name of the failed endpoint
 * @param nowMs - time of the failure
 * @returns record with the endpoint out of use until a later exchange reports it as ready
 */
export function afterEndpointDown (record: MemberRecord, endpoint: string, nowMs: number): MemberRecord {
  const downMs = new Map(record.downMs).set(endpoint, nowMs)
  return withChange({ ...record, downMs, view: { ...record.view, endpoints: withDown(record.view.endpoints, downMs) } }, nowMs)
}

/**
 * Applies a load report in place. Every frame of every response contains one, so copying the record for each would cost a busy
 * gateway more than routing does, and no decision compares a load with an earlier one.
 *
 * @param record - modified in place
 * @param load - load report of a response
 * @param nowMs - time of the response
 */
export function updateLoad (record: MemberRecord, load: EndpointLoad, nowMs: number): void {
  const { view } = record
  view.lastHeardMs = nowMs
  const endpoint = view.endpoints.find(found => found.endpoint === load.endpoint)
  if (endpoint !== undefined) endpoint.load = load
}

/**
 * @param record - previous record
 * @param nowMs - time at which an order was sent to the agent
 * @returns updated record; the next exchange is due soon
 */
export function afterOrderSent (record: MemberRecord, nowMs: number): MemberRecord {
  return { ...record, lastOrderMs: nowMs }
}

function withState (record: MemberRecord): MemberRecord {
  const state = stateOf(record)
  return state === record.view.state ? record : { ...record, view: { ...record.view, state } }
}

function stateOf (record: MemberRecord): AgentView['state'] {
  if (!record.isResponsive) return 'unreachable'
  return record.isDraining || record.listed === 'leaving' ? 'draining' : 'serving'
}
