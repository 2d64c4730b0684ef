/** Adapter for model engines: OpenAI-style completions, cancellable and resumable streams, and orders. */
import { createEndpointConnections } from './connections'
import { requestJson } from './httpExchange'
import { startModelRun } from './modelRun'
import type { AdapterOptions, EndpointAdapter, EngineOrder, EngineOrderResult, LoadedModelState, ProbeResult } from './types'

/** Timeout for an engine to accept an order; the load itself runs in the background. */
const ORDER_TIMEOUT_MS = 10_000

const ORDER_RESULTS: Record<number, EngineOrderResult> = { 200: 'done', 202: 'started', 409: 'stale_fencing_token' }

/**
 * @param options - address, clock and timeouts
 * @returns the adapter
 */
export function createModelAdapter (options: AdapterOptions): EndpointAdapter {
  const connections = createEndpointConnections(options.url)
  const basePath = new URL(options.url).pathname.replace(/\/$/, '')
  const { clock } = options

  const requestModels = async (fresh: boolean): Promise<Awaited<ReturnType<typeof requestJson>>> => {
    const client = fresh ? connections.fresh() : undefined
    const response = await requestJson(client ?? connections.pool('control'), { method: 'GET', path: `${basePath}/models` }, { clock, timeoutMs: options.idleTimeoutMs })
    client?.destroy().catch(() => {})
    return response
  }

  const probe = async (fresh: boolean): Promise<ProbeResult> => {
    const response = await requestModels(fresh)
    if ('failed' in response) {
      // The next probe must not use the same connection.
      connections.replacePool('control')
      const { failed } = response
      // Only a refused connection proves that no process listens; a reset may affect a single connection.
      if (failed.kind === 'error' && failed.code === 'ECONNREFUSED') return { state: 'refused', detail: failed.detail }
      return { state: 'silent', detail: failed.kind === 'error' ? `${failed.code}: ${failed.detail}` : `no answer within ${options.idleTimeoutMs} ms` }
    }
    if (response.status !== 200) return { state: 'silent', detail: `status ${response.status}` }
    return parseModels(response.body)
  }

  const order = async (request: EngineOrder): Promise<EngineOrderResult> => {
    const response = await requestJson(connections.pool('control'), { method: 'POST', path: `${basePath}/orders`, body: request }, { clock, timeoutMs: ORDER_TIMEOUT_MS })
    if ('failed' in response) return 'endpoint_failed'
    return ORDER_RESULTS[response.status] ?? 'endpoint_failed'
  }

  return {
    preemptible: true,
    start: (call, sink) => startModelRun({ ...options, connections, basePath }, call, sink),
    probe,
    order,
    close: async () => { await connections.close() }
  }
}

interface ModelsResponse {
  models?: Array<{ model?: string, version?: string, adapters?: string[], state?: string }>
  fencingToken?: number
  incarnation?: string
}

function parseModels (body: unknown): ProbeResult {
  if (typeof body !== 'object' || body === null) return { state: 'silent', detail: 'GET /models did not answer a JSON object' }
  const response = body as ModelsResponse
  const models = (response.models ?? []).map((entry): LoadedModelState => ({
    model: entry.model ?? '',
    version: entry.version ?? '',
    adapters: entry.adapters ?? [],
    state: entry.state === 'ready' ? 'ready' : 'loading'
  }))
  return { state: 'up', incarnation: response.incarnation ?? '', models, fencingToken: response.fencingToken ?? 0 }
}
