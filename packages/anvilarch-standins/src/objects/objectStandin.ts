/** The stand-in of the platform's object store. */
import { type HandlerRequest, type HandlerResult, type StandinHandle, type StandinOptions, startStandinServer } from '../common/standinServer'

/** Counts of served requests, and the size of the store. */
export interface ObjectLedger {
  counts: { puts: number, repeatedPuts: number, gets: number, lists: number, removes: number }
  objectCount: number
  sizeBytes: number
}

/** A running object store. */
export interface ObjectStandin extends StandinHandle<ObjectLedger> {
  /** @returns the names that start with the prefix, sorted */
  names: (prefix?: string) => string[]
  /** @returns the bytes of one object */
  read: (name: string) => Uint8Array | undefined
}

interface ObjectState {
  objects: Map<string, Buffer>
  counts: ObjectLedger['counts']
}

const DEFAULT_LIST_LIMIT = 1000
const RANGE_PATTERN = /^bytes=(\d+)-(\d*)$/

/**
 * @param options - port, faults and clock
 * @returns the running stand-in
 */
export async function startObjectStandin (options: StandinOptions = {}): Promise<ObjectStandin> {
  const state: ObjectState = { objects: new Map(), counts: { puts: 0, repeatedPuts: 0, gets: 0, lists: 0, removes: 0 } }
  const server = await startStandinServer<ObjectLedger>({
    routes: [
      { method: 'PUT', path: '/objects/*', handle: request => putObject(state, request) },
      { method: 'GET', path: '/objects/*', handle: request => getObject(state, request) },
      { method: 'DELETE', path: '/objects/*', handle: request => removeObject(state, request) },
      { method: 'GET', path: '/list', handle: request => listObjects(state, request) }
    ],
    ledger: () => ({ counts: { ...state.counts }, objectCount: state.objects.size, sizeBytes: totalBytes(state) })
  }, options)
  return { ...server, names: (prefix = '') => sortedNames(state, prefix), read: name => state.objects.get(name) }
}

/** Stores an object unless it exists. Objects are immutable: every read of a name returns the same bytes. */
function putObject (state: ObjectState, request: HandlerRequest): HandlerResult {
  const name = nameOf(request)
  if (state.objects.has(name)) {
    state.counts.repeatedPuts++
    return { status: 200, body: { outcome: 'exists' } }
  }
  state.counts.puts++
  state.objects.set(name, request.body)
  return { status: 201, body: { outcome: 'created' } }
}

function getObject (state: ObjectState, request: HandlerRequest): HandlerResult {
  state.counts.gets++
  const body = state.objects.get(nameOf(request))
  if (body === undefined) return { status: 404, body: { error: { message: 'no such object' } } }
  const headers = { 'content-type': 'application/octet-stream' }
  const range = request.headers.range
  if (range === undefined) return { status: 200, headers, body }
  const match = RANGE_PATTERN.exec(range)
  if (match === null) return { status: 400, body: { error: { message: `range "${range}" is not of the form bytes=a-b` } } }
  const from = Number(match[1])
  const to = match[2] === '' ? body.length - 1 : Math.min(Number(match[2]), body.length - 1)
  if (from >= body.length || to < from) return { status: 416, headers: { 'content-range': `bytes */${body.length}` } }
  return { status: 206, headers: { ...headers, 'content-range': `bytes ${from}-${to}/${body.length}` }, body: body.subarray(from, to + 1) }
}

function removeObject (state: ObjectState, request: HandlerRequest): HandlerResult {
  state.counts.removes++
  state.objects.delete(nameOf(request))
  return { status: 204 }
}

function listObjects (state: ObjectState, request: HandlerRequest): HandlerResult {
  state.counts.lists++
  const after = request.query.get('after') ?? ''
  const limit = Number(request.query.get('limit') ?? DEFAULT_LIST_LIMIT)
  const names = sortedNames(state, request.query.get('prefix') ?? '').filter(name => name > after)
  const page = names.slice(0, limit)
  return { status: 200, body: names.length > limit ? { names: page, next: page[page.length - 1] } : { names: page } }
}

function nameOf (request: HandlerRequest): string {
  return request.params['*'] ?? ''
}

function sortedNames (state: ObjectState, prefix: string): string[] {
  return [...state.objects.keys()].filter(name => name.startsWith(prefix)).sort()
}

function totalBytes (state: ObjectState): number {
  let sizeBytes = 0
  for (const body of state.objects.values()) sizeBytes += body.length
  return sizeBytes
}
