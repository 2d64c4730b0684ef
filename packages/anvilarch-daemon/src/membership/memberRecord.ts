/**
 * What a gateway knows of one agent, and how each event changes it. Pure: times are passed in.
 *
 * The host list lags and the agent itself may be replaced at the same address, so neither is believed alone: the list
 * says where to ask, the agent says what it is, and what the attempts meet is believed until the agent answers anew.
 */
import type { EndpointLoad, EndpointState, ExchangeResponse, HostEntry } from 'anvilarch-protocol'
import type { AgentView } from './types'

/** What the host list says of an agent; `absent` when it does not name it. */
export type Listed = HostEntry['state'] | 'absent'

/** One agent. */
export interface MemberRecord {
  /** Known before the first answer; everything else of `view` is not. */
  address: string
  listed: Listed
  /** When the list named it last. */
  listedMs: number
  /** As the agent described itself. Its `state` is derived again at each change. */
  view: AgentView
  /** Whether the agent answered since it was last doubted. */
  answers: boolean
  /** The agent said that it drains. An incarnation never comes back from that. */
  drains: boolean
  /** Exchanges in a row without an answer. */
  misses: number
  /** When an exchange was last sent, and whether it is under way. */
  askedMs: number
  asking: boolean
  /** When an exchange was last answered. */
  exchangedMs: number
  /** When an incarnation was met that the last exchange did not show. */
  doubtedMs: number
  /** When endpoints were met that did not work, by name. */
  downMs: ReadonlyMap<string, number>
  /** Since when an endpoint has been about to come up or to have its model. */
  changingSinceMs: number | undefined
  /** When an order was last sent to it. */
  orderedMs: number
  /** Up to where the quarantined fingerprints were sent to this incarnation. */
  quarantineSequence: number
}

/** Exchanges in a row that may stay unanswered before an agent counts as unreachable. */
export const MISSES_ALLOWED = 2

/**
 * @param entry - of the host list
 * @param nowMs - when it was read
 * @returns a record of an agent that was not asked yet
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
    listedMs: nowMs,
    view,
    answers: false,
    drains: false,
    misses: 0,
    askedMs: Number.NEGATIVE_INFINITY,
    asking: false,
    exchangedMs: Number.NEGATIVE_INFINITY,
    doubtedMs: Number.NEGATIVE_INFINITY,
    downMs: new Map(),
    changingSinceMs: undefined,
    orderedMs: Number.NEGATIVE_INFINITY,
    quarantineSequence: 0
  }
}

/**
 * @param record - before
 * @param listed - what the list says now
 * @param nowMs - when it was read
 * @returns the record after the list was read
 */
export function afterListed (record: MemberRecord, listed: Listed, nowMs: number): MemberRecord {
  return withState({ ...record, listed, listedMs: listed === 'absent' ? record.listedMs : nowMs })
}

/**
 * @param record - before
 * @param nowMs - time of sending
 * @returns the record with an exchange under way
 */
export function afterAsked (record: MemberRecord, nowMs: number): MemberRecord {
  return { ...record, askedMs: nowMs, asking: true }
}

/**
 * An answer may be older than what an attempt has met since. Such an answer does not bring back an incarnation or an
 * endpoint that is known to be gone; the next exchange decides.
 *
 * @param record - before; its `askedMs` is that of the answered exchange
 * @param response - what the agent says of itself
 * @param nowMs - time of the answer
 * @returns the record after the answer
 */
export function afterAnswered (record: MemberRecord, response: ExchangeResponse, nowMs: number): MemberRecord {
  const settled = { ...record, asking: false, misses: 0 }
  const outdated = record.doubtedMs >= record.askedMs && response.agentIncarnation !== record.view.incarnation
  if (outdated) return settled
  const sameIncarnation = response.agentIncarnation === record.view.incarnation
  const downMs = stillDown(record, sameIncarnation)
  return withState(withChange({
    ...settled,
    answers: true,
    exchangedMs: nowMs,
    drains: (sameIncarnation && record.drains) || response.state === 'draining',
    downMs,
    quarantineSequence: sameIncarnation ? record.quarantineSequence : 0,
    view: { ...record.view, ...described(response), lastHeardMs: nowMs, endpoints: withDown(response.endpoints, downMs) }
  }, nowMs))
}

/**
 * @param record - an agent
 * @returns whether an endpoint is about to come up or to have its model, which requests or orders wait for
 */
export function isChanging (record: MemberRecord): boolean {
  return record.view.endpoints.some(endpoint => endpoint.health !== 'ready' || endpoint.models.some(model => model.state === 'loading'))
}

function withChange (record: MemberRecord, nowMs: number): MemberRecord {
  return { ...record, changingSinceMs: isChanging(record) ? record.changingSinceMs ?? nowMs : undefined }
}

function described (response: ExchangeResponse): Partial<AgentView> {
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

/** Endpoints met as down after the answered exchange was sent. */
function stillDown (record: MemberRecord, sameIncarnation: boolean): Map<string, number> {
  if (!sameIncarnation) return new Map()
  return new Map([...record.downMs].filter(([, metMs]) => metMs >= record.askedMs))
}

function withDown (endpoints: EndpointState[], downMs: ReadonlyMap<string, number>): EndpointState[] {
  return endpoints.map(endpoint => downMs.has(endpoint.endpoint) ? { ...endpoint, health: 'crashed' } : endpoint)
}

/**
 * @param record - before
 * @returns the record after an exchange had no answer
 */
export function afterMissed (record: MemberRecord): MemberRecord {
  const misses = record.misses + 1
  return withState({ ...record, asking: false, misses, answers: record.answers && misses < MISSES_ALLOWED })
}

/**
 * @param record - before
 * @returns the record after an attempt could not reach the agent; an exchange answers whether that is still so
 */
export function afterUnreachable (record: MemberRecord): MemberRecord {
  return withState({ ...record, answers: false })
}

/**
 * @param record - before
 * @returns the record after the agent refused work because it drains
 */
export function afterDraining (record: MemberRecord): MemberRecord {
  return withState({ ...record, drains: true })
}

/**
 * @param record - before
 * @param incarnation - met in a reply
 * @param nowMs - time of the reply
 * @returns the record; another incarnation gets no work until an exchange has shown its endpoints
 */
export function afterIncarnation (record: MemberRecord, incarnation: string, nowMs: number): MemberRecord {
  if (incarnation === record.view.incarnation) return record
  const view = { ...record.view, incarnation, endpoints: [] }
  return withState({ ...record, view, answers: false, drains: false, doubtedMs: nowMs, downMs: new Map(), quarantineSequence: 0 })
}

/**
 * @param record - before
 * @param endpoint - name of the endpoint that did not work
 * @param nowMs - when that was met
 * @returns the record with the endpoint out of use until an exchange sent later says it is ready
 */
export function afterEndpointDown (record: MemberRecord, endpoint: string, nowMs: number): MemberRecord {
  const downMs = new Map(record.downMs).set(endpoint, nowMs)
  return withChange({ ...record, downMs, view: { ...record.view, endpoints: withDown(record.view.endpoints, downMs) } }, nowMs)
}

/**
 * Takes a load report in place. Every frame of every answer carries one, so that a copy of the record for each of them
 * would cost a busy gateway more than routing does; nothing is decided by comparing loads with earlier ones.
 *
 * @param record - changed
 * @param load - carried by a reply
 * @param nowMs - time of the reply; the agent counts as heard
 */
export function takeLoad (record: MemberRecord, load: EndpointLoad, nowMs: number): void {
  const { view } = record
  view.lastHeardMs = nowMs
  const endpoint = view.endpoints.find(found => found.endpoint === load.endpoint)
  if (endpoint !== undefined) endpoint.load = load
}

/**
 * @param record - before
 * @param nowMs - when an order was sent to it
 * @returns the record, whose agent is asked soon
 */
export function afterOrdered (record: MemberRecord, nowMs: number): MemberRecord {
  return { ...record, orderedMs: nowMs }
}

function withState (record: MemberRecord): MemberRecord {
  const state = stateOf(record)
  return state === record.view.state ? record : { ...record, view: { ...record.view, state } }
}

function stateOf (record: MemberRecord): AgentView['state'] {
  if (!record.answers) return 'unreachable'
  return record.drains || record.listed === 'leaving' ? 'draining' : 'serving'
}
