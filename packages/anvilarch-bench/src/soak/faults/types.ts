/** Types of kinds of faults and of what they act on. */
import type { Fleet } from 'anvilarch-standins'
import type { Clock, Random } from 'anvilarch-utils'
import type { FaultRelay } from '../relay/faultRelay'
import type { DrainRecord, StopRecord } from '../types'

/** An active fault, with the function that ends it. */
export interface InjectedFault {
  /** Description of the target, for the record. */
  target: string
  /** How long the fault stays active. */
  durationMs: number
  heal: () => Promise<void>
}

/** Switches of the load, which faults of callers turn on. */
export interface LoadSwitches {
  /** Callers that read their streams slowly. */
  slowCallers: boolean
  /** Callers that disconnect before the response ends. */
  goneCallers: boolean
  /** A caller that exceeds its rate limit. */
  flood: boolean
  /** Requests that crash endpoints. */
  crashingCalls: boolean
  /** Callers that keep their connection and send the ends of their bodies late. */
  lateBodies: boolean
  /** Jobs with an item that always fails. */
  failingItems: boolean
  /** Called when a gateway has accepted a job or a document. */
  onAccepted?: (acceptance: Acceptance) => void
}

/** Name of a switch that is on or off. */
export type CallerSwitch = Exclude<keyof LoadSwitches, 'onAccepted'>

/** A job or document that a gateway has just accepted. */
export interface Acceptance {
  kind: 'job' | 'document'
  gateway: string
}

/** Relays between the processes of the fleet. */
export interface FleetRelays {
  /** Between gateways and agents, by agent. */
  agents: Map<string, FaultRelay>
  /** Between daemons and the platform, by stand-in. */
  platform: Map<'table' | 'objects' | 'hosts', FaultRelay>
}

/** Dependencies of faults. */
export interface FaultContext {
  fleet: Fleet
  clock: Clock
  random: Random
  relays: FleetRelays
  load: LoadSwitches
  /** Names of the processes and stand-ins claimed by active faults, so that two faults of a pair do not undo each other. */
  claimed: Set<string>
  recordStop: (stop: StopRecord) => void
  recordDrain: (drain: DrainRecord) => void
}

/** A kind of fault. */
export interface FaultKind {
  /** Injects the fault, or returns undefined if other faults have claimed all possible targets. */
  inject: (context: FaultContext) => Promise<InjectedFault | undefined>
}
