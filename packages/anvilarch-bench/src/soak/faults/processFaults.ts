/** Faults of processes: killed, paused until their leases expire, and stopped as planned. */
import type { ProcessRole } from 'anvilarch-standins'
import { sleep } from 'anvilarch-utils'
import { claimTarget, release } from './targets'
import type { FaultContext, FaultKind, InjectedFault } from './types'

/** Longer than a lease of the soak's fleet plus the margin after which other daemons treat it as expired. */
const MIN_PAUSE_MS = 6000
const MAX_PAUSE_MS = 9000
const MIN_DOWNTIME_MS = 500
const MAX_DOWNTIME_MS = 6000
/** A drain may take as long as the longest request of the load, not longer. */
const DRAIN_TIMEOUT_MS = 45_000

/**
 * @param roles - of the processes to kill
 * @returns a fault that kills one of them and restarts it later
 */
export function kill (roles: ProcessRole[]): FaultKind {
  return {
    inject: async context => {
      const target = claimTarget(context, roles)
      return target === undefined ? undefined : await killAndRestartLater(context, target)
    }
  }
}

/**
 * @param context - of the run
 * @param target - a running process that the fault has claimed
 * @returns the fault, healed by a restart
 */
export async function killAndRestartLater (context: FaultContext, target: string): Promise<InjectedFault> {
  context.fleet.kill(target, 'SIGKILL')
  await context.fleet.waitExit(target, DRAIN_TIMEOUT_MS)
  return {
    target,
    durationMs: context.random.between(MIN_DOWNTIME_MS, MAX_DOWNTIME_MS),
    heal: async () => { await restart(context, target) }
  }
}

/**
 * @param role - of the process to pause
 * @returns a fault that suspends one until its leases have expired, and then resumes it
 */
export function pause (role: ProcessRole): FaultKind {
  return {
    inject: async context => {
      const target = claimTarget(context, [role])
      if (target === undefined) return undefined
      context.fleet.kill(target, 'SIGSTOP')
      return {
        target,
        durationMs: context.random.between(MIN_PAUSE_MS, MAX_PAUSE_MS),
        heal: async () => {
          context.fleet.kill(target, 'SIGCONT')
          release(context, target)
        }
      }
    }
  }
}

/**
 * @param role - of the daemon to stop
 * @returns a planned stop: the daemon drains, exits and is restarted
 */
export function stop (role: 'agent' | 'gateway'): FaultKind {
  return {
    inject: async context => {
      const target = claimTarget(context, [role])
      if (target === undefined) return undefined
      const exited = stopAndRecord(context, target)
      return {
        target,
        durationMs: context.random.between(MIN_DOWNTIME_MS, MAX_DOWNTIME_MS),
        heal: async () => {
          await exited
          await restart(context, target)
        }
      }
    }
  }
}

/** Stops several gateways in series while callers keep their connections, and repeats a signal. */
export const STOP_GATEWAYS: FaultKind = {
  inject: async context => {
    const { clock, load, random } = context
    const targets = Array.from({ length: GATEWAYS_IN_SERIES }, () => claimTarget(context, ['gateway'])).filter(target => target !== undefined)
    if (targets.length === 0) return undefined
    load.lateBodies = true
    await sleep(clock, random.between(0, MAX_SIGNAL_GAP_MS))
    const restarted: Array<Promise<void>> = []
    for (const target of targets) {
      restarted.push(stopTwiceAndRestart(context, target))
      await sleep(clock, random.between(0, MAX_SIGNAL_GAP_MS))
    }
    return {
      target: targets.join(', '),
      durationMs: random.between(MIN_DOWNTIME_MS, MAX_DOWNTIME_MS),
      heal: async () => {
        await Promise.all(restarted)
        load.lateBodies = false
      }
    }
  }
}

const GATEWAYS_IN_SERIES = 2
const MAX_SIGNAL_GAP_MS = 2000

async function stopTwiceAndRestart (context: FaultContext, target: string): Promise<void> {
  const { clock, fleet, random } = context
  const exited = stopAndRecord(context, target)
  await sleep(clock, random.between(0, MAX_SIGNAL_GAP_MS))
  fleet.kill(target, random.pick(['SIGTERM', 'SIGHUP'] as const))
  await exited
  await restart(context, target)
}

/** Sends the signal by which an agent detects that the platform will power down its host, and records the exit. */
async function stopAndRecord (context: FaultContext, target: string): Promise<void> {
  const { clock, fleet } = context
  const toldAtMs = clock.wallMs()
  fleet.kill(target, 'SIGTERM')
  const exit = await fleet.waitExit(target, DRAIN_TIMEOUT_MS).catch(() => undefined)
  const endedAtMs = clock.wallMs()
  context.recordStop({ daemon: target, toldAtMs, endedAtMs, exitCode: exit?.code ?? null })
  const { spec } = fleet.get(target)
  if (spec.fronts !== undefined) context.recordDrain({ agent: target, endpoints: spec.fronts, by: 'signal', sinceMs: toldAtMs, untilMs: endedAtMs })
  if (exit !== undefined) return
  fleet.kill(target, 'SIGKILL')
  await fleet.waitExit(target, DRAIN_TIMEOUT_MS)
}

/** Lists the host of an agent as leaving without a signal to the agent. */
export const LEAVING_FLAG: FaultKind = {
  inject: async (context): Promise<InjectedFault | undefined> => {
    const { clock, fleet, random } = context
    const target = claimTarget(context, ['agent'])
    if (target === undefined) return undefined
    await setHostState(context, target, 'leaving')
    const { lagMs } = await fleet.setFaults('hosts', {})
    const sinceMs = clock.wallMs() + lagMs
    return {
      target,
      durationMs: lagMs + random.between(MIN_LEAVING_MS, MAX_LEAVING_MS),
      heal: async () => {
        context.recordDrain({ agent: target, endpoints: fleet.get(target).spec.fronts ?? [], by: 'host_list', sinceMs, untilMs: clock.wallMs() })
        await setHostState(context, target, 'live')
        release(context, target)
      }
    }
  }
}

/** Longer than the limit for new work on a leaving endpoint, so that late work is detected. */
const MIN_LEAVING_MS = 8000
const MAX_LEAVING_MS = 12_000

/** Restarts a process, unless it is an endpoint that its supervisor has already restarted after a crash. */
async function restart (context: FaultContext, target: string): Promise<void> {
  const { fleet } = context
  const { spec, processId } = fleet.get(target)
  if (processId === undefined) {
    try {
      await fleet.spawn(target)
    } catch (error) {
      // The process may be running although the host list could not be updated during an outage of its own.
      if (fleet.get(target).processId === undefined) throw error
    }
  }
  if (spec.hostEntry !== undefined) await setHostState(context, target, 'live')
  release(context, target)
}

/** Retries until the stand-in accepts the change, since an outage of the host list may be active at the same time. */
async function setHostState (context: FaultContext, daemon: string, state: 'live' | 'leaving'): Promise<void> {
  for (;;) {
    try {
      await context.fleet.setHostState(daemon, state)
      return
    } catch {
      await sleep(context.clock, RETRY_MS)
    }
  }
}

const RETRY_MS = 200
