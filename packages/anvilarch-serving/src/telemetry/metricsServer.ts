/** Serves the metrics of a process as text. */
import { createServer, type Server } from 'node:http'
import type { Registry } from 'prom-client'

/**
 * @param registry - all metrics of the process
 * @param ip - where to listen
 * @param port - where to listen
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
