/** Simulates arrivals at many gateways that enforce rate limits, on a simulated clock. */
import type { ClientAccount } from 'anvilarch-serving'
import { createFakeClock, createRandom, type FakeClock, type Random } from 'anvilarch-utils'
import { createLimitCounts, type LimitCounts, overrunOfTolerance } from './limitCounts'
import { LIMIT_ALGORITHMS } from './limitAlgorithms'
import type { LimitFigures, LimitModelOptions, LimitAlgorithm } from './types'

/** One-way delay of a datagram, and its spread. */
const DELAY_MS = 1
const DELAY_SPREAD_MS = 2

/** Headers of IP and UDP. */
const DATAGRAM_OVERHEAD_BYTES = 28

const STEP_MS = 1
const MS_PER_SECOND = 1000

/** Start of the fault as a share of the simulated time, and the durations of faults. */
const FAULT_AT_SHARE = 0.4
const DOWNTIME_MS = 1000
const CUT_OFF_MS = 5000

/** Share of its limit that an account has after the limit was lowered. */
const LOWERED_SHARE = 0.25

interface Gateway {
  algorithm: LimitAlgorithm
  /** Increases with each start of the gateway. */
  startNumber: number
  isDown: boolean
  isCutOff: boolean
}

interface Traffic {
  messages: number
  bytes: number
}

/**
 * @param options - size, load and fault
 * @returns figures of the callers and the network
 */
export async function runLimitModel (options: LimitModelOptions): Promise<LimitFigures> {
  const clock = createFakeClock(0)
  const random = createRandom(options.seed)
  const accounts = new Map(options.ratesPerSecond.map((rate, index) => [`a${index}`, accountOf(index, rate)]))
  const account = (name: string): ClientAccount => {
    const known = accounts.get(name)
    if (known === undefined) throw new Error(`the model has no account "${name}"`)
    return known
  }
  const traffic: Traffic = { messages: 0, bytes: 0 }
  const fleet = createFleet({ options, clock, random, account, traffic })
  const counts = createLimitCounts(account)
  const waitsMs: number[] = []

  startArrivals({ options, clock, accounts: [...accounts.values()], gateways: fleet.gateways, counts, waitsMs })
  clock.after(options.durationMs * FAULT_AT_SHARE, () => injectFault(options, clock, fleet, accounts))
  for (let elapsedMs = 0; elapsedMs < options.durationMs; elapsedMs += STEP_MS) await clock.advanceAsync(STEP_MS)

  return figuresOf(options, [...accounts.values()], counts, traffic, waitsMs)
}

function accountOf (index: number, requestsPerSecond: number): ClientAccount {
  return { name: `a${index}`, priorityRank: 0, requestsPerSecond, burstRequests: requestsPerSecond }
}

/** All gateways, and a function that restarts all of them. */
interface Fleet {
  gateways: Gateway[]
  startAll: () => void
}

interface FleetParts {
  options: LimitModelOptions
  clock: FakeClock
  random: Random
  account: (name: string) => ClientAccount
  traffic: Traffic
}

function createFleet ({ options, clock, random, account, traffic }: FleetParts): Fleet {
  const gateways: Gateway[] = []
  const deliver = (from: number, to: number, message: unknown): void => {
    const reachable = gateways[from].isCutOff === gateways[to].isCutOff
    if (reachable && !gateways[to].isDown && random.next() >= options.lostShare) gateways[to].algorithm.onMessage(message, from)
  }
  const send = (from: number, to: readonly number[], message: unknown, bytes: number): void => {
    traffic.messages += to.length
    traffic.bytes += to.length * (bytes + DATAGRAM_OVERHEAD_BYTES)
    clock.after(DELAY_MS + DELAY_SPREAD_MS * random.next(), () => to.forEach(receiver => deliver(from, receiver, message)))
  }
  const startGateway = (index: number): void => {
    const startNumber = (gateways[index]?.startNumber ?? 0) + 1
    const others = Array.from({ length: options.gateways }, (_, other) => other).filter(other => other !== index)
    const algorithm = LIMIT_ALGORITHMS[options.algorithm]({
      clock,
      index,
      gatewayCount: options.gateways,
      bounds: options.bounds,
      account,
      send: (to, message, bytes) => send(index, [to], message, bytes),
      broadcast: (message, bytes) => send(index, others, message, bytes),
      isRunning: () => gateways[index].startNumber === startNumber && !gateways[index].isDown
    })
    gateways[index] = { algorithm, startNumber, isDown: false, isCutOff: false }
  }
  const startAll = (): void => { for (let index = 0; index < options.gateways; index++) startGateway(index) }
  startAll()
  return { gateways, startAll }
}

function injectFault (options: LimitModelOptions, clock: FakeClock, { gateways, startAll }: Fleet, accounts: Map<string, ClientAccount>): void {
  switch (options.fault) {
    case 'none':
      return
    case 'all_killed':
      for (const gateway of gateways) gateway.isDown = true
      clock.after(DOWNTIME_MS, startAll)
      return
    case 'third_cut_off':
      gateways.forEach((gateway, index) => { gateway.isCutOff = index % 3 === 0 })
      clock.after(CUT_OFF_MS, () => gateways.forEach(gateway => { gateway.isCutOff = false }))
      return
    case 'limit_lowered':
      for (const [name, account] of accounts) accounts.set(name, { ...account, requestsPerSecond: account.requestsPerSecond * LOWERED_SHARE })
  }
}

interface ArrivalParts {
  options: LimitModelOptions
  clock: FakeClock
  accounts: readonly ClientAccount[]
  gateways: Gateway[]
  counts: LimitCounts
  waitsMs: number[]
}

function startArrivals ({ options, clock, accounts, gateways, counts, waitsMs }: ArrivalParts): void {
  // Arrivals have random numbers of their own, so that they are the same with all algorithms.
  const random = createRandom(options.seed + 1000)
  accounts.forEach((account, index) => {
    const clients = Array.from({ length: options.clientsPerAccount }, () => random.between(0, gateways.length - 1))
    const perSecond = account.requestsPerSecond * options.usualShare * (index === 0 ? options.hotFactor : 1)
    const arrive = (): void => {
      const gateway = gateways[random.pick(clients)]
      if (gateway.isDown) return
      const arrivedAtMs = clock.nowMs()
      const wouldBeAdmitted = counts.onArrival(account.name, arrivedAtMs)
      gateway.algorithm.admit(account.name).then(admitted => {
        waitsMs.push(clock.nowMs() - arrivedAtMs)
        counts.onDecision(account.name, admitted, wouldBeAdmitted, clock.nowMs())
      }, error => { throw error })
    }
    const next = (): void => {
      clock.after(-Math.log(1 - random.next()) * MS_PER_SECOND / perSecond, () => {
        arrive()
        next()
      })
    }
    next()
  })
}

function figuresOf (options: LimitModelOptions, accounts: readonly ClientAccount[], counts: LimitCounts, traffic: Traffic, waitsMs: number[]): LimitFigures {
  const [hot, ...others] = accounts
  const lowered = options.fault === 'limit_lowered'
  const overruns = accounts.map(account => {
    // A lower limit is checked from one window after it was applied.
    const fromMs = lowered ? options.durationMs * FAULT_AT_SHARE + options.bounds.windowMs : 0
    return overrunOfTolerance(counts.of(account.name).admittedAtMs.filter(atMs => atMs >= fromMs), account, options.bounds)
  })
  const wronglyRefused = sum(others.map(({ name }) => counts.of(name).wronglyRefused))
  const allowed = sum(others.map(({ name }) => counts.of(name).allowed))
  const seconds = options.durationMs / MS_PER_SECOND
  const sorted = waitsMs.sort((a, b) => a - b)
  return {
    overrunOfTolerance: Math.max(...overruns),
    wronglyRefusedShare: wronglyRefused / Math.max(1, allowed),
    hotAdmittedShare: counts.of(hot.name).admittedAtMs.length / Math.max(1, counts.of(hot.name).allowed),
    messagesPerSecond: traffic.messages / seconds,
    bytesPerSecond: traffic.bytes / seconds,
    waitP99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? 0
  }
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
