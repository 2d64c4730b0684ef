/** Picks and claims the targets of faults, so that the faults of a pair act on different ones. */
import type { ProcessRole } from 'anvilarch-standins'
import type { FaultContext } from './types'

/**
 * @param context - of the run
 * @param roles - of possible target processes
 * @returns a running process that was not claimed, now claimed; undefined if there is none
 */
export function claimTarget (context: FaultContext, roles: ProcessRole[]): string | undefined {
  const available = roles
    .flatMap(role => context.fleet.processes(role))
    .filter(({ spec, processId }) => processId !== undefined && !context.claimed.has(spec.name))
    .map(({ spec }) => spec.name)
  // The last unclaimed gateway is not picked, because a platform would not remove all entry hosts at once.
  const claimedGateways = context.fleet.processes('gateway').filter(({ spec }) => context.claimed.has(spec.name)).length
  const isLastGateway = claimedGateways >= context.fleet.processes('gateway').length - 1
  const allowed = isLastGateway ? available.filter(name => context.fleet.get(name).spec.role !== 'gateway') : available
  if (allowed.length === 0) return undefined
  const target = context.random.pick(allowed)
  context.claimed.add(target)
  return target
}

/**
 * @param context - of the run
 * @param name - of a process or a stand-in
 * @returns whether the claim succeeded; false if another fault has claimed it
 */
export function claim (context: FaultContext, name: string): boolean {
  if (context.claimed.has(name)) return false
  context.claimed.add(name)
  return true
}

/**
 * @param context - of the run
 * @param name - claimed before
 */
export function release (context: FaultContext, name: string): void {
  context.claimed.delete(name)
}
