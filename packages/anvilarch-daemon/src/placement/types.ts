/** Slots and orders of placement, which assigns the replicas of the configuration document to endpoints. */
import type { EndpointState } from 'anvilarch-protocol'

/**
 * Action of an order: `load` weights, `unload` weights, or `assign` an endpoint that already has the weights to a service.
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
  /** Incarnation of the agent in the directory when the order was sent. */
  agentIncarnation: string
  sentAtMs: number
  /** Whether the agent responded. If not, the order may or may not have arrived. */
  isAcknowledged: boolean
}

/** A model endpoint as input of planning. */
export interface Slot {
  /** `agent/endpoint`. */
  key: string
  agent: string
  endpoint: string
  failureDomain: string
  /** Whether it accepts orders now. */
  usable: boolean
  /** Whether it counts for its service: usable, or unusable for less than the grace period. */
  present: boolean
  /** Whether it may be loading weights: usable, or was until recently. */
  mayLoad: boolean
  /** Service it serves, or will serve after the pending order. */
  service: string
  models: EndpointState['models']
  /** Pending order. */
  sent?: SentOrder
}
