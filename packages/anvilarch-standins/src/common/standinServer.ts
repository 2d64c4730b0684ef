/** The HTTP server of a stand-in: its routes, its fault switches, and the test interface at `/faults` and `/ledger`. */
import { createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { type Clock, createRandom, createSystemClock, type Random, sleep } from 'anvilarch-utils'
import findMyWay from 'find-my-way'
import { trackConnections } from './connections'
import { createFaultSwitches, type Faults, type FaultSwitches } from './faults'

/** A request as passed to a handler. */
export interface HandlerRequest {
  method: string
  path: string
  params: Record<string, string | undefined>
  query: URLSearchParams
  headers: IncomingHttpHeaders
  body: Buffer
}

/** The response of a handler: a body, or a function that writes it over time. */
export interface HandlerResult {
  status: number
  headers?: Record<string, string>
  body?: Uint8Array | object
  stream?: (response: ServerResponse) => void
}

/** One route. */
export interface StandinRoute {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE' | 'ANY'
  path: string
  handle: (request: HandlerRequest) => HandlerResult | Promise<HandlerResult>
  /** Whether the route runs work of callers, a share of which fails under `failShare`. */
  isWork?: boolean
}

/** Options common to all stand-ins. */
export interface StandinOptions {
  /** Port to listen on; 0 for any free one. */
  port?: number
  /** IP address to listen on. */
  host?: string
  faults?: Partial<Faults>
  clock?: Clock
  /** Seed of the random numbers that select which responses are lost. */
  seed?: number
  /** Called on a request that contains the text of `crashOn`, after the connections were closed. */
  onCrash?: () => void
}

/** The interface of every running stand-in to the code that started it. */
export interface StandinHandle<Ledger = unknown> {
  url: string
  port: number
  faults: FaultSwitches
  ledger: () => Ledger
  /** @returns true after a request that contains the text of `crashOn` has ended the stand-in */
  crashed: () => boolean
  close: () => Promise<void>
}

/** The part of the server that differs between kinds of stand-ins. */
export interface StandinDefinition<Ledger> {
  routes: StandinRoute[]
  ledger: (query?: URLSearchParams) => Ledger
  /** True when the handlers of the kind crash the stand-in themselves, at the step at which the request runs. */
  crashesInHandler?: boolean
}

/** A running server; `crash` ends it in the way in which the end of a process would. */
export interface StandinServer<Ledger> extends StandinHandle<Ledger> {
  crash: () => void
}

/** Exit code of a stand-in that was crashed by a request; the supervisor of the fleet restarts it. */
export const CRASH_EXIT_CODE = 70

const DEFAULT_HOST = '127.0.0.1'
const ANY_METHODS = ['GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'HEAD', 'OPTIONS'] as const
const MAX_PARAM_LENGTH = 4096

/**
 * @param definition - routes and ledger of the kind
 * @param options - port, faults and clock
 * @returns the running server
 */
export async function startStandinServer<Ledger> (definition: StandinDefinition<Ledger>, options: StandinOptions): Promise<StandinServer<Ledger>> {
  const clock = options.clock ?? createSystemClock()
  const random = createRandom(options.seed ?? 1)
  const faults = createFaultSwitches(options.faults)
  const router = findMyWay({ maxParamLength: MAX_PARAM_LENGTH, defaultRoute: (_request, response) => { sendJson(response, 404, { error: { message: 'no such route' } }) } })
  const server = createServer((request, response) => {
    if (connections.isSilent(request.socket)) return
    router.lookup(request, response)
  })
  server.keepAliveTimeout = 0
  const connections = trackConnections(server)
  let crashed = false
  const crash = (): void => {
    if (crashed) return
    crashed = true
    server.close()
    connections.destroyAll()
    options.onCrash?.()
  }
  const context = { clock, random, faults, crash: definition.crashesInHandler === true ? undefined : crash }

  router.on('GET', '/faults', (_request, response) => { sendJson(response, 200, faults.get()) })
  let requestingSocket: Socket | undefined
  faults.onChange(changes => { if (changes.silence === true) connections.silenceAll(requestingSocket) })
  router.on('PUT', '/faults', (request, response) => {
    readBody(request).then(body => {
      requestingSocket = request.socket
      sendJson(response, 200, faults.set(JSON.parse(body.toString()) as Partial<Faults>))
    }).catch((error: Error) => {
      sendJson(response, 400, { error: { message: error.message } })
    }).finally(() => { requestingSocket = undefined })
  })
  router.on('GET', '/ledger', (request, response) => { sendJson(response, 200, definition.ledger(urlOf(request).searchParams)) })
  for (const route of definition.routes) addRoute(router, route, context)

  await listen(server, options.port ?? 0, options.host ?? DEFAULT_HOST)
  const address = server.address() as AddressInfo
  return {
    url: `http://${address.address}:${address.port}`,
    port: address.port,
    faults,
    ledger: () => definition.ledger(),
    crashed: () => crashed,
    crash,
    close: async () => {
      await new Promise<void>(resolve => {
        server.close(() => { resolve() })
        connections.destroyAll()
      })
    }
  }
}

interface ServeContext {
  clock: Clock
  random: Random
  faults: FaultSwitches
  crash: (() => void) | undefined
}

function addRoute (router: ReturnType<typeof findMyWay>, route: StandinRoute, context: ServeContext): void {
  const methods = route.method === 'ANY' ? [...ANY_METHODS] : [route.method]
  router.on(methods, route.path, (request, response, params) => {
    serve(route, request as IncomingMessage, response as ServerResponse, params, context).catch((error: Error) => {
      sendJson(response as ServerResponse, error instanceof SyntaxError ? 400 : 500, { error: { message: error.message } })
    })
  })
}

async function serve (route: StandinRoute, request: IncomingMessage, response: ServerResponse, params: Record<string, string | undefined>, context: ServeContext): Promise<void> {
  const faults = context.faults.get()
  if (faults.outage) {
    sendJson(response, 503, { error: { message: 'outage' } })
    return
  }
  if (faults.frozen) return
  const body = await readBody(request)
  if (faults.latencyMs > 0) await sleep(context.clock, faults.latencyMs / 2)
  const url = urlOf(request)
  const handlerRequest: HandlerRequest = { method: request.method ?? 'GET', path: url.pathname, params, query: url.searchParams, headers: request.headers, body }
  if (containsText(handlerRequest, faults.failOn)) {
    sendJson(response, 500, { error: { message: 'the request holds the text that fails' } })
    return
  }
  if (route.isWork === true && context.random.next() < faults.failShare) {
    sendJson(response, 500, { error: { message: 'one of the share of requests that fail' } })
    return
  }
  const result = await route.handle(handlerRequest)
  if (context.crash !== undefined && containsText(handlerRequest, faults.crashOn)) {
    context.crash()
    return
  }
  if (context.random.next() < faults.loseReplies) {
    request.socket.destroy()
    return
  }
  if (faults.latencyMs > 0) await sleep(context.clock, faults.latencyMs / 2)
  send(response, result)
}

/** @returns whether the path or the body of a request contains a text; false for an empty text */
export function containsText (request: HandlerRequest, text: string): boolean {
  if (text === '') return false
  return request.body.includes(text) || request.path.includes(text)
}

function urlOf (request: { url?: string }): URL {
  return new URL(request.url ?? '/', 'http://localhost')
}

function send (response: ServerResponse, result: HandlerResult): void {
  if (result.stream !== undefined) {
    response.writeHead(result.status, result.headers)
    result.stream(response)
    return
  }
  if (result.body === undefined || result.body instanceof Uint8Array) {
    const bytes = result.body ?? new Uint8Array(0)
    response.writeHead(result.status, { 'content-length': String(bytes.length), ...result.headers })
    response.end(bytes)
    return
  }
  sendJson(response, result.status, result.body, result.headers)
}

function sendJson (response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}): void {
  if (response.headersSent) return
  const bytes = Buffer.from(JSON.stringify(value))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': String(bytes.length), ...headers })
  response.end(bytes)
}

async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)
}

async function listen (server: Server, port: number, host: string): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => { resolve() })
  })
}
