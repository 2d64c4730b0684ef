/** Kinds of faults that a soak can inject. */
import { callerFault } from './callerFaults'
import { connectionDelay, connectionStall, endpointStall, ENGINE_FROZEN, FAILING_ENGINE } from './connectionFaults'
import { KILL_ACCEPTOR, OUTAGE_AFTER_APPLY } from './acceptanceFaults'
import { standinFault } from './platformFaults'
import { kill, LEAVING_FLAG, pause, stop, STOP_GATEWAYS } from './processFaults'
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
  stop_gateways: STOP_GATEWAYS,
  table_outage: standinFault({ standin: 'table', set: { outage: true }, restore: { outage: false } }),
  table_slow: standinFault({ standin: 'table', set: { latencyMs: SLOW_MS }, restore: { latencyMs: 0 } }),
  table_too_slow: standinFault({ standin: 'table', set: { latencyMs: TOO_SLOW_MS }, restore: { latencyMs: 0 } }),
  table_lost_replies: standinFault({ standin: 'table', set: { loseReplies: LOST_SHARE }, restore: { loseReplies: 0 } }),
  objects_outage: standinFault({ standin: 'objects', set: { outage: true }, restore: { outage: false } }),
  objects_slow: standinFault({ standin: 'objects', set: { latencyMs: SLOW_MS }, restore: { latencyMs: 0 } }),
  objects_lost_replies: standinFault({ standin: 'objects', set: { loseReplies: LOST_SHARE }, restore: { loseReplies: 0 } }),
  host_list_lag: standinFault({ standin: 'hosts', set: { lagMs: LONG_LAG_MS }, restore: { lagMs: HOST_LIST_LAG_MS } }),
  host_list_outage: standinFault({ standin: 'hosts', set: { outage: true }, restore: { outage: false } }),
  engine_frozen: ENGINE_FROZEN,
  failing_engine: FAILING_ENGINE,
  engine_silence: endpointStall('engine'),
  plain_silence: endpointStall('plain'),
  peer_silence: connectionStall('agents'),
  peer_delay: connectionDelay('agents'),
  platform_silence: connectionStall('platform'),
  platform_delay: connectionDelay('platform'),
  leaving_flag: LEAVING_FLAG,
  crashing_request: callerFault('crashingCalls'),
  failing_item: callerFault('failingItems'),
  slow_caller: callerFault('slowCallers'),
  gone_caller: callerFault('goneCallers'),
  flooding_caller: callerFault('flood')
} satisfies Record<string, FaultKind>

export type FaultName = keyof typeof FAULT_TABLE

export const FAULT_NAMES = Object.keys(FAULT_TABLE) as FaultName[]
