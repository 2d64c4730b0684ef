/** Checks of a service as a whole: whether restarted endpoints get their models loaded, and whether any call succeeds. */
import type { EngineProcess, Evidence, FaultRecord } from '../types'
import { groupBy } from './callChecks'
import { CRASHING_FAULT, isDisturbed } from './disturbance'
import type { Check, Finding } from './types'

/** Grace period after which the placement replaces a missing endpoint; a restarted one gets its order to load within it. */
const REPLACEMENT_GRACE_MS = 10_000

/** Time for another gateway to take over the placement when the gateway that leases it stops. */
const HANDOVER_MS = 10_000

/** Limit from the restart of an endpoint to the order that loads its model. */
export const RELOAD_BOUND_MS = REPLACEMENT_GRACE_MS + HANDOVER_MS

/** A service with no complete response in a window of this length is down. */
export const DOWN_WINDOW_MS = 10_000

/** Windows with fewer calls are not checked, because they are not representative of the service. */
const MIN_CALLS_PER_WINDOW = 20

/** Faults that do not keep gateways from ordering a load. */
const FAULTS_NOT_DELAYING_ORDERS: ReadonlySet<string> = new Set([
  CRASHING_FAULT, 'stop_gateway', 'stop_gateways', 'stop_agent', 'failing_item', 'slow_caller', 'gone_caller', 'flooding_caller', 'objects_outage', 'objects_slow', 'objects_lost_replies'
])

export const SERVICE_CHECKS: Check[] = [
  { name: 'engines that came back and got no order to load in time', run: enginesWithoutLoad },
  { name: 'ten seconds without a whole answer of the model service', run: windowsWithoutResponse }
]

function enginesWithoutLoad (evidence: Evidence): Finding {
  const checked = evidence.engineProcesses.filter(engine => engine.lastSeenMs - engine.firstSeenMs >= RELOAD_BOUND_MS && !mayMissOrders(engine, evidence))
  const wrong = checked.filter(engine => !evidence.orders.some(order =>
    order.endpoint === engine.endpoint && order.processId === engine.processId && order.action === 'load' && order.atMs <= engine.firstSeenMs + RELOAD_BOUND_MS))
  return { trials: checked.length, wrong: wrong.map(engine => `${engine.endpoint} (process ${engine.processId}) was first seen at ${engine.firstSeenMs} and got no order to load until ${engine.firstSeenMs + RELOAD_BOUND_MS}`) }
}

function mayMissOrders (engine: EngineProcess, evidence: Evidence): boolean {
  const untilMs = engine.firstSeenMs + RELOAD_BOUND_MS
  const agents = evidence.leaves.filter(drain => drain.endpoints.includes(engine.endpoint)).map(drain => drain.agent)
  const delays = (fault: FaultRecord): boolean => !FAULTS_NOT_DELAYING_ORDERS.has(fault.fault) || agents.includes(fault.target)
  return evidence.faults.some(fault => delays(fault) && fault.injectedAtMs <= untilMs && fault.healedAtMs + HANDOVER_MS >= engine.firstSeenMs)
}

/** Crashing requests do not exempt a window: each may end a limited number of engines, and the engines restart. */
function windowsWithoutResponse (evidence: Evidence): Finding {
  const calls = evidence.calls.filter(call => call.kind === 'chat' || call.kind === 'stream')
  const firstMs = Math.min(...calls.map(call => call.sentAtMs))
  const windows = groupBy(calls, call => String(Math.floor((call.sentAtMs - firstMs) / DOWN_WINDOW_MS)))
  const checked = [...windows.values()].filter(sent => sent.length >= MIN_CALLS_PER_WINDOW && !sent.some(call => isDisturbed(call, evidence.faults, CRASHING_FAULT)))
  const wrong = checked.filter(sent => !sent.some(call => call.told === 'whole'))
  return { trials: checked.length, wrong: wrong.map(sent => `none of ${sent.length} calls from ${sent[0].sentAtMs} on got a complete response`) }
}
