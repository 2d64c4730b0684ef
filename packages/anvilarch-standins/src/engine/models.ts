/** The models of an engine: orders to load and unload them, and the transfer of their weights from the weight store. */
import { type Clock, sleep } from 'anvilarch-utils'
import { request } from 'undici'
import type { HandlerResult } from '../common/standinServer'

/** A model that the engine has loaded or is loading. */
export interface EngineModel {
  model: string
  version: string
  adapters: string[]
  state: 'loading' | 'ready'
}

/** An order as received over HTTP. */
export interface EngineOrder {
  action: 'load' | 'unload'
  model: string
  version: string
  adapters?: string[]
  fencingToken: number
}

/** An order that was executed or rejected. */
export interface RecordedOrder extends EngineOrder {
  accepted: boolean
  atMs: number
}

/** The models of one engine. */
export interface ModelRegistry {
  list: () => EngineModel[]
  fencingToken: () => number
  orders: () => RecordedOrder[]
  order: (order: EngineOrder) => HandlerResult
  /** @returns whether a request for a model of this name can be served */
  serves: (name: string | undefined) => boolean
  stop: () => void
}

/** Options of `createModelRegistry`. */
export interface ModelRegistryOptions {
  clock: Clock
  /** Address of the weight store; without one, models are ready at once. */
  weightsUrl?: string
  /** Whether an order with an old token is rejected. */
  checksFencing: boolean
  /** Models that are ready from the start, as `model:version`. */
  preload: string[]
  /** Whether a request must name a loaded model; otherwise any name is served while at least one model is ready. */
  strictModel: boolean
}

/** Delay before a failed transfer is retried, when the response has no `Retry-After`. */
const RETRY_DELAY_MS = 300

/**
 * @param options - weight store, fencing and initial models
 * @returns the models of an engine
 */
export function createModelRegistry (options: ModelRegistryOptions): ModelRegistry {
  const models = new Map<string, EngineModel>()
  const orders: RecordedOrder[] = []
  const stopping = new AbortController()
  let highestToken = 0
  for (const name of options.preload) {
    const [model, version = '1'] = name.split(':')
    models.set(`${model}:${version}`, { model, version, adapters: [], state: 'ready' })
  }

  const load = (order: EngineOrder): HandlerResult => {
    const key = `${order.model}:${order.version}`
    const adapters = order.adapters ?? []
    const existing = models.get(key)
    if (existing !== undefined) {
      existing.adapters = adapters
      return { status: existing.state === 'ready' ? 200 : 202, body: existing }
    }
    const added: EngineModel = { model: order.model, version: order.version, adapters, state: 'loading' }
    models.set(key, added)
    fetchWeights(added, () => models.get(key) === added && !stopping.signal.aborted, options, stopping.signal)
      .then(() => { added.state = 'ready' })
      .catch(() => { models.delete(key) })
    return { status: 202, body: added }
  }

  const actions: Record<EngineOrder['action'], (order: EngineOrder) => HandlerResult> = {
    load,
    unload: order => {
      models.delete(`${order.model}:${order.version}`)
      return { status: 200, body: {} }
    }
  }

  return {
    list: () => [...models.values()],
    fencingToken: () => highestToken,
    orders: () => [...orders],
    order: order => {
      const problem = describeBadOrder(order)
      if (problem !== undefined) return { status: 400, body: { error: { message: problem } } }
      const stale = order.fencingToken < highestToken
      const accepted = !(stale && options.checksFencing)
      orders.push({ ...order, accepted, atMs: options.clock.wallMs() })
      if (!accepted) return { status: 409, body: { error: { message: `token ${order.fencingToken} is older than ${highestToken}` }, fencingToken: highestToken } }
      highestToken = Math.max(highestToken, order.fencingToken)
      return actions[order.action](order)
    },
    serves: name => {
      const ready = [...models.values()].filter(({ state }) => state === 'ready')
      if (!options.strictModel) return ready.length > 0
      return ready.some(({ model, version, adapters }) => name === model || name === `${model}:${version}` || adapters.includes(name ?? ''))
    },
    stop: () => { stopping.abort() }
  }
}

function describeBadOrder (order: EngineOrder): string | undefined {
  if (order.action !== 'load' && order.action !== 'unload') return `"action" is ${JSON.stringify(order.action)}; expected "load" or "unload"`
  if (typeof order.model !== 'string' || typeof order.version !== 'string') return '"model" and "version" must be texts'
  if (!Number.isInteger(order.fencingToken)) return '"fencingToken" must be a whole number'
  return undefined
}

async function fetchWeights (model: EngineModel, isStillNeeded: () => boolean, options: ModelRegistryOptions, signal: AbortSignal): Promise<void> {
  if (options.weightsUrl === undefined) return
  const url = `${options.weightsUrl}/weights/${encodeURIComponent(model.model)}/${encodeURIComponent(model.version)}`
  while (isStillNeeded()) {
    const delayMs = await attemptTransfer(url, signal)
    if (delayMs === undefined) return
    await sleep(options.clock, delayMs, signal)
  }
  throw new Error('the model is no longer needed')
}

/** @returns undefined when the transfer is complete, else the delay before the next attempt */
async function attemptTransfer (url: string, signal: AbortSignal): Promise<number | undefined> {
  try {
    const response = await request(url, { signal })
    await response.body.dump()
    if (response.statusCode === 200) return undefined
    const retryAfterSeconds = Number(response.headers['retry-after'])
    return retryAfterSeconds > 0 ? retryAfterSeconds * 1000 : RETRY_DELAY_MS
  } catch {
    return RETRY_DELAY_MS
  }
}
