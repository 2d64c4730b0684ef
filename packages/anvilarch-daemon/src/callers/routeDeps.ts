/** Shared dependencies of the routes for callers. */
import type { KeyedCallRunner } from '../attempts/intents/types'
import type { RequestRunner } from '../attempts/types'
import type { DaemonContext } from '../context'

/** Options of the server for callers. */
export interface CallersServerOptions {
  /** Time after which a caller that reads nothing of its response is disconnected. */
  stallMs: number
  /** Time between becoming unready and accepting no more connections, in which the load balancer detects the change. */
  readinessLeadMs: number
}

/** Defaults of the options. */
export const DEFAULT_OPTIONS: CallersServerOptions = { stallMs: 20_000, readinessLeadMs: 1_500 }

/** Dependencies of the routes. */
export interface RouteDeps {
  context: DaemonContext
  runner: RequestRunner
  /** Prevents calls with an `Idempotency-Key` from running twice. */
  intents: KeyedCallRunner
  options: CallersServerOptions
}
