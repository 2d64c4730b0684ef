// Stand-in for the platform's metadata store, as PROTOCOL.md describes it: rows with versions, a feed and objects.
import { createServer } from 'node:http'

const HISTORY_LIMIT = 50_000

/**
 * Starts the store.
 *
 * @param {string} ip - loopback address to listen on
 * @param {{ delayMs?: number }} [options] - time of an answer
 */
export async function startStore (ip, { delayMs = 4 } = {}) {
  const rows = new Map()
  const history = []
  const objects = new Map()
  const waiting = new Set()
  const startedMs = performance.now()
  let version = 0
  /** Returns what to do with a call before it is executed: undefined, or { status }, { reset }, { silent }, { loseAnswer, lateMs }. */
  let fault = () => undefined
  const calls = []

  const idOf = row => `${row.table}|${row.part ?? ''}|${row.key}`
  const wake = () => {
    const resumers = [...waiting]
    waiting.clear()
    for (const resume of resumers) resume()
  }
  const write = row => {
    history.push(row)
    if (history.length > HISTORY_LIMIT) history.shift()
    if (row.tombstone) rows.delete(idOf(row))
    else rows.set(idOf(row), row)
  }
  const answer = (response, status, body) => {
    const bytes = Buffer.from(JSON.stringify({ ver: version, 'now-ms': Math.round(performance.now() - startedMs) + 1000, ...body }))
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length })
    response.end(bytes)
  }
  const apply = ({ 'expected-rev': expected = [], put = [], remove = [] }) => {
    if (expected.some(row => (rows.get(idOf(row))?.ver ?? 0) !== row.ver)) return expected.map(row => rows.get(idOf(row))).filter(row => row !== undefined)
    version++
    for (const row of put) write({ table: row.table, part: row.part ?? '', key: row.key, value: row.value, ver: version })
    for (const row of remove) if (rows.has(idOf(row))) write({ table: row.table, part: row.part ?? '', key: row.key, value: '', ver: version, tombstone: true })
    wake()
    return undefined
  }
  const transact = (body, response) => {
    const conflict = apply(JSON.parse(body.toString()))
    if (conflict === undefined) answer(response, 200, {})
    else answer(response, 412, { rows: conflict })
  }
  const feed = async (query, response) => {
    const after = Number(query.get('after'))
    const changes = () => history.filter(row => row.table === query.get('table') && row.ver > after)
    const untilMs = performance.now() + Number(query.get('wait-ms'))
    while (changes().length === 0 && performance.now() < untilMs && !response.destroyed) {
      await new Promise(resolve => {
        waiting.add(resolve)
        setTimeout(resolve, Math.max(1, untilMs - performance.now()))
      })
    }
    answer(response, 200, { rows: changes() })
  }
  const execute = async (call, name, query, body, response) => {
    if (call === 'rows-tx') return transact(body, response)
    if (call === 'rows-feed') return await feed(query, response)
    if (call === 'rows-get') {
      const found = [...rows.values()]
        .filter(row => row.table === query.get('table') && row.part === (query.get('part') ?? ''))
        .filter(row => row.key >= (query.get('from') ?? '') && (query.get('to') === null || row.key < query.get('to')))
        .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
      return answer(response, 200, { rows: found.slice(0, 500), 'has-more': found.length > 500 })
    }
    if (call === 'blob-put') {
      const exists = objects.has(name)
      if (!exists) objects.set(name, body)
      return answer(response, exists ? 412 : 200, {})
    }
    if (call === 'blob-get' && objects.has(name)) {
      response.writeHead(200, { 'Content-Length': objects.get(name).length })
      return response.end(objects.get(name))
    }
    if (call === 'blob-drop') {
      objects.delete(name)
      return answer(response, 200, {})
    }
    return answer(response, 404, {})
  }
  const server = createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      const url = new URL(request.url, 'http://store')
      const [, , call, name] = url.pathname.split('/')
      const body = Buffer.concat(chunks)
      const seen = { call, name, query: url.searchParams, body, from: request.socket.remoteAddress }
      calls.push({ atMs: performance.now(), call })
      const found = fault(seen)
      if (found?.silent) return
      if (found?.reset) {
        request.socket.resetAndDestroy()
        return
      }
      if (found?.status !== undefined) {
        answer(response, found.status, {})
        return
      }
      if (found?.loseAnswer) {
        // The answer is lost; the call is performed now, or later if its condition still holds.
        setTimeout(() => { if (call === 'rows-tx') apply(JSON.parse(body.toString())) }, found.lateMs ?? delayMs)
        return
      }
      setTimeout(() => { execute(call, name, url.searchParams, body, response).catch(() => response.destroy()) }, delayMs)
    })
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, ip, resolve)
  })
  return {
    address: `${ip}:${server.address().port}`,
    setFault: next => { fault = next ?? (() => undefined) },
    put: (table, key, value) => apply({ put: [{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }] }),
    remove: (table, key) => apply({ remove: [{ table, part: '', key }] }),
    rows: table => [...rows.values()].filter(row => row.table === table).map(row => ({ ...row, value: JSON.parse(Buffer.from(row.value, 'base64').toString()) })),
    calls,
    close: () => {
      wake()
      server.close()
      server.closeAllConnections()
    }
  }
}
