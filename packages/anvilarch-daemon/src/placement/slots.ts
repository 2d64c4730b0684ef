/** The model endpoints of the fleet as the plan sees them. Pure. */
import type { EndpointState, LoadedModel } from 'anvilarch-protocol'
import type { AgentView } from '../membership/types'
import type { OrderAction, SentOrder, Slot } from './types'

/** What the holder of the lease remembers between two plans. */
export interface SlotMemory {
  /** Since when an endpoint has not been usable, by slot key. */
  goneSinceMs: ReadonlyMap<string, number>
  /** Orders under way, by slot key. */
  sent: ReadonlyMap<string, SentOrder>
  /** Endpoints whose last orders left nothing behind, by slot key. */
  lost: ReadonlyMap<string, LostOrders>
}

/** Orders to one endpoint that were lost one after another. */
export interface LostOrders {
  count: number
  /** When the endpoint may get an order again. */
  untilMs: number
}

/** Memory of a new holder. */
export const EMPTY_MEMORY: SlotMemory = { goneSinceMs: new Map(), sent: new Map(), lost: new Map() }

/**
 * @param agent - name of the agent
 * @param endpoint - name of the endpoint within it
 * @returns the key of its slot
 */
export function slotKey (agent: string, endpoint: string): string {
  return `${agent}/${endpoint}`
}

/** How long an endpoint may be gone before something follows from it. */
export interface GoneBounds {
  /** Before it is replaced. */
  graceMs: number
  /** Before its loads are taken to have ended. */
  loadHoldMs: number
}

/**
 * An endpoint that restarts is back within seconds with its weights in reach; loading a replacement at once would cost
 * the weight store a load for nothing, so it counts for its service during a short grace. One that can't be reached may
 * be loading all the same, so its loads count for longer.
 *
 * @param agents - as the holder sees them
 * @param memory - of the holder
 * @param nowMs - time of the plan
 * @param bounds - on being gone
 * @returns all model endpoints
 */
export function toSlots (agents: AgentView[], memory: SlotMemory, nowMs: number, bounds: GoneBounds): Slot[] {
  return agents.flatMap(agent => agent.endpoints
    .filter(endpoint => endpoint.kind === 'model')
    .map(endpoint => toSlot(agent, endpoint, memory, nowMs, bounds)))
}

function toSlot (agent: AgentView, endpoint: EndpointState, memory: SlotMemory, nowMs: number, bounds: GoneBounds): Slot {
  const key = slotKey(agent.name, endpoint.endpoint)
  const usable = agent.state === 'serving' && endpoint.health === 'ready'
  const goneMs = nowMs - (memory.goneSinceMs.get(key) ?? nowMs)
  const sent = memory.sent.get(key)
  const isPaused = nowMs < (memory.lost.get(key)?.untilMs ?? nowMs)
  const willServe = sent !== undefined && sent.action !== 'unload'
  return {
    key,
    agent: agent.name,
    endpoint: endpoint.endpoint,
    failureDomain: agent.failureDomain,
    usable: usable && !isPaused,
    present: usable || (agent.state !== 'draining' && goneMs < bounds.graceMs),
    mayLoad: usable || goneMs < bounds.loadHoldMs,
    service: willServe ? sent.service : endpoint.service,
    models: endpoint.models,
    sent
  }
}

/**
 * @param memory - of the holder
 * @param nowMs - the time
 * @param bounds - on being gone
 * @returns whether an endpoint may need an order, or show the effect of one, at any moment
 */
export function hasChangedLately (memory: SlotMemory, nowMs: number, bounds: Pick<GoneBounds, 'graceMs'>): boolean {
  const sinceMs = [...memory.goneSinceMs.values(), ...[...memory.sent.values()].map(order => order.sentAtMs)]
  return sinceMs.some(startMs => nowMs - startMs < bounds.graceMs)
}

/** Bounds of an order under way. */
export interface OrderBounds {
  /** An order that the agent has taken and that shows no effect is given up after this time. */
  orderTimeoutMs: number
  /** The same for an order that the agent did not answer. */
  unansweredTimeoutMs: number
  /** Pause after the second order in a row that was lost; doubled with each further one, up to `orderTimeoutMs`. */
  refusedPauseMs: number
}

/**
 * @param memory - before
 * @param agents - as the holder sees them now
 * @param nowMs - time of the plan
 * @param bounds - of orders
 * @returns memory without the orders whose effect shows, and with what is gone now
 */
export function afterObserved (memory: SlotMemory, agents: AgentView[], nowMs: number, bounds: OrderBounds): SlotMemory {
  const states = new Map(agents.flatMap(agent => agent.endpoints.map(endpoint => [slotKey(agent.name, endpoint.endpoint), { agent, endpoint }])))
  const isUsable = ({ agent, endpoint }: FoundEndpoint): boolean =>
    agent.state === 'serving' && endpoint.health === 'ready'
  const gone = [...states].filter(([, state]) => !isUsable(state))
  const goneSinceMs = new Map(gone.map(([key]) => [key, memory.goneSinceMs.get(key) ?? nowMs]))
  const known = [...memory.sent].flatMap(([key, order]) => {
    const state = states.get(key)
    return state === undefined ? [] : [{ key, order, progress: progressOf(state, order, nowMs, bounds) }]
  })
  const sent = new Map(known.filter(({ progress }) => progress === 'under_way').map(({ key, order }) => [key, order]))
  const lost = new Map([...memory.lost].filter(([key]) => states.has(key)))
  for (const { key, progress } of known) {
    if (progress === 'done') lost.delete(key)
    if (progress === 'lost') lost.set(key, afterLost(lost.get(key), nowMs, bounds))
  }
  return { goneSinceMs, sent, lost }
}

/**
 * An engine that comes back from a crash is to have its model at once. One that drops each load would otherwise be sent the
 * same weights several times a second.
 */
function afterLost (before: LostOrders | undefined, nowMs: number, bounds: OrderBounds): LostOrders {
  const count = (before?.count ?? 0) + 1
  const pauseMs = count === 1 ? 0 : Math.min(bounds.refusedPauseMs * 2 ** (count - 2), bounds.orderTimeoutMs)
  return { count, untilMs: nowMs + pauseMs }
}

/** An endpoint of the fleet, with its agent. */
interface FoundEndpoint {
  agent: AgentView
  endpoint: EndpointState
}

/** What became of an order, as far as the endpoint shows. */
type OrderProgress = 'done' | 'under_way' | 'lost'

function progressOf ({ agent, endpoint }: FoundEndpoint, order: SentOrder, nowMs: number, bounds: OrderBounds): OrderProgress {
  const model = endpoint.models.find(found => found.model === order.model && found.version === order.version)
  if (EFFECTS[order.action](order, endpoint, model)) return 'done'
  if (order.action === 'load' && model?.state === 'loading') return 'under_way'
  const timeoutMs = order.isAnswered ? bounds.orderTimeoutMs : bounds.unansweredTimeoutMs
  return isOver(agent, endpoint, order) || nowMs - order.sentAtMs >= timeoutMs ? 'lost' : 'under_way'
}

/** The process of the endpoint that took an order, or the agent with which it waited, may end before its effect shows. */
function isOver (agent: AgentView, endpoint: EndpointState, order: SentOrder): boolean {
  return endpoint.settledOrder === order.orderId || agent.incarnation !== order.agentIncarnation
}

/** How the effect of an order shows in what the endpoint reports. */
const EFFECTS: Record<OrderAction, (order: SentOrder, endpoint: EndpointState, model: LoadedModel | undefined) => boolean> = {
  load: (order, _endpoint, model) => model?.state === 'ready' && order.adapters.every(adapter => model.adapters.includes(adapter)),
  unload: (_order, _endpoint, model) => model === undefined,
  assign: (order, endpoint) => endpoint.service === order.service
}
