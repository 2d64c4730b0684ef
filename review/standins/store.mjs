/** Stand-in for the platform's store: rows, transactions, feed and objects, as PROTOCOL.md describes them. It loses nothing and never refuses. */
import { createServer } from 'node:http'

/** Time of an answer, and of a transaction, in milliseconds. */
const ANSWER_MS = 4
const TRANSACTION_MS = 8

const MAX_ROWS = 500
const MAX_NAMES = 1000

/** Tables that only the operator and the replicas write. */
const FOREIGN_TABLES = new Set(['op', 'servers'])

/**
 * Starts the store.
 *
 * @param ip - loopback address
 * @param faults - optional hooks; `answerLost(transaction)` returns true when a transaction that has been performed gets no answer
 * @returns its address, and direct access for the operator and the replicas
 */
export async function startStore (ip, faults = {}) {
  const rows = new Map()
  const history = []
  const objects = new Map()
  const waiting = new Set()
  let version = 0

  const idOf = ({ table, part = '', key }) => JSON.stringify([table, part ?? '', key])

  const write = row => {
    if (row.tombstone) rows.delete(idOf(row))
    else rows.set(idOf(row), row)
    history.push(row)
  }

  const wakeFeeds = () => { for (const wake of [...waiting]) wake() }

  const put = (table, key, value, part = '') => {
    version++
    write({ table, part, key, value: Buffer.from(JSON.stringify(value)).toString('base64'), ver: version })
    wakeFeeds()
    return version
  }

  const remove = (table, key, part = '') => {
    if (!rows.has(idOf({ table, part, key }))) return
    version++
    write({ table, part, key, value: '', ver: version, tombstone: true })
    wakeFeeds()
  }

  const transact = call => {
    const conditions = call['expected-rev'] ?? []
    const current = conditions.map(condition => rows.get(idOf(condition))).filter(row => row !== undefined)
    const holds = conditions.every(condition => (rows.get(idOf(condition))?.ver ?? 0) === condition.ver)
    if (!holds) return { status: 412, body: { rows: current } }
    version++
    for (const row of call.put ?? []) write({ table: row.table, part: row.part ?? '', key: row.key, value: row.value, ver: version })
    for (const row of call.remove ?? []) {
      if (rows.has(idOf(row))) write({ table: row.table, part: row.part ?? '', key: row.key, value: '', ver: version, tombstone: true })
    }
    wakeFeeds()
    return { status: 200, body: {} }
  }

  const list = query => {
    const [table, part, from, to] = [query.get('table'), query.get('part') ?? '', query.get('from'), query.get('to')]
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS))
    const found = [...rows.values()]
      .filter(row => row.table === table && row.part === part && (from === null || row.key >= from) && (to === null || row.key < to))
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
    return { status: 200, body: { rows: found.slice(0, limit), 'has-more': found.length > limit } }
  }

  const feed = async (query, closed) => {
    const [table, after, waitMs] = [query.get('table'), Number(query.get('after')), Math.min(30_000, Number(query.get('wait-ms') ?? 0))]
    const untilMs = performance.now() + waitMs
    for (;;) {
      const changed = history.filter(row => row.table === table && row.ver > after)
      const leftMs = untilMs - performance.now()
      if (changed.length > 0 || leftMs <= 0 || closed()) return { status: 200, body: { rows: changed } }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          waiting.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, leftMs)
        waiting.add(wake)
      })
    }
  }

  const names = query => {
    const [prefix, after] = [query.get('path-prefix') ?? '', query.get('after') ?? '']
    const found = [...objects.keys()].filter(name => name.startsWith(prefix) && name > after).sort()
    return { status: 200, body: { names: found.slice(0, MAX_NAMES), 'has-more': found.length > MAX_NAMES } }
  }

  const blob = (method, url, name, request, bytes) => {
    if (url.startsWith('/-/blob-put/')) {
      if (request.headers['if-none-match'] === '*' && objects.has(name)) return { status: 412, body: {} }
      objects.set(name, bytes)
      return { status: 200, body: {} }
    }
    if (method === 'DELETE') {
      objects.delete(name)
      return { status: 200, body: {} }
    }
    return objects.has(name) ? { status: 200, bytes: objects.get(name) } : { status: 404, body: {} }
  }

  const answer = async (request, bytes) => {
    const url = new URL(request.url, 'http://store')
    if (url.pathname === '/-/rows-tx') {
      const call = JSON.parse(bytes.toString())
      await sleep(TRANSACTION_MS)
      if ([...call.put ?? [], ...call.remove ?? []].some(row => FOREIGN_TABLES.has(row.table))) return { status: 403, body: {} }
      const result = transact(call)
      return faults.answerLost?.(call, result.status) === true ? undefined : result
    }
    await sleep(ANSWER_MS)
    if (url.pathname === '/-/rows-get') return list(url.searchParams)
    if (url.pathname === '/-/rows-feed') return await feed(url.searchParams, () => request.destroyed && request.socket.destroyed)
    if (url.pathname === '/-/rows-parts') {
      const parts = new Set([...rows.values()].filter(row => row.table === url.searchParams.get('table')).map(row => row.part))
      return { status: 200, body: { parts: [...parts].sort() } }
    }
    if (url.pathname === '/-/blob-list') return names(url.searchParams)
    return blob(request.method, url.pathname, decodeURIComponent(url.pathname.split('/')[3] ?? ''), request, bytes)
  }

  const server = createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      answer(request, Buffer.concat(chunks)).then(result => {
        // A connection on which an answer is lost delivers nothing further.
        if (result === undefined || response.destroyed) return
        const bytes = result.bytes ?? Buffer.from(JSON.stringify({ ...result.body, ver: version, 'now-ms': Math.round(performance.now()) }))
        response.writeHead(result.status, { 'Content-Type': result.bytes === undefined ? 'application/json' : 'application/octet-stream', 'Content-Length': bytes.length })
        response.end(bytes)
      }).catch(() => response.destroy())
    })
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, ip, resolve)
  })
  return {
    address: `${ip}:${server.address().port}`,
    put,
    remove,
    rows: table => [...rows.values()].filter(row => row.table === table),
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}

const sleep = async ms => await new Promise(resolve => setTimeout(resolve, ms))
