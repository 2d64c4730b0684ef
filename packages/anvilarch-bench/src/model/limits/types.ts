/** A modelled fleet of gateways that keep limits of rate, and what is counted there. */
import type { ClientAccount, LimitBounds } from 'anvilarch-serving'
import type { FakeClock } from 'anvilarch-utils'

/** What goes wrong in the middle of a play. */
export type LimitTrouble = 'none' | 'all_killed' | 'third_cut_off' | 'limit_lowered'

/** Size, load and trouble. */
export interface LimitModelOptions {
  seed: number
  way: LimitWayName
  gateways: number
  /** Limits of the accounts; the first one is the hot one. */
  ratesPerSecond: readonly number[]
  /** Part of its limit that an account usually asks for. */
  usualShare: number
  /** How many times its usual the hot account asks for. */
  hotFactor: number
  /** Clients of an account; each one keeps to a gateway. */
  clientsPerAccount: number
  /** Part of the datagrams that are lost. */
  lostShare: number
  trouble: LimitTrouble
  durationMs: number
  bounds: LimitBounds
}

/** `share`: each gateway has the same part of a limit. `gossip`: all tell all what they admit. `home`: one gateway counts. */
export type LimitWayName = 'share' | 'gossip' | 'home'

/** What callers and the network saw. */
export interface LimitFigures {
  /** Largest excess of any account over its limit in any window, as part of the excess that is allowed. */
  overrunOfTolerance: number
  /** Part of what an exact counter would have admitted that was refused, over accounts within their limit. */
  wronglyRefusedShare: number
  /** What the account beyond its limit was admitted, as part of what an exact counter would have admitted. */
  hotAdmittedShare: number
  messagesPerSecond: number
  bytesPerSecond: number
  /** Longest time that a request waited for its permit. */
  waitP99Ms: number
}

/** Decides for one gateway. */
export interface LimitWay {
  /** @returns whether a request may start */
  admit: (accountName: string) => Promise<boolean>
  onMessage: (message: unknown, from: number) => void
}

/** What a way works with at one gateway. */
export interface LimitWayContext {
  clock: FakeClock
  index: number
  gatewayCount: number
  bounds: LimitBounds
  account: (name: string) => ClientAccount
  send: (to: number, message: unknown, bytes: number) => void
  /** Sends to all others. */
  broadcast: (message: unknown, bytes: number) => void
  /** @returns whether this life of the gateway has not ended */
  isAlive: () => boolean
}
