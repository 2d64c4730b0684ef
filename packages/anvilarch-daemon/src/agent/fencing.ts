/**
 * Fencing of orders. The token of an order is the epoch of the placement lease, and an order with a token lower than the
 * highest one seen was sent by a process that lost the lease during a process pause. After a restart the agent has seen
 * no token, so that it must read the epoch of the lease row, the floor, before it accepts any order. Pure.
 */
import { invariant } from 'anvilarch-utils'

/** Tokens seen by the agent. */
export interface FencingState {
  /** The lease row has been read since the agent started. */
  floorKnown: boolean
  highestToken: number
}

/** An event that carries a token. */
export type FencingEvent =
  | { kind: 'floor', token: number }
  /** An order has arrived. */
  | { kind: 'order', token: number }
  /** An accepted order is about to be sent to the endpoint; a newer one may have arrived in the meantime. */
  | { kind: 'apply', token: number }

/** Decision on an order. */
export type FencingDecision = 'allowed' | 'no_floor' | 'stale_fencing_token'

/** State before the floor is known and any order has been seen. */
export const INITIAL_FENCING: FencingState = { floorKnown: false, highestToken: 0 }

/**
 * @param state - tokens seen so far
 * @param event - the event to apply
 * @returns the next state, and the decision
 */
export function fencingStep (state: FencingState, event: FencingEvent): { state: FencingState, decision: FencingDecision } {
  const next = advance(state, event)
  invariant(next.highestToken >= state.highestToken, 'fencing_token_grows', () => `${state.highestToken} became ${next.highestToken}`)
  return { state: next, decision: decisionOn(next, event) }
}

function advance (state: FencingState, event: FencingEvent): FencingState {
  if (event.kind === 'floor') return { floorKnown: true, highestToken: Math.max(state.highestToken, event.token) }
  return { ...state, highestToken: Math.max(state.highestToken, event.token) }
}

function decisionOn (state: FencingState, event: FencingEvent): FencingDecision {
  if (!state.floorKnown) return 'no_floor'
  return event.token < state.highestToken ? 'stale_fencing_token' : 'allowed'
}
