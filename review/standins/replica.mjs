/** Stand-in for a model replica: runs requests as streams of events and registers itself in the store, as PROTOCOL.md describes it. */
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1200

/** An entry is removed after this many intervals of silence. */
const SILENT_INTERVALS = 3

/** Requests beyond the slots that wait; further ones are refused as not run. */
const QUEUE_LENGTH = 16

/**
 * Starts a replica.
 *
 * @param store - store in which it registers
 * @param options - `id`, `service`, `ip`, `port` (0: any free one), `slots`, `eventCount`, `eventMs`, and `onRun`, called with each run
 * @returns the replica
 */
export async function startReplica (store, options) {
  const { id, service, ip, slots, eventCount, eventMs } = options
  const running = new Set()
  const queue = []
  const sockets = new Set()
  let seq = 0

  const stamp = requestId => ({ 'X-Request-Id': requestId, 'X-Server-Stamp': `stamp.${id}` })

  const refuse = (response, status, requestId) => {
    response.writeHead(status, { 'Content-Length': 0, 'X-Not-Run': '1', 'X-Instance-Id': id, ...stamp(requestId) })
    response.end()
  }

  const startNext = () => {
    while (running.size < slots && queue.length > 0) run(queue.shift())
  }

  const run = ({ request, response, requestId }) => {
    if (response.destroyed) return
    const record = { id, service, requestId, path: request.url, host: request.headers.host, lastEventId: Number(request.headers['last-event-id'] ?? 0), events: 0, end: 'running' }
    running.add(record)
    options.onRun?.(record)
    response.writeHead(200, { 'Content-Type': 'text/event-stream', ...stamp(requestId) })
    const timer = setInterval(() => {
      if (record.lastEventId + record.events < eventCount) {
        record.events++
        const eventId = record.lastEventId + record.events
        response.write(`id: ${eventId}\ndata: ${requestId}.${eventId}\n\n`)
        return
      }
      record.end = 'complete'
      response.end()
    }, eventMs)
    response.on('close', () => {
      clearInterval(timer)
      running.delete(record)
      if (record.end === 'running') record.end = 'dropped'
      options.onRunEnd?.(record)
      startNext()
    })
  }

  const report = () => ({
    stage: 'both',
    models: [{ name: 'm', version: 1, adapters: [] }],
    busy: false,
    seq: 0,
    waiting: queue.length,
    running: running.size,
    'kv-used': 0,
    'kv-total': 100_000,
    handles: 0,
    state: 'ready',
    runs: [...running].map(record => [record.requestId, 100, record.events, 0])
  })

  const serve = (request, response) => {
    if (request.url === '/-/report' || request.url === '/health') {
      const bytes = Buffer.from(request.url === '/health' ? '' : JSON.stringify(report()))
      response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': bytes.length, 'X-Instance-Id': id })
      response.end(bytes)
      return
    }
    const requestId = String(request.headers['x-request-id'])
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== id) refuse(response, 421, requestId)
    else if (queue.length >= QUEUE_LENGTH) refuse(response, 503, requestId)
    else {
      queue.push({ request, response, requestId })
      response.on('close', () => {
        const index = queue.findIndex(entry => entry.response === response)
        if (index >= 0) queue.splice(index, 1)
      })
      startNext()
    }
  }

  const server = createServer((request, response) => {
    request.resume()
    request.on('end', () => serve(request, response))
  })
  server.keepAliveTimeout = 15_000
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port ?? 0, ip, resolve)
  })
  const address = `${ip}:${server.address().port}`

  const register = () => {
    seq++
    store.put('servers', id, { service, address, zone: 'hall-a', version: 'v1', slots, state: 'ready', 'cold-left-ms': 0, stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], seq })
  }
  register()
  const heartbeat = setInterval(register, HEARTBEAT_MS)
  let expiry

  const close = () => {
    clearInterval(heartbeat)
    clearTimeout(expiry)
    server.close()
    for (const socket of sockets) socket.destroy()
  }

  return {
    id,
    address,
    running: () => running.size,
    waiting: () => queue.length,
    /** The replica is lost for good: it resets its connections, and the store removes its entry after three heartbeats of silence. */
    loseForGood: () => {
      clearInterval(heartbeat)
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
      queue.length = 0
      expiry = setTimeout(() => store.remove('servers', id), SILENT_INTERVALS * HEARTBEAT_MS)
    },
    close
  }
}
