/** Client of the gateway's HTTP API, as far as the commands use it. */
import type { Readable } from 'node:stream'
import type { HttpCall, HttpClient } from './httpClient'
import { createMultipartBody } from './multipart'
import type { ApplyResponse, BatchListResponse, BatchResponse, ConfigurationResponse, DrainResponse, EndpointView, FileResponse, ServiceView, StatusResponse } from './types'

/** A configuration document to apply. */
export interface ApplyRequest {
  documentText: string
  fileName: string
  appliedBy: string
  /** The document is rejected with a conflict if another version is in force. */
  ifVersion?: number
}

/** A job to create from an uploaded file. */
export interface BatchRequest {
  inputFileId: string
  endpoint: string
  /** If undefined, the gateway derives a key from the content. */
  idempotencyKey: string | undefined
}

/** API calls. Each rejects with a `CliError`. */
export interface GatewayClient {
  configuration: () => Promise<ConfigurationResponse>
  apply: (request: ApplyRequest) => Promise<ApplyResponse>
  status: () => Promise<StatusResponse>
  services: () => Promise<{ services: ServiceView[] }>
  endpoints: () => Promise<{ endpoints: EndpointView[] }>
  drainAgent: (agent: string) => Promise<DrainResponse>
  uploadFile: (path: string, sizeBytes: number) => Promise<FileResponse>
  createBatch: (request: BatchRequest) => Promise<BatchResponse>
  batch: (id: string) => Promise<BatchResponse>
  cancelBatch: (id: string) => Promise<BatchResponse>
  listBatches: (limit: number, after?: string) => Promise<BatchListResponse>
  fileContent: (id: string) => Promise<{ body: Readable, gatewayUrl: string }>
  close: () => Promise<void>
}

const ADMIN = '/admin/v1'
const COMPLETION_WINDOW = '24h'
/** Longer than for other calls: a large file is validated, split and stored before the gateway responds. */
const FILE_TIMEOUT_MS = 120_000

/**
 * @param http - sends the requests
 * @returns the client
 */
export function createGatewayClient (http: HttpClient): GatewayClient {
  const get = <Body>(step: string, path: string): Promise<Body> =>
    http.json({ method: 'GET', path, step, isRepeatable: true })
  const post = <Body>(step: string, path: string, body: unknown, options: Pick<HttpCall, 'isRepeatable' | 'headers'>): Promise<Body> =>
    http.json({
      method: 'POST',
      path,
      step,
      headers: { 'content-type': 'application/json', ...options.headers },
      body: () => JSON.stringify(body),
      isRepeatable: options.isRepeatable
    })

  return {
    configuration: () => get('configuration.show', `${ADMIN}/configuration`),
    apply: body => post('configuration.apply', `${ADMIN}/configuration`, body, { isRepeatable: false }),
    status: () => get('status.show', `${ADMIN}/status`),
    services: () => get('services.list', `${ADMIN}/services`),
    endpoints: () => get('endpoints.list', `${ADMIN}/endpoints`),
    drainAgent: agent => post('endpoints.drain', `${ADMIN}/agents/${encodeURIComponent(agent)}/drain`, {}, { isRepeatable: true }),
    uploadFile: async (path, sizeBytes) => {
      const body = createMultipartBody(path, sizeBytes, { purpose: 'batch' })
      return await http.json({
        method: 'POST', path: '/v1/files', step: 'jobs.upload', headers: body.headers, body: body.open, isRepeatable: true, responseTimeoutMs: FILE_TIMEOUT_MS
      })
    },
    createBatch: ({ inputFileId, endpoint, idempotencyKey }) => post(
      'jobs.create',
      '/v1/batches',
      { input_file_id: inputFileId, endpoint, completion_window: COMPLETION_WINDOW },
      { isRepeatable: true, headers: idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey } }
    ),
    batch: id => get('jobs.show', `/v1/batches/${encodeURIComponent(id)}`),
    cancelBatch: id => post('jobs.cancel', `/v1/batches/${encodeURIComponent(id)}/cancel`, {}, { isRepeatable: true }),
    listBatches: (limit, after) => {
      const query = new URLSearchParams({ limit: String(limit), ...(after === undefined ? {} : { after }) })
      return get('jobs.list', `/v1/batches?${query.toString()}`)
    },
    fileContent: id => http.stream({
      method: 'GET', path: `/v1/files/${encodeURIComponent(id)}/content`, step: 'jobs.results', isRepeatable: true, responseTimeoutMs: FILE_TIMEOUT_MS
    }),
    close: () => http.close()
  }
}
