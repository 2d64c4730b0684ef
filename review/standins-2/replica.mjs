// Stand-in for a replica of a service, as PROTOCOL.md describes it: a model replica (streams) or a plain one.
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1200

let lastIncarnation = 0

/**
 * Starts a replica, which lists itself in the store every heartbeat.
 *
 * @param {object} options
 * @param {string} options.ip - loopback address of its machine
 * @param {object} options.store - the store
 * @param {string} options.service - its service
 * @param {boolean} options.streams - whether it answers with events
 * @param {(request: object) => object} options.plan - returns the events, interval or work time, or fault of a request
 * @param {number} [options.slots] - requests at once
 * @param {number} [options.downMs] - time from a crash until it is back
 * @param {(line: string) => void} [options.record] - receives what happens
 */
export async function startReplica ({ ip, store, service, streams, plan, slots = 8, downMs = 2000, zone = 'a', version = 'v1', record = () => {} }) {
  const runs = []
  const sockets = new Set()
  let running = new Set()
  let id
  let seq = 0
  let timer
  let ended = false
  let state = 'ready'
  const beat = () => {
    seq++
    store.put('servers', id, { service, address: `${ip}:${port}`, zone, version, slots, state, 'cold-left-ms': 0, seq })
  }
  const begin = () => {
    lastIncarnation++
    id = `i-${service}-${lastIncarnation}`
    running = new Set()
    state = 'ready'
    beat()
    timer = setInterval(beat, HEARTBEAT_MS)
  }
  const crash = () => {
    if (ended || !server.listening) return
    record(`replica ${id} crashes`)
    clearInterval(timer)
    server.close()
    for (const socket of sockets) socket.resetAndDestroy()
    // The entry of the incarnation that crashed is removed after three heartbeat intervals of silence.
    const crashedId = id
    setTimeout(() => { if (!ended) store.remove('servers', crashedId) }, 3 * HEARTBEAT_MS)
    setTimeout(() => {
      if (ended) return
      server.listen(port, ip, () => {
        begin()
        record(`replica ${id} is back at the address of ${crashedId}`)
      })
    }, downMs)
  }
  const run = async (request, response, body) => {
    const requestId = String(request.headers['x-request-id'])
    const entry = { requestId, replica: id, atMs: performance.now(), after: Number(request.headers['last-event-id'] ?? 0), path: request.url, deadlineMs: Number(request.headers['x-deadline-ms']), sent: 0, end: undefined }
    const stamp = { 'X-Request-Id': requestId, 'X-Server-Stamp': `stamp.${id}` }
    const planned = plan({ requestId, path: request.url, body: body.toString(), after: entry.after, headers: request.headers })
    if (running.size >= slots || planned.refuse) {
      response.writeHead(503, { 'X-Not-Run': '1', 'Content-Length': 0, ...stamp })
      response.end()
      return
    }
    runs.push(entry)
    const own = running
    own.add(entry)
    response.on('close', () => {
      own.delete(entry)
      entry.end ??= 'dropped'
    })
    if (planned.crash) {
      entry.end = 'crashed'
      crash()
      return
    }
    if (!streams) {
      await pause(planned.workMs ?? 10)
      if (response.destroyed) return
      const text = `answer to ${requestId}`
      entry.end = 'complete'
      response.writeHead(200, { 'Content-Length': Buffer.byteLength(text), ...stamp })
      response.end(text)
      return
    }
    if (planned.status !== undefined) {
      entry.end = `status ${planned.status}`
      response.writeHead(planned.status, { 'Content-Length': 0, ...stamp })
      response.end()
      return
    }
    response.writeHead(200, { 'Content-Type': 'text/event-stream', ...stamp })
    for (let event = entry.after + 1; event <= planned.events; event++) {
      await pause(event === planned.pauseBefore ? planned.pauseMs : planned.intervalMs)
      if (response.destroyed) return
      response.write(`id: ${event}\ndata: ${requestId}-${event}${planned.pad ?? ''}\n\n`)
      entry.sent = event
    }
    entry.end = 'complete'
    response.end()
  }
  const server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      if (request.url === '/-/report') {
        const report = JSON.stringify({ stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], busy: false, seq: 0, waiting: 0, running: running.size, 'kv-used': 0, 'kv-total': 90000, handles: 0, runs: [...running].map(entry => [entry.requestId, 1, entry.sent, 0]) })
        response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': report.length })
        response.end(report)
        return
      }
      const expected = request.headers['x-expect-instance']
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'Content-Length': 0, 'X-Not-Run': '1', 'X-Request-Id': String(request.headers['x-request-id']) })
        response.end()
        return
      }
      run(request, response, Buffer.concat(chunks)).catch(() => response.destroy())
    })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, ip, resolve)
  })
  const { port } = server.address()
  begin()
  return {
    address: `${ip}:${port}`,
    id: () => id,
    runs,
    drain: () => {
      state = 'draining'
      beat()
    },
    crash,
    close: () => {
      ended = true
      clearInterval(timer)
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

function pause (delayMs) {
  return new Promise(resolve => setTimeout(resolve, delayMs))
}
