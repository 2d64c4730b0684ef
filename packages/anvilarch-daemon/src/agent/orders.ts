/** Executes orders for endpoints: fenced, and serially for each endpoint. Endpoints load models in the background. */
import type { MessageInitShape } from '@bufbuild/protobuf'
import { type OrderRequest, type OrderResponseSchema, ROW_KEYS } from 'anvilarch-protocol'
import { sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import type { EndpointTask } from './endpointTask'
import type { EngineOrderResult } from './endpoints/types'
import { type FencingEvent, type FencingDecision, fencingStep, INITIAL_FENCING } from './fencing'
import { afterOrder, isReloadDue, type LastLoad } from './lastLoad'

/** Fields of the response to an order. */
export type OrderResponseInit = MessageInitShape<typeof OrderResponseSchema>

/** Executes orders, and repeats the last load of an endpoint after a crash. */
export interface Orders {
  order: (request: OrderRequest) => Promise<OrderResponseInit>
  highestToken: () => number
  /** Id of the last order to an endpoint that has ended, once the endpoint has been probed after it; empty before. */
  settledOrder: (endpoint: string) => string
  /** Repeats the last load at endpoints that have crashed, while placement can't give orders. */
  reload: () => Promise<void>
}

type Outcome = { outcome: 'done' | 'started' } | { outcome: 'refused', reason: string }

/** An order that has ended. */
interface EndedOrder {
  orderId: string
  /** Number of probes sent before the end of the order: their results may not include its effect. */
  probesBefore: number
}

type Action = (task: EndpointTask, request: OrderRequest) => Promise<Outcome>

const MAX_WAITING_ORDERS = 32
const IN_USE_POLL_MS = 100

/**
 * @param context - shared components of the daemon
 * @param tasks - the endpoints by name
 * @param responseTimeoutMs - an order that takes longer is responded to as started and continues
 * @param onSettled - called when an endpoint has been probed after an order
 * @returns the orders of this agent
 */
export function createOrders (context: DaemonContext, tasks: Map<string, EndpointTask>, responseTimeoutMs: number, onSettled: () => void): Orders {
  let fencing = INITIAL_FENCING
  let floorRead: Promise<void> | undefined
  const queues = new Map<string, { last: Promise<unknown>, waiting: number }>()
  const lastLoads = new Map<string, LastLoad>()
  const endedOrders = new Map<string, EndedOrder>()
  let reloading = false

  const applyFencing = (event: FencingEvent): FencingDecision => {
    const step = fencingStep(fencing, event)
    fencing = step.state
    return step.decision
  }

  // All orders that wait for the row share one read.
  const readFloor = async (): Promise<void> => {
    if (fencing.floorKnown) return
    floorRead ??= readLeaseEpoch(context).then(token => { applyFencing({ kind: 'floor', token }) }).finally(() => { floorRead = undefined })
    await floorRead.catch(error => { context.logger.warn('the placement lease row could not be read', { error: String(error) }) })
  }

  const record = (event: string, request: OrderRequest, detail: Record<string, string> = {}): void => {
    context.timeline.record(`orders.${event}`, { detail: { orderId: request.orderId, endpoint: request.endpoint, action: request.action, token: Number(request.fencingToken), ...detail } })
  }

  const callEngine = async (task: EndpointTask, request: OrderRequest): Promise<Outcome> => {
    const token = Number(request.fencingToken)
    if (applyFencing({ kind: 'apply', token }) !== 'allowed') return { outcome: 'refused', reason: 'stale_fencing_token' }
    const result = await task.adapter.order({ action: request.action as 'load' | 'unload', model: request.model, version: request.version, adapters: request.adapters, fencingToken: token })
    return result === 'done' || result === 'started' ? { outcome: result } : { outcome: 'refused', reason: result }
  }

  // The model is unloaded after the attempts in progress on it have ended; no new attempt starts on it in the meantime.
  const unload: Action = async (task, request) => {
    task.setUnloadingModel(request.model)
    try {
      const untilMs = context.clock.nowMs() + context.settings.agent.drainTimeoutMs
      while (task.countUsing(request.model) > 0) {
        if (context.clock.nowMs() >= untilMs) return { outcome: 'refused', reason: 'endpoint_failed' }
        await sleep(context.clock, IN_USE_POLL_MS)
      }
      return await callEngine(task, request)
    } finally {
      await task.health.probe().catch(() => {})
      task.setUnloadingModel(undefined)
    }
  }

  const assign: Action = async (task, request) => {
    if (applyFencing({ kind: 'apply', token: Number(request.fencingToken) }) !== 'allowed') return { outcome: 'refused', reason: 'stale_fencing_token' }
    task.assign(request.service)
    return { outcome: 'done' }
  }

  const actions: Record<string, Action | undefined> = { load: callEngine, unload, assign }

  const runSerially = async <Result> (endpoint: string, run: () => Promise<Result>): Promise<Result | undefined> => {
    const queue = queues.get(endpoint) ?? { last: Promise.resolve(), waiting: 0 }
    queues.set(endpoint, queue)
    if (queue.waiting >= MAX_WAITING_ORDERS) return undefined
    queue.waiting++
    const result = queue.last.then(run).finally(() => { queue.waiting-- })
    queue.last = result.catch(() => {})
    return await result
  }

  const setLastLoad = (endpoint: string, last: LastLoad | undefined): void => {
    tasks.get(endpoint)?.setLoadedService(last?.service ?? '')
    if (last === undefined) lastLoads.delete(endpoint)
    else lastLoads.set(endpoint, last)
  }

  const execute = async (task: EndpointTask, request: OrderRequest, action: Action): Promise<Outcome> => {
    const outcome = await runSerially(request.endpoint, async () => {
      const result = await action(task, request)
      if (result.outcome !== 'refused') setLastLoad(request.endpoint, afterOrder(lastLoads.get(request.endpoint), request, task.health.incarnation()))
      endedOrders.set(request.endpoint, { orderId: request.orderId, probesBefore: task.health.probesSent() })
      task.health.probe().then(onSettled, error => { context.logger.warn('an endpoint was not probed after an order', { endpoint: request.endpoint, error: String(error) }) })
      return result
    })
    return outcome ?? { outcome: 'refused', reason: 'endpoint_failed' }
  }

  const decide = async (request: OrderRequest): Promise<Outcome> => {
    const task = tasks.get(request.endpoint)
    const action = actions[request.action]
    if (task === undefined || action === undefined || task.settings.kind !== 'model') return { outcome: 'refused', reason: 'unknown_endpoint' }
    await readFloor()
    const decision = applyFencing({ kind: 'order', token: Number(request.fencingToken) })
    if (decision !== 'allowed') return { outcome: 'refused', reason: decision }
    record('accepted', request)
    return await startedAfterTimeout(request, execute(task, request, action))
  }

  // An order may wait for previous orders or for attempts to end; its sender must not wait that long.
  const startedAfterTimeout = async (request: OrderRequest, running: Promise<Outcome>): Promise<Outcome> => {
    const responded = new AbortController()
    const timeout = sleep(context.clock, responseTimeoutMs, responded.signal).then((): undefined => undefined)
    const outcome = await Promise.race([running, timeout])
    responded.abort()
    if (outcome !== undefined) return outcome
    running.then(end => { recordEnd(request, end) }).catch(() => {})
    return { outcome: 'started' }
  }

  const recordEnd = (request: OrderRequest, outcome: Outcome): void => {
    record(outcome.outcome, request, outcome.outcome === 'refused' ? { reason: outcome.reason } : {})
  }

  const isDue = (endpoint: string, task: EndpointTask): boolean => {
    const { health } = task
    const probed = { isUp: health.state() === 'ready', incarnation: health.incarnation(), models: health.models() }
    return isReloadDue(lastLoads.get(endpoint), probed, context.configuration.current()?.document)
  }

  // Checked again once the reload runs, since another order may have been executed in the meantime.
  const reloadEndpoint = async (endpoint: string, task: EndpointTask): Promise<void> => {
    await runSerially(endpoint, async () => {
      const last = lastLoads.get(endpoint)
      if (last === undefined || !isDue(endpoint, task)) return
      const { model, version, adapters, fencingToken } = last
      const outcome = await task.adapter.order({ action: 'load', model, version, adapters, fencingToken })
      setLastLoad(endpoint, AFTER_RELOAD[outcome](last, task.health.incarnation()))
      context.timeline.record('orders.reload', { detail: { endpoint, model, version, token: fencingToken, outcome } })
      context.logger.info('the last load was repeated after a crash', { endpoint, model, version, outcome })
      await task.health.probe()
    })
  }

  const reload = async (): Promise<void> => {
    const due = [...tasks].filter(([endpoint, task]) => isDue(endpoint, task))
    if (due.length === 0 || reloading) return
    reloading = true
    try {
      if (!await isTableReachable(context)) await Promise.all(due.map(async ([endpoint, task]) => { await reloadEndpoint(endpoint, task) }))
    } finally {
      reloading = false
    }
  }

  return {
    reload,
    order: async request => {
      const outcome = await decide(request)
      recordEnd(request, outcome)
      return { reason: '', ...outcome, fencingToken: BigInt(fencing.highestToken) }
    },
    highestToken: () => fencing.highestToken,
    settledOrder: endpoint => {
      const ended = endedOrders.get(endpoint)
      const respondedProbe = tasks.get(endpoint)?.health.lastRespondedProbe() ?? 0
      return ended !== undefined && respondedProbe > ended.probesBefore ? ended.orderId : ''
    }
  }
}

/** The last load after a reload, by the result at the endpoint. */
const AFTER_RELOAD: Record<EngineOrderResult, (last: LastLoad, incarnation: string) => LastLoad | undefined> = {
  done: (last, incarnation) => ({ ...last, incarnation }),
  started: (last, incarnation) => ({ ...last, incarnation }),
  // The endpoint has accepted a newer order that this agent has not seen.
  stale_fencing_token: () => undefined,
  endpoint_failed: last => last
}

/**
 * While the table is reachable, the holder of the placement lease orders missing loads and paces them across the fleet.
 * Without the table, no gateway can keep that lease for long.
 */
async function isTableReachable (context: DaemonContext): Promise<boolean> {
  try {
    await readLeaseEpoch(context)
    return true
  } catch (error) {
    context.logger.warn('the placement lease row could not be read', { error: String(error) })
    return false
  }
}

async function readLeaseEpoch (context: DaemonContext): Promise<number> {
  const [row] = await context.platform.table.read([ROW_KEYS.placementLease])
  if (row === null) return 0
  const value = JSON.parse(row.value) as { epoch?: unknown }
  return typeof value.epoch === 'number' ? value.epoch : 0
}
