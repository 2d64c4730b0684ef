/** Injects faults in rounds until a given time, and heals each. */
import { type Clock, type Random, sleep } from 'anvilarch-utils'
import type { FaultRecord } from '../types'
import { createFaultSchedule } from './faultSchedule'
import { FAULT_TABLE, type FaultName } from './faultTable'
import type { FaultContext, FaultKind } from './types'

/** Options of `runFaults`. */
export interface RunFaultsOptions {
  context: FaultContext
  names: readonly FaultName[]
  /** No round starts after this monotonic time. */
  untilMs: number
  records: FaultRecord[]
  /** Waits until the fleet has recovered between two rounds. */
  waitForRecovery: () => Promise<void>
  log: (line: string) => void
  signal: AbortSignal
}

/** Longest delay of the second fault of a pair, which may thus occur during the recovery from the first. */
const MAX_PAIR_DELAY_MS = 3000
/** Time without faults after each round, so that some calls run undisturbed. */
const MIN_UNDISTURBED_MS = 1000
const MAX_UNDISTURBED_MS = 4000

/**
 * @param options - what to inject and until when
 * @returns a promise that resolves when all faults are healed
 */
export async function runFaults (options: RunFaultsOptions): Promise<void> {
  const { context, signal } = options
  const { clock, random } = context
  const schedule = createFaultSchedule(options.names, random)
  while (clock.nowMs() < options.untilMs && !signal.aborted) {
    const names = schedule.next()
    await Promise.all(names.map(async (name, index) => {
      await sleep(clock, index === 0 ? 0 : random.between(0, MAX_PAIR_DELAY_MS), signal)
      await applyFault(options, name)
    }))
    await options.waitForRecovery()
    await sleep(clock, undisturbedMs(clock, random, options.untilMs), signal)
  }
}

function undisturbedMs (clock: Clock, random: Random, untilMs: number): number {
  return Math.min(random.between(MIN_UNDISTURBED_MS, MAX_UNDISTURBED_MS), Math.max(0, untilMs - clock.nowMs()))
}

async function applyFault (options: RunFaultsOptions, name: FaultName): Promise<void> {
  const { context, records, log, signal } = options
  const { clock } = context
  const kind: FaultKind = FAULT_TABLE[name]
  const record: FaultRecord = { fault: name, target: '', injectedAtMs: clock.wallMs(), healedAtMs: Infinity }
  // Recorded before it is injected: the checks must not treat a call that ended in between as undisturbed.
  records.push(record)
  const injected = await kind.inject(context)
  if (injected === undefined) {
    records.splice(records.indexOf(record), 1)
    return
  }
  record.target = injected.target
  log(`${name} on ${injected.target} for ${injected.durationMs} ms`)
  await sleep(clock, injected.durationMs, signal)
  await injected.heal()
  record.healedAtMs = clock.wallMs()
  log(`${name} healed`)
}
