/** Types of the simulation of gateways that enforce rate limits. */
import type { ClientAccount, LimitBounds } from 'anvilarch-serving'
import type { FakeClock } from 'anvilarch-utils'

/** Fault in the middle of a simulation. */
export type LimitFault = 'none' | 'all_killed' | 'third_cut_off' | 'limit_lowered'

/** Size, load and fault. */
export interface LimitModelOptions {
  seed: number
  algorithm: LimitAlgorithmName
  gateways: number
  /** Limits of the accounts. The first one is the hot account, which exceeds its limit. */
  ratesPerSecond: readonly number[]
  /** Usual load of an account as a share of its limit. */
  usualShare: number
  /** Load of the hot account as a multiple of its usual load. */
  hotFactor: number
  /** Clients of an account; each one uses one gateway. */
  clientsPerAccount: number
  /** Share of datagrams that are lost. */
  lostShare: number
  fault: LimitFault
  durationMs: number
  bounds: LimitBounds
}

/** `share`: each gateway has an equal share of a limit. `gossip`: gateways broadcast what they admit. `home`: one gateway counts. */
export type LimitAlgorithmName = 'share' | 'gossip' | 'home'

/** Figures of the callers and the network. */
export interface LimitFigures {
  /** Largest excess of any account over its limit in any window, as a share of the tolerated excess. */
  overrunOfTolerance: number
  /** Share of refused requests among those that an exact counter would have admitted, over all accounts but the hot one. */
  wronglyRefusedShare: number
  /** Admitted requests of the hot account, as a share of those that an exact counter would have admitted. */
  hotAdmittedShare: number
  messagesPerSecond: number
  bytesPerSecond: number
  /** 99th percentile of the time that a request waited for the decision. */
  waitP99Ms: number
}

/** The instance of an algorithm at one gateway. */
export interface LimitAlgorithm {
  /** @returns whether a request may start */
  admit: (accountName: string) => Promise<boolean>
  onMessage: (message: unknown, from: number) => void
}

/** What an algorithm uses at one gateway. */
export interface LimitAlgorithmContext {
  clock: FakeClock
  index: number
  gatewayCount: number
  bounds: LimitBounds
  account: (name: string) => ClientAccount
  send: (to: number, message: unknown, bytes: number) => void
  /** Sends to all other gateways. */
  broadcast: (message: unknown, bytes: number) => void
  /** @returns whether this start of the gateway is still running */
  isRunning: () => boolean
}
