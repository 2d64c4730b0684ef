/** Derives the slots that planning works on from the reported endpoints and the sent orders. Pure. */
import type { EndpointState, LoadedModel } from 'anvilarch-protocol'
import type { AgentView } from '../membership/types'
import type { OrderAction, SentOrder, Slot } from './types'

/** State that the lease holder keeps between two plans. */
export interface PlacementState {
  /** Time since which an endpoint has not been usable, by slot key. */
  unusableSinceMs: ReadonlyMap<string, number>
  /** Pending orders, by slot key. */
  sent: ReadonlyMap<string, SentOrder>
  /** Endpoints whose most recent orders had no effect, by slot key. */
  lost: ReadonlyMap<string, LostOrders>
}

/** Consecutive lost orders to one endpoint. */
export interface LostOrders {
  count: number
  /** Time from which the endpoint may get an order again. */
  untilMs: number
}

/** State of a new lease holder. */
export const INITIAL_PLACEMENT_STATE: PlacementState = { unusableSinceMs: new Map(), sent: new Map(), lost: new Map() }

/**
 * @param agent - name of the agent
 * @param endpoint - name of the endpoint, unique within the agent
 * @returns key of the slot
 */
export function slotKey (agent: string, endpoint: string): string {
  return `${agent}/${endpoint}`
}

/** Limits on the time for which an endpoint is unusable. */
export interface UnusableLimits {
  /** Time until it is replaced. */
  graceMs: number
  /** Time until its loads are assumed to have ended. */
  loadExpiryMs: number
}

/**
 * Converts the model endpoints of the agents to slots.
 *
 * An endpoint that restarts is available again within seconds and can reload its weights; an immediate replacement would
 * cost the weight store an unnecessary load, so the endpoint counts for its service during a short grace period. An
 * unreachable endpoint may still be loading, so its loads count for longer.
 *
 * @param agents - agents in the directory of the lease holder
 * @param state - state of the lease holder
 * @param nowMs - time of the plan
 * @param limits - limits on unusable endpoints
 * @returns slots of all model endpoints
 */
export function toSlots (agents: AgentView[], state: PlacementState, nowMs: number, limits: UnusableLimits): Slot[] {
  return agents.flatMap(agent => agent.endpoints
    .filter(endpoint => endpoint.kind === 'model')
    .map(endpoint => toSlot(agent, endpoint, state, nowMs, limits)))
}

function toSlot (agent: AgentView, endpoint: EndpointState, state: PlacementState, nowMs: number, limits: UnusableLimits): Slot {
  const key = slotKey(agent.name, endpoint.endpoint)
  const usable = agent.state === 'serving' && endpoint.health === 'ready'
  const unusableMs = nowMs - (state.unusableSinceMs.get(key) ?? nowMs)
  const sent = state.sent.get(key)
  const isPaused = nowMs < (state.lost.get(key)?.untilMs ?? nowMs)
  const willServe = sent !== undefined && sent.action !== 'unload'
  return {
    key,
    agent: agent.name,
    endpoint: endpoint.endpoint,
    failureDomain: agent.failureDomain,
    usable: usable && !isPaused,
    present: usable || (agent.state !== 'draining' && unusableMs < limits.graceMs),
    mayLoad: usable || unusableMs < limits.loadExpiryMs,
    service: willServe ? sent.service : endpoint.service,
    models: endpoint.models,
    sent
  }
}

/**
 * @param state - state of the lease holder
 * @param nowMs - current time
 * @param limits - limits on unusable endpoints
 * @returns whether an endpoint recently became unusable or was sent an order, so that planning should run more often
 */
export function hasRecentChange (state: PlacementState, nowMs: number, limits: Pick<UnusableLimits, 'graceMs'>): boolean {
  const sinceMs = [...state.unusableSinceMs.values(), ...[...state.sent.values()].map(order => order.sentAtMs)]
  return sinceMs.some(startMs => nowMs - startMs < limits.graceMs)
}

/** Limits on pending orders. */
export interface OrderLimits {
  /** Time after which an accepted order without a visible effect counts as lost. */
  orderTimeoutMs: number
  /** The same for an unanswered order. */
  unansweredTimeoutMs: number
  /** Backoff after the second consecutive lost order; doubled with each further one, up to `orderTimeoutMs`. */
  failureBackoffMs: number
}

/**
 * Compares the pending orders with the reported endpoints.
 *
 * @param previous - previous state
 * @param agents - agents in the directory of the lease holder
 * @param nowMs - time of the plan
 * @param limits - limits on pending orders
 * @returns state without completed and lost orders, and with the endpoints that are unusable now
 */
export function afterReports (previous: PlacementState, agents: AgentView[], nowMs: number, limits: OrderLimits): PlacementState {
  const states = new Map(agents.flatMap(agent => agent.endpoints.map(endpoint => [slotKey(agent.name, endpoint.endpoint), { agent, endpoint }])))
  const isUsable = ({ agent, endpoint }: FoundEndpoint): boolean =>
    agent.state === 'serving' && endpoint.health === 'ready'
  const unusable = [...states].filter(([, state]) => !isUsable(state))
  const unusableSinceMs = new Map(unusable.map(([key]) => [key, previous.unusableSinceMs.get(key) ?? nowMs]))
  const known = [...previous.sent].flatMap(([key, order]) => {
    const state = states.get(key)
    return state === undefined ? [] : [{ key, order, progress: progressOf(state, order, nowMs, limits) }]
  })
  const sent = new Map(known.filter(({ progress }) => progress === 'pending').map(({ key, order }) => [key, order]))
  const lost = new Map([...previous.lost].filter(([key]) => states.has(key)))
  for (const { key, progress } of known) {
    if (progress === 'done') lost.delete(key)
    if (progress === 'lost') lost.set(key, afterLost(lost.get(key), nowMs, limits))
  }
  return { unusableSinceMs, sent, lost }
}

/**
 * The first lost order is retried immediately, so that an engine that restarts after a crash gets its model without delay.
 * Further ones back off; an engine that fails each load would otherwise be sent the same weights several times a second.
 */
function afterLost (before: LostOrders | undefined, nowMs: number, limits: OrderLimits): LostOrders {
  const count = (before?.count ?? 0) + 1
  const pauseMs = count === 1 ? 0 : Math.min(limits.failureBackoffMs * 2 ** (count - 2), limits.orderTimeoutMs)
  return { count, untilMs: nowMs + pauseMs }
}

/** An endpoint with its agent. */
interface FoundEndpoint {
  agent: AgentView
  endpoint: EndpointState
}

/** Progress of an order according to the state of its endpoint. */
type OrderProgress = 'done' | 'pending' | 'lost'

function progressOf ({ agent, endpoint }: FoundEndpoint, order: SentOrder, nowMs: number, limits: OrderLimits): OrderProgress {
  const model = endpoint.models.find(found => found.model === order.model && found.version === order.version)
  if (EFFECTS[order.action](order, endpoint, model)) return 'done'
  if (order.action === 'load' && model?.state === 'loading') return 'pending'
  const timeoutMs = order.isAcknowledged ? limits.orderTimeoutMs : limits.unansweredTimeoutMs
  return isOver(agent, endpoint, order) || nowMs - order.sentAtMs >= timeoutMs ? 'lost' : 'pending'
}

/**
 * Whether an order without a visible effect is over: the endpoint has settled it, or the agent process that queued it was
 * replaced. The process of the endpoint or the agent may exit before the effect is visible.
 */
function isOver (agent: AgentView, endpoint: EndpointState, order: SentOrder): boolean {
  return endpoint.settledOrder === order.orderId || agent.incarnation !== order.agentIncarnation
}

/** Checks whether the reported state of the endpoint shows the effect of an order. */
const EFFECTS: Record<OrderAction, (order: SentOrder, endpoint: EndpointState, model: LoadedModel | undefined) => boolean> = {
  load: (order, _endpoint, model) => model?.state === 'ready' && order.adapters.every(adapter => model.adapters.includes(adapter)),
  unload: (_order, _endpoint, model) => model === undefined,
  assign: (order, endpoint) => endpoint.service === order.service
}
