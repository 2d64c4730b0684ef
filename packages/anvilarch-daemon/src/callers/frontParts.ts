/** What the routes of the front share. */
import type { IntentKeeper } from '../attempts/intents/types'
import type { RequestRunner } from '../attempts/types'
import type { DaemonContext } from '../context'

/** Options of the front. */
export interface CallersServerOptions {
  /** A caller that takes nothing of its answer for this long is dropped. */
  stallMs: number
  /** Time from going unready to taking no more connections, in which the balancer notices. */
  readinessLeadMs: number
}

/** Used for what the options leave out. */
export const DEFAULT_OPTIONS: CallersServerOptions = { stallMs: 20_000, readinessLeadMs: 1_500 }

/** Shared parts of the routes. */
export interface FrontParts {
  context: DaemonContext
  runner: RequestRunner
  /** Keeps calls with an `Idempotency-Key` from running twice. */
  intents: IntentKeeper
  options: CallersServerOptions
}
