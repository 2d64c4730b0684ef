/** Types of the settings and parts that an adapter passes to a role. */
import type { Clock, ProcessResources, Random } from 'anvilarch-utils'
import type { LimitBounds } from '../accounts/limits/limitBounds'
import type { LoadReport } from '../endpoints/peerMessages'
import type { PeerAddress } from '../endpoints/peerSocket'
import type { JobItem } from '../jobs/types'
import type { JobResult, ResultPage } from '../jobs/resultReader'
import type { EndpointRow, ListedConfiguration } from '../model/types'
import type { PeerDirectory } from '../peers/peerDirectory'
import type { RequestWire, SendOptions } from '../requests/types'
import type { MetadataStore, RowChange, StoredRow } from '../store/types'
import type { ServingMetrics } from '../telemetry/metrics'
import type { EventLog } from '../telemetry/events'

/** Settings of a process, decoded and checked. */
export interface ServingSettings {
  name: string
  failureDomain: string
  ip: string
  /** Port for traffic between daemons, TCP and UDP. */
  peerPort: number
  /** Time from SIGTERM until the process is killed, in milliseconds. */
  stopGraceMs: number
  /** Time after an outage or a network partition in which this host still counts as out of contact. By its end, the host must have caught up with the store. */
  contactMs: number
  maxRowBytes: number
  /** What this process may use. */
  resources: ProcessResources
  /** Guaranteed retention of the results of a job, in milliseconds from its submission. */
  retentionMs: number
  /** Permitted deviation from rate limits. */
  limitBounds: LimitBounds
  /** Whether accounts above their share are refused first while room is short. */
  sharesRoom: boolean
  /** Whether the fleet starts for the first time, so that no stream has begun before. */
  isFirstStart: boolean
  /** Whether a gateway that has had no response from the store for `maxRevocationDelayMs` refuses callers with keys. */
  failsClosed: boolean
  /** Longest time for which a revoked key may still be accepted, in milliseconds. */
  maxRevocationDelayMs: number
  /** Set for the gateway role only. */
  gateway: GatewaySettings | undefined
  /** Set for the agent role only. */
  agent: AgentSettings | undefined
}

/** Addresses that a gateway listens on. */
export interface GatewaySettings {
  clients: PeerAddress
  readiness: PeerAddress
}

/** The engine on the host of an agent. */
export interface AgentSettings {
  engineAddress: string
}

/** Encoding of job calls in the adapter's protocol. */
export interface JobWire {
  /** Path pattern of the results of a job, for find-my-way, with `:id`. */
  resultsPath: string
  /** Path pattern of the body of an item. */
  itemPath: string
  /** Query parameter for the position of the first result to return. */
  afterParameter: string
  /** Query parameter for the item. */
  itemParameter: string
  /** @returns how long a read may wait for results, in milliseconds */
  waitMs: (headers: NodeJS.Dict<string | string[]>) => number
  /** @returns the items, or the problem with the body */
  decodeSubmission: (body: Buffer) => JobItem[] | { problem: string }
  encodePage: (page: ResultPage) => unknown
}

/** A request that an engine runs. */
export interface EngineRun {
  requestId: string
  /** Events that it has produced. */
  events: number
}

/** Status report of an engine. */
export interface EngineReport {
  running: number
  waiting: number
  /** Empty if the engine does not list its runs. */
  runs: EngineRun[]
  /** Start time that the engine reports, in Unix milliseconds; undefined if it reports none. */
  bornAtMs: number | undefined
}

/** Encoding of reports and item runs in the engine's protocol. */
export interface EngineWire {
  reportPath: string
  decodeReport: (body: Buffer) => EngineReport | undefined
  /** @returns the request headers for running an item */
  encodeItem: (item: JobItem, host: string, terms: SendOptions) => string[]
}

/** Decoders for the configuration and the endpoints in the store. */
export interface OperatorWire {
  configurationTable: string
  decodeConfiguration: (row: StoredRow) => ListedConfiguration | undefined
  endpointTable: string
  decodeEndpoint: (row: StoredRow) => EndpointRow
}

/** Protocols that differ between platforms. */
export interface PlatformWire {
  request: RequestWire
  job: JobWire
  engine: EngineWire
  operator: OperatorWire
}

/** Settings and services that every role receives. */
export interface RoleContext {
  settings: ServingSettings
  wire: PlatformWire
  store: MetadataStore
  clock: Clock
  random: Random
  log: EventLog
  metrics: ServingMetrics
  peers: PeerDirectory
  /** Aborted when the process starts to stop. */
  stopping: AbortSignal
}

/** A running role. */
export interface RunningRole {
  /** Finishes work in progress. Resolves when the process may exit. */
  stop: () => Promise<void>
  /** Releases sockets and timers immediately, even with work in progress. May be called repeatedly. */
  close: () => Promise<void>
}

export type { JobResult, LoadReport, PeerAddress, RowChange }
