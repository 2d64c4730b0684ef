/** Serves the metrics of a process in text format. */
import { createServer, type Server } from 'node:http'
import type { Registry } from 'prom-client'

/**
 * Starts an HTTP server for the metrics.
 *
 * @param registry - metrics registry of the process
 * @param ip - address to listen on
 * @param port - port to listen on
 * @returns the server
 */
export function startMetricsServer (registry: Registry, ip: string, port: number): Server {
  const server = createServer((_request, response) => {
    registry.metrics()
      .then(text => {
        response.writeHead(200, { 'Content-Type': registry.contentType })
        response.end(text)
      })
      .catch(() => response.writeHead(500).end())
  })
  server.listen(port, ip)
  return server
}
