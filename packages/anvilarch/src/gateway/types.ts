/** Responses of a gateway, with the fields that the commands use. */
import type { ConfigurationDocument } from 'anvilarch-configuration'

/** The configuration in force. */
export interface ConfigurationResponse {
  version: number
  hash: string
  document: ConfigurationDocument
  /** Absent while the platform's table can't be read. */
  appliedBy?: string
  appliedAtMs?: number
}

/** Outcome of applying a document. */
export interface ApplyResponse {
  version: number
  hash: string
  /** False if the same document was already in force. */
  changed: boolean
}

/** A gateway, as reported by another one. */
export interface GatewayView {
  instance: string
  address: string
  operationsAddress: string
  configurationVersion: number
  state: string
}

/** Load of an endpoint, as reported by its agent. */
export interface EndpointLoadView {
  runningOnline?: number
  runningBatch?: number
  queued?: number
  freeOnline?: number
  freeBatch?: number
}

/** An endpoint and its state. */
export interface EndpointView {
  endpoint: string
  /** Present only in the list of endpoints, not within an agent. */
  agent?: string
  agentState?: string
  kind: string
  service: string
  health: string
  models?: Array<{ model: string, version: string, adapters?: string[], state: string }>
  fencingToken?: number | string
  load?: EndpointLoadView
}

/** A service of the configuration in force. */
export interface ServiceView {
  name: string
  kind: string
  model?: string
  version?: string
  replicas: number
  /** Number of endpoints that serve it now. */
  ready: number
  classes: string[]
}

/** An agent, as reported by a gateway. */
export interface AgentStatus {
  name: string
  host: string
  address: string
  operationsAddress: string
  failureDomain: string
  region: string
  state: string
  configurationVersion: number
  endpoints: EndpointView[]
}

/** Response to a drain request. */
export interface DrainResponse {
  agent: string
  /** Number of attempts still in progress. */
  running: number
}

/** State of the whole system, as reported by one gateway. */
export interface StatusResponse {
  gateway: string
  configurationVersion: number
  inForce: boolean
  gateways: GatewayView[]
  agents: AgentStatus[]
  /** Null while the platform's table can't be read. */
  jobs: { active: number | null }
}

/** A job in the format of the OpenAI batch object. */
export interface BatchResponse {
  id: string
  status: string
  endpoint: string
  input_file_id: string
  output_file_id?: string | null
  error_file_id?: string | null
  created_at: number
  expires_at?: number | null
  completed_at?: number | null
  failed_at?: number | null
  expired_at?: number | null
  cancelled_at?: number | null
  request_counts?: { total: number, completed: number, failed: number }
  errors?: { data?: Array<{ code?: string, message?: string, line?: number | null }> } | null
  metadata?: Record<string, string> | null
}

/** One page of jobs. */
export interface BatchListResponse {
  data: BatchResponse[]
  has_more: boolean
  last_id?: string | null
}

/** An uploaded file. */
export interface FileResponse {
  id: string
  bytes: number
  filename: string
}
