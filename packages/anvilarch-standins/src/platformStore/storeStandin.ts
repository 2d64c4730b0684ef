/** Stand-in for the metadata store: speaks the platform's wire format and injects faults of the store. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

interface Row {
  table: string
  part: string
  key: string
  value: string
  ver: number
  tombstone?: boolean
}

/** Faults that the stand-in injects. */
export interface StoreFaults {
  /** How calls fail: status 503, no response or a connection reset. */
  refuse: 'none' | 'busy' | 'silent' | 'reset'
  /** If true, relayed calls are served, as if the store refused only the host of the direct caller. */
  refuseOnlyDirect: boolean
  /** Number of transactions that are applied but get no response. */
  lostResponses: number
  /** Delay from the receipt of a transaction that is counted in `lostResponses` until it is applied. */
  lateMs: number
  delayMs: number
  /** Calls beyond this number within a second get status 429 and have no effect. */
  callsPerSecond: number
}

/** Running stand-in. */
export interface StoreStandin {
  address: string
  faults: StoreFaults
  /** Writes a row as the operator or an endpoint does: a value as JSON, or bytes as they are. */
  put: (table: string, key: string, value: unknown, part?: string) => void
  remove: (table: string, key: string, part?: string) => void
  rows: (table: string) => Row[]
  objects: Map<string, Buffer>
  /** @returns the number of reads of a table, by key range or by the feed */
  readsOf: (table: string) => number
  /** @returns whether the named caller has polled the feed of a table from its last change on, and so has received all changes */
  hasReceivedChanges: (caller: string, table: string) => boolean
  /** @returns whether the last feed call of a caller for a table was refused; the caller has no other feed call of the table open then */
  refusesFeed: (caller: string, table: string) => boolean
  /** @returns the text of all objects and of the rows of all tables but one */
  contents: (withoutTable: string) => string
  /** @returns the number of calls that were refused because of the rate */
  overRate: () => number
  /** Holds back the responses to the feed calls of a caller for a table, as a lossy link does. @returns a function that delivers them */
  holdFeed: (caller: string, table: string) => () => void
  /** Discards the changes of the feed, so that callers have to list all tables again. */
  discardHistory: () => void
  close: () => Promise<void>
}

/** Header with the name of the calling process. */
export const CALLER_HEADER = 'x-caller'

/** Marks a relayed call, as `x-relayed` does: the stand-in cannot tell hosts on loopback apart by their addresses. */
const RELAYED_HEADER = 'x-anvilarch-timeout-ms'

/** @returns caller and table of a feed call; undefined for other calls */
function feedNameOf (request: IncomingMessage): string | undefined {
  const { pathname, searchParams } = new URL(request.url ?? '/', 'http://store')
  return pathname.endsWith('/rows-feed') ? `${String(request.headers[CALLER_HEADER])}|${searchParams.get('table')}` : undefined
}

/** @returns a listening stand-in without rows */
export async function startStoreStandin (): Promise<StoreStandin> {
  const rows = new Map<string, Row>()
  let history: Row[] = []
  let historyStartVersion = 0
  let version = 0
  const objects = new Map<string, Buffer>()
  const waitingFeeds = new Set<() => void>()
  let closed = false
  const faults: StoreFaults = { refuse: 'none', refuseOnlyDirect: false, lostResponses: 0, lateMs: 0, delayMs: 0, callsPerSecond: Infinity }
  const startedMs = performance.now()
  /** Responses that are held back, by caller and table. */
  const heldFeeds = new Map<string, Array<() => void>>()

  const idOf = (row: { table: string, part: string, key: string }): string => `${row.table}|${row.part}|${row.key}`
  const resumeFeeds = (): void => {
    const resumers = [...waitingFeeds]
    // A feed whose table has not changed adds itself again.
    waitingFeeds.clear()
    for (const resume of resumers) resume()
  }
  const write = (row: Row): void => {
    history.push(row)
    if (row.tombstone === true) rows.delete(idOf(row))
    else rows.set(idOf(row), row)
  }
  const respond = (response: ServerResponse, status: number, body: object): void => {
    const bytes = Buffer.from(JSON.stringify({ ver: version, 'now-ms': Math.round(performance.now() - startedMs) + 1000, ...body }))
    const deliver = (): void => {
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length })
      response.end(bytes)
    }
    const held = heldFeeds.get(feedNameOf(response.req) ?? '')
    if (held === undefined) deliver()
    else held.push(deliver)
  }

  const apply = (transaction: { 'expected-rev': Row[], put: Row[], remove: Row[] }): Row[] | undefined => {
    const hasConflict = transaction['expected-rev'].some(expected => (rows.get(idOf(expected))?.ver ?? 0) !== expected.ver)
    if (hasConflict) return transaction['expected-rev'].map(expected => rows.get(idOf(expected))).filter(row => row !== undefined)
    version++
    for (const put of transaction.put) write({ ...put, ver: version })
    for (const removed of transaction.remove) if (rows.has(idOf(removed))) write({ ...removed, value: '', ver: version, tombstone: true })
    resumeFeeds()
    return undefined
  }

  const transact = async (body: Buffer, request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const transaction = JSON.parse(body.toString()) as Parameters<typeof apply>[0]
    if (faults.lostResponses > 0) {
      faults.lostResponses--
      if (faults.lateMs > 0) setTimeout(() => apply(transaction), faults.lateMs)
      else apply(transaction)
      return
    }
    const conflict = apply(transaction)
    if (conflict === undefined) respond(response, 200, {})
    else respond(response, 412, { rows: conflict })
  }

  const feed = async (query: URLSearchParams, caller: string, response: ServerResponse): Promise<void> => {
    const table = query.get('table')
    const after = Number(query.get('after'))
    feedPositions.set(`${caller}|${table}`, after)
    if (after < historyStartVersion) {
      respond(response, 410, {})
      return
    }
    const changesAfter = (): Row[] => history.filter(row => row.table === table && row.ver > after)
    if (changesAfter().length === 0) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, Number(query.get('wait-ms')))
        const check = (): void => {
          if (changesAfter().length === 0 && !closed) waitingFeeds.add(check)
          else {
            clearTimeout(timer)
            resolve()
          }
        }
        waitingFeeds.add(check)
      })
    }
    respond(response, 200, { rows: changesAfter() })
  }

  const handle = async (request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://store')
    const query = url.searchParams
    const [, , call, name] = url.pathname.split('/')
    const readTable = url.searchParams.get('table')
    if (readTable !== null) readCounts.set(readTable, (readCounts.get(readTable) ?? 0) + 1)
    if (call === 'rows-tx') {
      await transact(body, request, response)
      return
    }
    if (call === 'rows-feed') {
      await feed(query, String(request.headers[CALLER_HEADER]), response)
      return
    }
    if (call === 'rows-get') {
      const found = [...rows.values()]
        .filter(row => row.table === query.get('table') && row.part === query.get('part'))
        .filter(row => row.key >= (query.get('from') ?? '') && (query.get('to') === null || row.key < (query.get('to') ?? '')))
        .sort((a, b) => a.key < b.key ? -1 : 1)
      respond(response, 200, { rows: found, 'has-more': false })
      return
    }
    if (call === 'blob-put') {
      const exists = objects.has(name)
      if (!exists) objects.set(name, body)
      respond(response, exists ? 412 : 200, {})
      return
    }
    const object = objects.get(name)
    if (call === 'blob-get' && object !== undefined) {
      response.writeHead(200, { 'Content-Length': object.length })
      response.end(object)
      return
    }
    if (call === 'blob-drop') objects.delete(name)
    respond(response, call === 'blob-drop' ? 200 : 404, {})
  }

  const refusedFeeds = new Set<string>()
  const recordFeedCall = (request: IncomingMessage, refused: boolean): void => {
    const feedName = feedNameOf(request)
    if (feedName === undefined) return
    if (refused) refusedFeeds.add(feedName)
    else refusedFeeds.delete(feedName)
  }

  const readCounts = new Map<string, number>()
  /** Version from which each caller last polled the feed of each table. */
  const feedPositions = new Map<string, number>()
  let secondStartMs = -Infinity
  let callsInSecond = 0
  let callsOverRate = 0
  const isOverRate = (): boolean => {
    const nowMs = performance.now()
    if (nowMs - secondStartMs >= 1000) {
      secondStartMs = nowMs
      callsInSecond = 0
    }
    callsInSecond++
    return callsInSecond > faults.callsPerSecond
  }

  const server: Server = createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      const relayed = request.headers[RELAYED_HEADER] !== undefined || request.headers['x-relayed'] !== undefined
      const refused = faults.refuse !== 'none' && !(relayed && faults.refuseOnlyDirect)
      recordFeedCall(request, refused)
      if (refused && faults.refuse === 'silent') return
      if (refused && faults.refuse === 'reset') {
        request.socket.resetAndDestroy()
        return
      }
      if (refused) {
        respond(response, 503, {})
        return
      }
      if (isOverRate()) {
        callsOverRate++
        respond(response, 429, {})
        return
      }
      setTimeout(() => { handle(request, response, Buffer.concat(chunks)).catch(() => response.destroy()) }, faults.delayMs)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    faults,
    readsOf: table => readCounts.get(table) ?? 0,
    hasReceivedChanges: (caller, table) => {
      const lastChange = Math.max(0, ...history.filter(row => row.table === table).map(row => row.ver))
      return (feedPositions.get(`${caller}|${table}`) ?? -1) >= lastChange
    },
    refusesFeed: (caller, table) => refusedFeeds.has(`${caller}|${table}`),
    contents: withoutTable => [
      ...[...rows.values()].filter(row => row.table !== withoutTable).map(row => `${row.table} ${row.key} ${Buffer.from(row.value, 'base64').toString()}`),
      ...[...objects].map(([name, bytes]) => `${name} ${bytes.toString()}`)
    ].join('\n'),
    overRate: () => callsOverRate,
    put: (table, key, value, part = '') => {
      version++
      write({ table, part, key, value: (Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value))).toString('base64'), ver: version })
      resumeFeeds()
    },
    remove: (table, key, part = '') => {
      version++
      write({ table, part, key, value: '', ver: version, tombstone: true })
      resumeFeeds()
    },
    rows: table => [...rows.values()].filter(row => row.table === table),
    objects,
    holdFeed: (caller, table) => {
      const held: Array<() => void> = []
      heldFeeds.set(`${caller}|${table}`, held)
      return () => {
        heldFeeds.delete(`${caller}|${table}`)
        held.forEach(deliver => deliver())
      }
    },
    discardHistory: () => {
      history = []
      historyStartVersion = version + 1
      version += 2
      resumeFeeds()
    },
    close: async () => {
      closed = true
      resumeFeeds()
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}
