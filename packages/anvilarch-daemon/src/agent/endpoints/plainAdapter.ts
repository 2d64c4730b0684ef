/** Adapter for plain HTTP services. */
import { connect } from 'node:net'
import { type Clock, createInactivityTimeout } from 'anvilarch-utils'
import { createEndpointConnections } from './connections'
import { startPlainRun } from './plainRun'
import type { AdapterOptions, EndpointAdapter, ProbeResult } from './types'

/**
 * @param options - address, clock and timeouts
 * @returns the adapter
 */
export function createPlainAdapter (options: AdapterOptions): EndpointAdapter {
  const connections = createEndpointConnections(options.url)
  const url = new URL(options.url)
  const basePath = url.pathname.replace(/\/$/, '')
  return {
    preemptible: false,
    start: (call, sink) => startPlainRun({ ...options, connections, basePath }, call, sink),
    // A plain service has no standard health check, so that a probe only opens a connection.
    probe: async () => await probeConnection(url, options.clock, options.idleTimeoutMs),
    order: async () => 'endpoint_failed',
    close: async () => { await connections.close() }
  }
}

function probeConnection (url: URL, clock: Clock, timeoutMs: number): Promise<ProbeResult> {
  return new Promise(resolve => {
    const socket = connect({ host: url.hostname.replace(/^\[|\]$/g, ''), port: Number(url.port === '' ? 80 : url.port) })
    const finish = (result: ProbeResult): void => {
      timer.cancel()
      socket.destroy()
      resolve(result)
    }
    const timer = createInactivityTimeout({ clock, timeoutMs, onTimeout: () => { finish({ state: 'silent', detail: `no connection within ${timeoutMs} ms` }) } })
    socket.once('connect', () => { finish({ state: 'up', incarnation: '', models: [], fencingToken: 0 }) })
    socket.once('error', (error: NodeJS.ErrnoException) => { finish({ state: error.code === 'ECONNREFUSED' ? 'refused' : 'silent', detail: error.message }) })
  })
}
