/** Orders that put the replicas of the document on endpoints. */
import type { EndpointState } from 'anvilarch-protocol'

/**
 * What an order does: `load` weights, `unload` them, or `assign` an endpoint that has them already to a service.
 * An endpoint keeps its service when its weights are unloaded; it is released by assigning it to no service.
 */
export type OrderAction = 'load' | 'unload' | 'assign'

/** One order to one endpoint. */
export interface PlannedOrder {
  agent: string
  endpoint: string
  action: OrderAction
  service: string
  model: string
  version: string
  adapters: string[]
}

/** An order that was sent and whose effect the endpoint has not reported yet. */
export interface SentOrder extends PlannedOrder {
  orderId: string
  /** Process of the agent as it was known at the time of sending. */
  agentIncarnation: string
  sentAtMs: number
  /** Whether the agent answered. Otherwise it may have the order, or may never get it. */
  isAnswered: boolean
}

/** A model endpoint as the plan sees it. */
export interface Slot {
  /** `agent/endpoint`. */
  key: string
  agent: string
  endpoint: string
  failureDomain: string
  /** Takes orders now. */
  usable: boolean
  /** Counts for its service: usable, or gone for a short time only. */
  present: boolean
  /** Whether weights may be on their way to it: it answers, or did until a short time ago. */
  mayLoad: boolean
  /** Service that it serves, or will serve when the order under way has taken effect. */
  service: string
  models: EndpointState['models']
  /** The order under way. */
  sent?: SentOrder
}
