/** What an adapter hands to a role. */
import type { Clock, Random } from 'anvilarch-utils'
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
  /** Port for the project's own traffic between daemons, TCP and UDP. */
  peerPort: number
  /** How long after SIGTERM the process may live. */
  stopGraceMs: number
  /** How long after the end of an outage or a cut this host counts as out of contact: then it has to know what the store holds. */
  contactMs: number
  maxRowBytes: number
  /** How long results of a job are promised, from its submission on. */
  retentionMs: number
  /** How closely limits of rate are to be kept. */
  limitBounds: LimitBounds
  /** Whether a gateway that has not heard of the store for `maxRevocationDelayMs` refuses callers with keys. */
  failsClosed: boolean
  /** How long a key may still be good after it was taken away. */
  maxRevocationDelayMs: number
  /** Configured for the gateway only. */
  gateway: GatewaySettings | undefined
  /** Configured for the agent only. */
  agent: AgentSettings | undefined
}

/** Where a gateway listens. */
export interface GatewaySettings {
  clients: PeerAddress
  readiness: PeerAddress
}

/** The engine beside an agent. */
export interface AgentSettings {
  engineAddress: string
  service: string
}

/** Job calls on the adapter's wire. */
export interface JobWire {
  /** Pattern of the path of a job's results, for find-my-way, with `:id`. */
  resultsPath: string
  /** Pattern of the path of an item's body. */
  itemPath: string
  /** Query parameter that names the first position wanted. */
  afterParameter: string
  /** Query parameter that names the item. */
  itemParameter: string
  /** @returns how long the client lets a read wait for results */
  waitMs: (headers: NodeJS.Dict<string | string[]>) => number
  /** @returns the items, or what is wrong with the body */
  decodeSubmission: (body: Buffer) => JobItem[] | { problem: string }
  encodePage: (page: ResultPage) => unknown
}

/** What an engine says of itself. */
export interface EngineReport {
  running: number
  waiting: number
  /** When the engine says it was started, in Unix milliseconds; undefined where engines do not say. */
  bornAtMs: number | undefined
}

/** Calls to an engine beside the requests themselves. */
export interface EngineWire {
  reportPath: string
  decodeReport: (body: Buffer) => EngineReport | undefined
  /** @returns the wire headers of an item's run */
  encodeItem: (item: JobItem, host: string, terms: SendOptions) => string[]
}

/** How the store tells of endpoints and the configuration. */
export interface OperatorWire {
  configurationTable: string
  decodeConfiguration: (row: StoredRow) => ListedConfiguration | undefined
  endpointTable: string
  decodeEndpoint: (row: StoredRow) => EndpointRow
}

/** Everything that differs between platforms. */
export interface PlatformWire {
  request: RequestWire
  job: JobWire
  engine: EngineWire
  operator: OperatorWire
}

/** Parts that each role gets. */
export interface RoleContext {
  settings: ServingSettings
  wire: PlatformWire
  store: MetadataStore
  clock: Clock
  random: Random
  log: EventLog
  metrics: ServingMetrics
  peers: PeerDirectory
  /** Aborted when the process begins to stop. */
  stopping: AbortSignal
}

/** A role that runs. */
export interface RunningRole {
  /** Finishes what is in progress; resolves when the process may exit. */
  stop: () => Promise<void>
  /** Frees sockets and timers at once, whatever is in progress. May be called again. */
  close: () => Promise<void>
}

export type { JobResult, LoadReport, PeerAddress, RowChange }
