/**
 * Interfaces (ports) to the services of the platform. Adapters implement them with the platform's protocols.
 * All methods reject with an `AnvilarchError` of code `platform_unavailable` if the service does not respond in time.
 */

/** A row of the table service. */
export interface Row {
  key: string
  /** Increases with each write of the row; never 0. */
  version: number
  /** JSON text. */
  value: string
}

/** True if the row has this version; 0 stands for a missing row. */
export interface Condition {
  key: string
  version: number
}

/** A write, or a delete if `value` is null. */
export interface Write {
  key: string
  value: string | null
}

/** A transaction: all writes are applied if all conditions are true, otherwise none. */
export interface Commit {
  /** Idempotency id: a commit that is sent again with the same id is applied once and returns its first outcome. */
  commitId: string
  conditions: Condition[]
  writes: Write[]
}

/** Outcome of a commit; a conflict contains the current rows of the conditions that are false. */
export type CommitResult =
  | { outcome: 'committed', versions: Record<string, number> }
  | { outcome: 'conflict', rows: Array<Row | { key: string, version: 0, value: null }> }

/** One page of a scan. */
export interface ScanPage {
  rows: Row[]
  /** Value of `after` for the next page; absent on the last page. */
  next?: string
}

/** The transactional table service. */
export interface TablePort {
  read: (keys: string[], signal?: AbortSignal) => Promise<Array<Row | null>>
  scan: (prefix: string, options: { after?: string, limit: number }, signal?: AbortSignal) => Promise<ScanPage>
  commit: (commit: Commit, signal?: AbortSignal) => Promise<CommitResult>
}

/** The object store. */
export interface ObjectPort {
  /** @returns `created`, or `exists` if there is already an object of that name */
  putIfAbsent: (name: string, body: Uint8Array, signal?: AbortSignal) => Promise<'created' | 'exists'>
  /** @returns the bytes, or null if there is no such object */
  get: (name: string, range?: { fromByte: number, toByte: number }, signal?: AbortSignal) => Promise<Uint8Array | null>
  list: (prefix: string, options: { after?: string, limit: number }, signal?: AbortSignal) => Promise<{ names: string[], next?: string }>
  remove: (name: string, signal?: AbortSignal) => Promise<void>
}

/** A host in the platform's list, which lags some seconds behind. */
export interface HostEntry {
  host: string
  role: 'gateway' | 'agent'
  /** IP address and port of the daemon on the host. */
  address: string
  failureDomain: string
  region: string
  state: 'live' | 'leaving'
}

/** The list of hosts. */
export interface HostListPort {
  list: (signal?: AbortSignal) => Promise<HostEntry[]>
}

/** All ports to the platform. */
export interface PlatformPorts {
  table: TablePort
  objects: ObjectPort
  hosts: HostListPort
}
