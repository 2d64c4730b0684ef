/** Sends the orders of the plan while this gateway holds the placement lease. */
import { randomUUID } from 'node:crypto'
import { invariant, type LifecycleManager, sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import type { SingleLease } from '../leases/types'
import type { MutableDirectory } from '../membership/agentDirectory'
import type { AgentClients } from '../peers/types'
import { planPlacement } from './planPlacement'
import { afterObserved, EMPTY_MEMORY, hasChangedLately, type SlotMemory, slotKey, toSlots } from './slots'
import type { PlannedOrder, SentOrder } from './types'

/** What placement works with. */
export interface PlacementParts {
  lease: SingleLease
  directory: Pick<MutableDirectory, 'list' | 'get' | 'noteOrdered'>
  clients: AgentClients
}

/** Options of `startPlacement`. */
export interface PlacementOptions {
  intervalMs: number
  /** The interval while an endpoint has just gone, or has an order that does not show yet. */
  changingIntervalMs: number
  /** A new holder first learns what the agents have and what its predecessor ordered. */
  settleMs: number
  /** How long an endpoint may be gone before it is replaced. */
  graceMs: number
  /** How long the loads of an endpoint that is gone still count. */
  loadHoldMs: number
  /** An order that an agent has taken and that shows no effect by then is given up. */
  orderTimeoutMs: number
  /** The same for an order that the agent did not answer. To repeat one that it got all the same does no harm. */
  unansweredTimeoutMs: number
  /** An endpoint that refused an order gets no other one for this long. */
  refusedPauseMs: number
}

/** Defaults of placement. */
export const DEFAULT_OPTIONS: PlacementOptions = {
  intervalMs: 1000, changingIntervalMs: 250, settleMs: 3000, graceMs: 10_000, loadHoldMs: 60_000, orderTimeoutMs: 60_000, unansweredTimeoutMs: 10_000, refusedPauseMs: 5000
}

/** An agent that takes longer to take an order is asked again with a later plan. */
const ORDER_TIMEOUT_MS = 3000
/** Orders sent at the same time. */
const MAX_CONCURRENT_ORDERS = 8

/** What is known under one epoch. */
interface Tenure {
  epoch: number
  sinceMs: number
  memory: SlotMemory
  /** When an endpoint may get an order again, by slot key. */
  pausedUntilMs: Map<string, number>
}

/**
 * @param context - shared parts of the gateway
 * @param parts - lease, directory and clients
 * @param lifecycle - stops the orders
 * @param options - intervals and bounds
 */
export async function startPlacement (
  context: DaemonContext, parts: PlacementParts, lifecycle: LifecycleManager, options: PlacementOptions = DEFAULT_OPTIONS
): Promise<void> {
  const { clock } = context
  const stopping = new AbortController()
  let tenure: Tenure | undefined
  let loop: Promise<void> | undefined

  const currentTenure = (): Tenure | undefined => {
    const epoch = parts.lease.epoch()
    if (epoch === undefined) tenure = undefined
    else if (tenure?.epoch !== epoch) tenure = { epoch, sinceMs: clock.nowMs(), memory: EMPTY_MEMORY, pausedUntilMs: new Map() }
    return tenure
  }

  const round = async (): Promise<void> => {
    const held = currentTenure()
    const configuration = context.configuration.current()
    if (held === undefined || configuration === undefined) return
    const nowMs = clock.nowMs()
    const agents = parts.directory.list()
    held.memory = afterObserved(held.memory, agents, nowMs, options)
    if (nowMs - held.sinceMs < options.settleMs) return
    const slots = toSlots(agents, held.memory, nowMs, options)
      .map(slot => (held.pausedUntilMs.get(slot.key) ?? 0) > nowMs ? { ...slot, usable: false } : slot)
    const orders = planPlacement(configuration.document, slots)
    for (let index = 0; index < orders.length; index += MAX_CONCURRENT_ORDERS) {
      await Promise.all(orders.slice(index, index + MAX_CONCURRENT_ORDERS).map(async order => { await send(held, order) }))
    }
  }

  /**
   * The lease may lapse between the plan and the order, when this process was paused. Its successor then gives other
   * orders, and both would be carried out. The epoch is asked for again right before each order, and the agent refuses an
   * epoch lower than one it has seen.
   */
  const send = async (held: Tenure, order: PlannedOrder): Promise<void> => {
    const epoch = parts.lease.epoch()
    if (epoch !== held.epoch || stopping.signal.aborted) return
    const agent = parts.directory.get(order.agent)
    if (agent === undefined) return
    const key = slotKey(order.agent, order.endpoint)
    const sentOrder: SentOrder = { ...order, orderId: randomUUID(), agentIncarnation: agent.incarnation, sentAtMs: clock.nowMs(), isAnswered: false }
    held.memory = { ...held.memory, sent: new Map(held.memory.sent).set(key, sentOrder) }
    const outcome = await callAgent(agent.address, sentOrder, epoch)
    parts.directory.noteOrdered(order.agent)
    context.timeline.record('placement.order', { detail: { ...order, adapters: order.adapters.join(','), epoch, outcome } })
    context.logger.info('placement order', { agent: order.agent, endpoint: order.endpoint, action: order.action, service: order.service, model: order.model, outcome })
    const isTaken = outcome === 'done' || outcome === 'started'
    const sent = new Map(held.memory.sent)
    if (isTaken) sent.set(key, { ...sentOrder, isAnswered: true })
    // Whether a call without an answer was carried out shows in what the endpoint reports; until then it counts as sent.
    else if (outcome !== 'no_answer') sent.delete(key)
    held.memory = { ...held.memory, sent }
    if (!isTaken) held.pausedUntilMs.set(key, clock.nowMs() + options.refusedPauseMs)
  }

  const callAgent = async (address: string, order: SentOrder, epoch: number | undefined): Promise<string> => {
    invariant(epoch !== undefined, 'order_needs_epoch', () => `order ${order.action} to ${order.agent}/${order.endpoint} without a lease`)
    const { orderId, endpoint, action, service, model, version, adapters } = order
    try {
      const response = await parts.clients.get(address, 'control').order(
        { endpoint, fencingToken: BigInt(epoch), orderId, action, service, model, version, adapters },
        { timeoutMs: ORDER_TIMEOUT_MS, signal: stopping.signal })
      return response.outcome === 'refused' ? response.reason : response.outcome
    } catch (error) {
      context.logger.debug('an order was not answered', { peer: address, error: String(error) })
      return 'no_answer'
    }
  }

  const pauseMs = (): number => {
    const { memory } = tenure ?? { memory: EMPTY_MEMORY }
    return hasChangedLately(memory, clock.nowMs(), options) ? options.changingIntervalMs : options.intervalMs
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      try {
        await round()
      } catch (error) {
        context.logger.error('a round of placement failed', { error: String(error) })
      }
      await sleep(clock, pauseMs(), stopping.signal)
    }
  }

  await lifecycle.start({
    name: 'placement',
    start: () => { loop = run() },
    stop: async () => {
      stopping.abort()
      await loop
    }
  })
}
