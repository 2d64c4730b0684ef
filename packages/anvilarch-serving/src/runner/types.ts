/** Types shared by the parts of a batch runner. */
import type { Pool } from '../endpoints/httpPool'
import type { EndpointTable } from '../endpoints/endpointTable'
import type { Configuration } from '../model/types'
import type { EngineReport, PlatformWire } from '../roles/types'
import type { ServingMetrics } from '../telemetry/metrics'
import type { ClaimParts } from './claims'
import type { ClaimedItem, ClaimedItems } from './claimedItems'
import type { ItemChoiceInput } from './itemChoice'
import type { ItemLifecycle } from './itemLifecycle'
import type { PaceMeter } from './paceMeter'
import type { RunTimeEstimator } from './runTimeEstimator'
import type { StartBackoff } from './startBackoff'

/** Dependencies of a batch runner. */
export interface RunnerParts extends ClaimParts {
  metrics: ServingMetrics
  endpoints: EndpointTable
  configuration: () => Configuration | undefined
  /** Reads the configuration from the store and applies it. @returns whether the store responded */
  refreshConfiguration: () => Promise<boolean>
  wire: PlatformWire
  /** Connections to the local engine. */
  pool: Pool
  /** Connections to the local engine, each used for one run only. */
  freshPool: Pool
  engineAddress: string
  /** Guaranteed retention of results, counted from submission. */
  retentionMs: number
  /** @returns age of the last listing of daemons; `Infinity` before the first one */
  membersAgeMs: () => number
  readReport: () => Promise<EngineReport | undefined>
  runTimeEstimator: RunTimeEstimator
  paceMeter: PaceMeter
}

/** State shared by the parts of one runner. */
export interface RunnerState {
  claimedItems: ClaimedItems
  lifecycle: ItemLifecycle
  /** Backoff for starts of any item at this engine. */
  engineBackoff: StartBackoff
  /** @returns whether the configuration in force routes the item's job to the service of the local engine */
  isRouted: (entry: ClaimedItem) => boolean
  /** @returns whether the item's job has expired, so that the item may be given up */
  isExpired: (entry: ClaimedItem) => boolean
  /** @returns the input for choosing items */
  choiceInput: (storeNowMs: number) => ItemChoiceInput
}
