/** What the parts of a batch runner work with. */
import type { Pool } from '../endpoints/httpPool'
import type { EndpointTable } from '../endpoints/endpointTable'
import type { Configuration } from '../model/types'
import type { EngineReport, PlatformWire } from '../roles/types'
import type { ServingMetrics } from '../telemetry/metrics'
import type { ClaimParts } from './claims'
import type { ClaimedItems } from './claimedItems'
import type { ItemChoiceInput } from './itemChoice'
import type { ItemLifecycle } from './itemLifecycle'
import type { RunTimeEstimator } from './runTimeEstimator'
import type { StartBackoff } from './startBackoff'

/** Parts of a runner. */
export interface RunnerParts extends ClaimParts {
  metrics: ServingMetrics
  endpoints: EndpointTable
  configuration: () => Configuration | undefined
  wire: PlatformWire
  /** Connections to the engine beside the agent. */
  pool: Pool
  /** The same, each for one run only. */
  freshPool: Pool
  engineAddress: string
  service: string
  /** How long results are promised, from the submission on. */
  retentionMs: number
  /** Local time at which the daemons were last listed; undefined before. */
  membersListedAtMs: () => number | undefined
  readReport: () => Promise<EngineReport | undefined>
  runTimeEstimator: RunTimeEstimator
}

/** What the parts of one runner share. */
export interface RunnerState {
  claimedItems: ClaimedItems
  lifecycle: ItemLifecycle
  /** Sends of any item that made no event. */
  engineBackoff: StartBackoff
  /** @returns what the choice of items depends on */
  choiceInput: (storeNowMs: number) => ItemChoiceInput
}
