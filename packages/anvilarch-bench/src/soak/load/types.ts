/** Types and names shared by all parts of the load. */
import type { Clock, Random } from 'anvilarch-utils'
import type { Dispatcher } from 'undici'
import type { LoadSwitches } from '../faults/types'
import type { Evidence } from '../types'

/** A gateway as callers reach it. */
export interface GatewayAddress {
  name: string
  origin: string
}

/** Picks gateways as the platform's load balancer would. */
export interface GatewayPool {
  /** @returns a gateway that was ready at its last poll, or any gateway if none was */
  pick: () => GatewayAddress
  /** @returns a gateway as `pick` does, but not the named one */
  pickOther: (name: string) => GatewayAddress
}

/** Dependencies of every part of the load. */
export interface LoadContext {
  clock: Clock
  random: Random
  dispatcher: Dispatcher
  gateways: GatewayPool
  evidence: Evidence
  switches: LoadSwitches
  /** Part of names, which makes them unique across runs. */
  seed: number
  /** Aborted when no more requests are to be sent. */
  signal: AbortSignal
}

/** Text in a request that crashes the engine that runs it. */
export const CRASH_MARKER = 'soak-marker-crash'

/** Text in a request to which the engine responds with an error. */
export const FAIL_MARKER = 'soak-marker-fail'

/** Names in the configuration document of the soak. */
export const MODEL = 'registrar-small'
export const PLAIN_SERVICE = 'lookup'
