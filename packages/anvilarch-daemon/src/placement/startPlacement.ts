/** Plans placement periodically and sends the orders, while this gateway holds the placement lease. */
import { randomUUID } from 'node:crypto'
import { invariant, type LifecycleManager, sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import type { SingleLease } from '../leases/types'
import type { MutableDirectory } from '../membership/agentDirectory'
import type { AgentClients } from '../peers/types'
import { planPlacement } from './planPlacement'
import { afterReports, INITIAL_PLACEMENT_STATE, hasRecentChange, type PlacementState, slotKey, toSlots } from './slots'
import type { PlannedOrder, SentOrder } from './types'

/** Dependencies of placement. */
export interface PlacementParts {
  lease: SingleLease
  directory: Pick<MutableDirectory, 'list' | 'get' | 'noteOrderSent'>
  clients: AgentClients
}

/** Options of `startPlacement`. */
export interface PlacementOptions {
  intervalMs: number
  /** Interval while an endpoint has recently become unusable or has a pending order. */
  changingIntervalMs: number
  /** Time for which a new lease holder only observes, to see the state of the agents and the effect of its predecessor's orders. */
  settleMs: number
  /** Time an endpoint may be unusable before it is replaced. */
  graceMs: number
  /** Time for which the loads of an unusable endpoint still count. */
  loadExpiryMs: number
  /** Time after which an accepted order without a visible effect counts as lost. */
  orderTimeoutMs: number
  /** The same for an unanswered order. Repeating an order that did arrive is harmless. */
  unansweredTimeoutMs: number
  /** Backoff of an endpoint after a failed or rejected order. */
  failureBackoffMs: number
}

/** Defaults of placement. */
export const DEFAULT_OPTIONS: PlacementOptions = {
  intervalMs: 1000, changingIntervalMs: 250, settleMs: 3000, graceMs: 10_000, loadExpiryMs: 60_000, orderTimeoutMs: 60_000, unansweredTimeoutMs: 10_000, failureBackoffMs: 5000
}

/** Timeout of an order request; a later plan retries the order. */
const ORDER_TIMEOUT_MS = 3000
/** Maximum of order requests in progress. */
const MAX_CONCURRENT_ORDERS = 8

/** State kept while the lease is held under one epoch. */
interface Tenure {
  epoch: number
  sinceMs: number
  state: PlacementState
  /** End of the backoff of each endpoint, by slot key. */
  backoffUntilMs: Map<string, number>
}

/**
 * @param context - shared context of the gateway
 * @param parts - lease, directory and clients
 * @param lifecycle - stops placement
 * @param options - intervals and timeouts
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
    else if (tenure?.epoch !== epoch) tenure = { epoch, sinceMs: clock.nowMs(), state: INITIAL_PLACEMENT_STATE, backoffUntilMs: new Map() }
    return tenure
  }

  const round = async (): Promise<void> => {
    const current = currentTenure()
    const configuration = context.configuration.current()
    if (current === undefined || configuration === undefined) return
    const nowMs = clock.nowMs()
    const agents = parts.directory.list()
    current.state = afterReports(current.state, agents, nowMs, options)
    if (nowMs - current.sinceMs < options.settleMs) return
    const slots = toSlots(agents, current.state, nowMs, options)
      .map(slot => (current.backoffUntilMs.get(slot.key) ?? 0) > nowMs ? { ...slot, usable: false } : slot)
    const orders = planPlacement(configuration.document, slots)
    for (let index = 0; index < orders.length; index += MAX_CONCURRENT_ORDERS) {
      await Promise.all(orders.slice(index, index + MAX_CONCURRENT_ORDERS).map(async order => { await send(current, order) }))
    }
  }

  /**
   * If this process is paused between planning and sending, the lease may expire meanwhile, and a new holder sends other
   * orders; the orders of both would be executed. Therefore the epoch is checked again right before each order, and the agent
   * rejects an epoch lower than the highest it has received.
   */
  const send = async (current: Tenure, order: PlannedOrder): Promise<void> => {
    const epoch = parts.lease.epoch()
    if (epoch !== current.epoch || stopping.signal.aborted) return
    const agent = parts.directory.get(order.agent)
    if (agent === undefined) return
    const key = slotKey(order.agent, order.endpoint)
    const sentOrder: SentOrder = { ...order, orderId: randomUUID(), agentIncarnation: agent.incarnation, sentAtMs: clock.nowMs(), isAcknowledged: false }
    current.state = { ...current.state, sent: new Map(current.state.sent).set(key, sentOrder) }
    const outcome = await callAgent(agent.address, sentOrder, epoch)
    parts.directory.noteOrderSent(order.agent)
    context.timeline.record('placement.order', { detail: { ...order, adapters: order.adapters.join(','), epoch, outcome } })
    context.logger.info('placement order', { agent: order.agent, endpoint: order.endpoint, action: order.action, service: order.service, model: order.model, outcome })
    const isAccepted = outcome === 'done' || outcome === 'started'
    const sent = new Map(current.state.sent)
    if (isAccepted) sent.set(key, { ...sentOrder, isAcknowledged: true })
    // Whether an unanswered order was executed shows in the state that the endpoint reports; until then it counts as sent.
    else if (outcome !== 'no_answer') sent.delete(key)
    current.state = { ...current.state, sent }
    if (!isAccepted) current.backoffUntilMs.set(key, clock.nowMs() + options.failureBackoffMs)
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

  const nextIntervalMs = (): number => {
    const { state } = tenure ?? { state: INITIAL_PLACEMENT_STATE }
    return hasRecentChange(state, clock.nowMs(), options) ? options.changingIntervalMs : options.intervalMs
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      try {
        await round()
      } catch (error) {
        context.logger.error('a round of placement failed', { error: String(error) })
      }
      await sleep(clock, nextIntervalMs(), stopping.signal)
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
