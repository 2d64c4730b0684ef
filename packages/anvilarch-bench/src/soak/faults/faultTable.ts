/** Kinds of faults that a soak can inject. */
import { callers } from './callerFaults'
import { connectionDelay, connectionSilence, endpointSilence, ENGINE_FROZEN, FAILING_ENGINE } from './connectionFaults'
import { KILL_ACCEPTOR, OUTAGE_AFTER_APPLY } from './momentFaults'
import { switched } from './platformFaults'
import { kill, LEAVING_FLAG, pause, stop } from './processFaults'
import type { FaultKind } from './types'

/** Lag of the fleet's host list when no fault is active. */
export const HOST_LIST_LAG_MS = 500

/** Longer than an agent takes to drain and restart. */
const LONG_LAG_MS = 8000
/** `SLOW_MS` is within the timeout of a call; `TOO_SLOW_MS` exceeds it. */
const SLOW_MS = 800
const TOO_SLOW_MS = 6000
const LOST_SHARE = 0.3

/** Kinds of faults by the names that `--faults` and `--without` accept. */
export const FAULT_TABLE = {
  kill_agent: kill(['agent']),
  kill_gateway: kill(['gateway']),
  kill_engine: kill(['engine', 'plain']),
  kill_acceptor: KILL_ACCEPTOR,
  outage_after_apply: OUTAGE_AFTER_APPLY,
  pause_agent: pause('agent'),
  pause_gateway: pause('gateway'),
  stop_agent: stop('agent'),
  stop_gateway: stop('gateway'),
  table_outage: switched({ standin: 'table', set: { outage: true }, back: { outage: false } }),
  table_slow: switched({ standin: 'table', set: { latencyMs: SLOW_MS }, back: { latencyMs: 0 } }),
  table_too_slow: switched({ standin: 'table', set: { latencyMs: TOO_SLOW_MS }, back: { latencyMs: 0 } }),
  table_lost_replies: switched({ standin: 'table', set: { loseReplies: LOST_SHARE }, back: { loseReplies: 0 } }),
  objects_outage: switched({ standin: 'objects', set: { outage: true }, back: { outage: false } }),
  objects_slow: switched({ standin: 'objects', set: { latencyMs: SLOW_MS }, back: { latencyMs: 0 } }),
  objects_lost_replies: switched({ standin: 'objects', set: { loseReplies: LOST_SHARE }, back: { loseReplies: 0 } }),
  host_list_lag: switched({ standin: 'hosts', set: { lagMs: LONG_LAG_MS }, back: { lagMs: HOST_LIST_LAG_MS } }),
  host_list_outage: switched({ standin: 'hosts', set: { outage: true }, back: { outage: false } }),
  engine_frozen: ENGINE_FROZEN,
  failing_engine: FAILING_ENGINE,
  engine_silence: endpointSilence('engine'),
  plain_silence: endpointSilence('plain'),
  peer_silence: connectionSilence('agents'),
  peer_delay: connectionDelay('agents'),
  platform_silence: connectionSilence('platform'),
  platform_delay: connectionDelay('platform'),
  leaving_flag: LEAVING_FLAG,
  crashing_request: callers('crashingCalls'),
  failing_item: callers('failingItems'),
  slow_caller: callers('slowCallers'),
  gone_caller: callers('goneCallers'),
  flooding_caller: callers('flood')
} satisfies Record<string, FaultKind>

export type FaultName = keyof typeof FAULT_TABLE

export const FAULT_NAMES = Object.keys(FAULT_TABLE) as FaultName[]
