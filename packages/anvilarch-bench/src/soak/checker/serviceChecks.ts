/** Checks of a service as a whole: whether its endpoints get their models back, and whether it answers at all. */
import type { EngineProcess, Evidence, FaultRecord } from '../types'
import { groupBy } from './callChecks'
import { CRASHING_FAULT, isDisturbed } from './disturbance'
import type { Check, Finding } from './types'

/** An endpoint that is gone for longer than the placement's grace is replaced, so one that is back has its load ordered within it. */
const REPLACEMENT_GRACE_MS = 10_000

/** A planned stop of the holder hands the placement to another gateway meanwhile. */
const HANDOVER_MS = 10_000

/** From when an endpoint is back to the order that loads its model. */
export const RELOAD_BOUND_MS = REPLACEMENT_GRACE_MS + HANDOVER_MS

/** A service that answers nothing for this long is down. */
export const DOWN_MS = 10_000

/** Fewer calls say little of a service. */
const LEAST_CALLS = 20

/** Faults that keep no gateway from ordering a load. */
const HARMLESS_TO_ORDERS: ReadonlySet<string> = new Set([
  CRASHING_FAULT, 'stop_gateway', 'stop_agent', 'failing_item', 'slow_caller', 'gone_caller', 'flooding_caller', 'objects_outage', 'objects_slow', 'objects_lost_replies'
])

export const SERVICE_CHECKS: Check[] = [
  { name: 'engines that came back and got no order to load in time', run: enginesWithoutLoad },
  { name: 'ten seconds without a whole answer of the model service', run: secondsWithoutAnswer }
]

function enginesWithoutLoad (evidence: Evidence): Finding {
  const judged = evidence.engineProcesses.filter(engine => engine.lastSeenMs - engine.firstSeenMs >= RELOAD_BOUND_MS && !mayLackOrders(engine, evidence))
  const wrong = judged.filter(engine => !evidence.orders.some(order =>
    order.endpoint === engine.endpoint && order.processId === engine.processId && order.action === 'load' && order.atMs <= engine.firstSeenMs + RELOAD_BOUND_MS))
  return { trials: judged.length, wrong: wrong.map(engine => `${engine.endpoint} (process ${engine.processId}) was back at ${engine.firstSeenMs} and had no order until ${engine.firstSeenMs + RELOAD_BOUND_MS}`) }
}

function mayLackOrders (engine: EngineProcess, evidence: Evidence): boolean {
  const untilMs = engine.firstSeenMs + RELOAD_BOUND_MS
  const agents = evidence.leaves.filter(leave => leave.endpoints.includes(engine.endpoint)).map(leave => leave.agent)
  const delays = (fault: FaultRecord): boolean => !HARMLESS_TO_ORDERS.has(fault.fault) || agents.includes(fault.target)
  return evidence.faults.some(fault => delays(fault) && fault.injectedAtMs <= untilMs && fault.healedAtMs + HANDOVER_MS >= engine.firstSeenMs)
}

/** Requests that crash engines are no excuse: each is bounded in how many it ends, and the engines come back. */
function secondsWithoutAnswer (evidence: Evidence): Finding {
  const calls = evidence.calls.filter(call => call.kind === 'chat' || call.kind === 'stream')
  const firstMs = Math.min(...calls.map(call => call.sentAtMs))
  const windows = groupBy(calls, call => String(Math.floor((call.sentAtMs - firstMs) / DOWN_MS)))
  const judged = [...windows.values()].filter(sent => sent.length >= LEAST_CALLS && !sent.some(call => isDisturbed(call, evidence.faults, CRASHING_FAULT)))
  const wrong = judged.filter(sent => !sent.some(call => call.told === 'whole'))
  return { trials: judged.length, wrong: wrong.map(sent => `none of ${sent.length} calls from ${sent[0].sentAtMs} on got its whole answer`) }
}
