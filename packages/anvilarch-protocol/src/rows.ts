/**
 * Keys of the rows and names of the objects that the daemons store on the platform.
 * A row that refers to an object is written after the object, so that a reader of the row can always read the complete object.
 */

/** Row keys and key prefixes. */
export const ROW_KEYS = {
  configurationVersion: 'config/version',
  placementLease: 'lease/placement',
  jobByKey: (caller: string, key: string) => `jobkey/${caller}/${key}`,
  job: (jobId: string) => `job/${jobId}`,
  callerJobs: (caller: string) => `callerjob/${caller}/`,
  callerJob: (caller: string, jobId: string) => `callerjob/${caller}/${jobId}`,
  activeJobs: 'active/',
  activeJob: (jobId: string) => `active/${jobId}`,
  parts: (jobId: string) => `part/${jobId}/`,
  part: (jobId: string, part: number) => `part/${jobId}/${String(part).padStart(6, '0')}`,
  file: (fileId: string) => `file/${fileId}`,
  gateways: 'gateway/',
  gateway: (instance: string) => `gateway/${instance}`,
  intent: (caller: string, key: string) => `intent/${caller}/${key}`,
  suspects: 'suspect/',
  suspect: (fingerprint: string) => `suspect/${fingerprint}`
} as const

/** Object names and name prefixes. */
export const OBJECT_NAMES = {
  configuration: (hash: string) => `config/${hash}`,
  fileChunk: (fileId: string, chunk: number) => `files/${fileId}/${String(chunk).padStart(6, '0')}`,
  result: (jobId: string, part: number, epoch: number, segment: number, kind: 'output' | 'error') =>
    `results/${jobId}/${String(part).padStart(6, '0')}/${epoch}-${segment}-${kind}`
} as const

/** Value of the `config/version` row. */
export interface ConfigurationVersionRow {
  version: number
  hash: string
  appliedBy: string
  appliedAtMs: number
}
