/** One client request on a fake clock, with endpoints and a client in memory. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createFakeClock, type FakeClock, SILENT_LOGGER, sleep } from 'anvilarch-utils'
import type { Pool } from '../../endpoints/httpPool'
import type { Endpoint, Route } from '../../model/types'
import { createServingMetrics } from '../../telemetry/metrics'
import { createLogRateLimiter } from '../../telemetry/logRateLimiter'
import type { EventLog } from '../../telemetry/events'
import { createTrafficCounters } from '../../telemetry/trafficCounters'
import { forwardRequest } from '../forwardRequest'
import { createHoldTimes } from '../holdTimes'

/** Handler of an exchange, as undici calls it. */
interface ExchangeHandler {
  onConnect: (abort: () => void) => void
  onHeaders: (status: number, rawHeaders: Buffer[]) => void
  onData: (chunk: Buffer) => void
  onComplete: () => void
  onError: (error: Error) => void
}

/** A request as an endpoint got it. */
export interface SentRequest {
  endpoint: string
  sentAtMs: number
  /** Time that the endpoint was given. */
  deadlineMs: number
  /** The endpoint is to go on after this event. */
  lastEventId: number | undefined
  /** False until a connection is there, which it is at once unless `onSend` holds it back. */
  connected: boolean
  aborted: boolean
  /** The exchange as the client of HTTP tells it, for endings that have no method here. */
  exchange: Omit<ExchangeHandler, 'onConnect'>
  /** Answers with an event; the head goes before the first one. */
  event: (id: number) => void
  /** Answers with any block of a stream of events, its empty line left out. */
  block: (text: string) => void
  /** Ends the events. */
  endEvents: () => void
  /** Answers with a whole body that is no stream of events. */
  answer: (status?: number, body?: string) => void
  /** Breaks the connection. */
  reset: () => void
}

/** What the client got. */
export interface ClientView {
  status: number | undefined
  body: string
  ended: boolean
  destroyed: boolean
  /** The head went out before the rest of the answer was there. */
  begun: boolean
  /** The client has closed its connection. */
  left: boolean
  /** When the answer ended or was cut. */
  endedAtMs: number | undefined
  /** Heads that were sent, and pieces after the end; more than one head, or any such piece, is a fault of the gateway. */
  headCount: number
  piecesAfterEnd: number
}

/** The request and what is around it. */
export interface ForwardHarness {
  clock: FakeClock
  sent: SentRequest[]
  client: ClientView
  /** Takes all endpoints away. */
  removeEndpoints: () => void
  /** Takes the first endpoint away; another start of one may come in its place. */
  replaceEndpoint: (isListedAgain: boolean) => void
  /** @returns endpoints that may be sent to and have not been */
  untriedCount: () => number
  /** Ends the connection of the client as the end of a stop does. */
  stopNow: () => void
  /** Takes the key of the caller away. */
  takeKeyAway: () => void
  /** Says that endpoints crash when they run the request. */
  quarantine: () => void
  /** @returns requests that count as in progress at endpoints, by each of the two tables */
  inProgress: () => { loads: number, notices: number }
  /** How often the permit was given back. */
  permitsGivenBack: () => number
  /** Lets the placement end that waits for loads. */
  placed: () => void
  /** @returns ends of answers that had begun, with the outcome of their requests, as the metrics show them */
  begunAnswers: () => Promise<Array<[end: string, outcome: string]>>
  /** Closes the client's connection. */
  leave: () => void
  /** @returns how often the gateway has noticed a pause of its own */
  ownPauses: () => Promise<number>
}

/** Options of `forwardOnFakeClock`. */
export interface ForwardHarnessOptions {
  kind?: Route['kind']
  timeoutMs?: number
  endpoints?: number
  /** Whether the placement waits until it is let go on. */
  holdsPlacement?: boolean
  maxAttempts?: number
  resumable?: boolean
  /** Last event that the client has already. */
  lastEventId?: number
  /** How long placements take, each in turn. */
  placementMs?: () => number
  /** Whether the limit of the account lets the request start. */
  granted?: boolean
  /** Called for each send. @returns false while there is no connection to the endpoint */
  onSend?: (request: SentRequest) => boolean
}

const REQUEST_ID = 'r1'

/** Headers of an answer that is this request's, with the signature of its endpoint. */
export const OWN_HEADERS = ['request-id', REQUEST_ID, 'signature', 's']

export const EVENT_STREAM_HEADERS = [...OWN_HEADERS, 'content-type', 'text/event-stream', 'transfer-encoding', 'chunked']

function endpointNamed (id: string): Endpoint {
  return { id, bornAtMs: undefined, startId: id, service: 's', address: `${id}:1`, failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1 }
}

/**
 * @param options - route, endpoints and placement
 * @returns the request, which has just arrived
 */
export function forwardOnFakeClock (options: ForwardHarnessOptions = {}): ForwardHarness {
  const clock = createFakeClock()
  const sent: SentRequest[] = []
  const client: ClientView = { status: undefined, body: '', ended: false, destroyed: false, begun: false, left: false, endedAtMs: undefined, headCount: 0, piecesAfterEnd: 0 }
  const endpoints = Array.from({ length: options.endpoints ?? 2 }, (_, index) => endpointNamed(`e${index + 1}`))
  let endpointCount = endpoints.length
  let placed: () => void = () => {}
  let hasKey = true
  let isQuarantined = false
  let permitsGivenBack = 0
  const inProgress = { loads: 0, notices: 0 }

  const poolOf = (endpoint: Endpoint): Pool => ({
    dispatch: ({ headers }: { headers: string[] }, handler: ExchangeHandler) => {
      let hasHead = false
      const head = (status: number, rawHeaders: string[]): void => {
        if (!hasHead) handler.onHeaders(status, rawHeaders.map(text => Buffer.from(text)))
        hasHead = true
      }
      const request: SentRequest = {
        endpoint: endpoint.id,
        sentAtMs: clock.nowMs(),
        deadlineMs: Number(headers[1]),
        lastEventId: headers[3] === '' ? undefined : Number(headers[3]),
        connected: false,
        aborted: false,
        exchange: handler,
        event: id => request.block(`id: ${id}\ndata: x`),
        block: text => {
          head(200, EVENT_STREAM_HEADERS)
          handler.onData(Buffer.from(`${text}\n\n`))
        },
        endEvents: () => {
          head(200, EVENT_STREAM_HEADERS)
          handler.onComplete()
        },
        answer: (status = 200, body = 'ok') => {
          head(status, [...OWN_HEADERS, 'content-type', 'text/plain', 'content-length', String(body.length)])
          if (body !== '') handler.onData(Buffer.from(body))
          handler.onComplete()
        },
        reset: () => handler.onError(Object.assign(new Error('other side closed'), { code: 'UND_ERR_SOCKET' }))
      }
      sent.push(request)
      request.connected = options.onSend?.(request) ?? true
      if (request.connected) handler.onConnect(() => { request.aborted = true })
      return true
    }
  }) as unknown as Pool

  let onClose = (): void => {}
  const response: Record<string, unknown> = {
    headersSent: false,
    destroyed: false,
    useChunkedEncodingByDefault: true,
    on: (_event: string, listener: () => void) => { onClose = listener },
    setHeader: () => {},
    flushHeaders: () => { client.begun = true },
    writeHead: (status: number) => {
      client.status = status
      client.headCount++
      response.headersSent = true
    },
    write: (bytes: Buffer) => {
      if (client.ended) client.piecesAfterEnd++
      // What is written to an answer that was cut, or to a client that has left, is dropped.
      else if (response.destroyed === false) client.body += bytes.toString()
    },
    end: (bytes?: Buffer) => {
      if (client.ended) client.piecesAfterEnd++
      if (response.destroyed === true) return
      client.body += bytes?.toString() ?? ''
      client.ended = true
      client.endedAtMs ??= clock.nowMs()
      clock.after(0, () => onClose())
    },
    destroy: () => {
      client.destroyed = true
      client.endedAtMs ??= clock.nowMs()
      response.destroyed = true
      clock.after(0, () => onClose())
    }
  }

  const metrics = createServingMetrics()
  const load = { online: 0, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: 0 }
  const timeoutMs = options.timeoutMs ?? 2_000
  const route: Route = {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind: options.kind ?? 'idempotent',
    targets: [{ service: 's', weight: 1 }],
    timeoutMs,
    latencyObjectiveMs: 100,
    gapObjectiveMs: 400,
    priority: 0,
    maxAttempts: options.maxAttempts ?? 3,
    resumable: options.resumable ?? true,
    jobDueMs: 0,
    jobExpiryMs: 0,
    waitingTokenLimit: 0,
    isPublic: false
  }
  forwardRequest({
    clock,
    log: SILENT_LOGGER as EventLog,
    metrics,
    loads: { onReport: () => {}, onSent: () => { inProgress.loads++ }, onEnded: () => { inProgress.loads-- }, onFailure: () => {}, onSuccess: () => {}, loadOf: () => load, remove: () => {} },
    placement: {
      prepare: async () => {
        if (options.holdsPlacement === true) await new Promise<void>(resolve => { placed = resolve })
        if (options.placementMs !== undefined) await sleep(clock, options.placementMs())
      },
      choose: ({ excluded }) => endpoints.find(endpoint => !excluded.has(endpoint.startId)),
      candidates: () => endpoints,
      count: () => endpoints.length,
      loadOf: () => load
    },
    use: { onSent: () => { inProgress.notices++ }, onEnded: () => { inProgress.notices-- }, remove: () => {}, close: () => {} },
    pools: { poolOf, openConnections: () => 0, drain: () => {}, closeAll: async () => {} },
    wire: {
      decodeCredential: () => ({ credential: 'none' }),
      credentialScheme: 'Key',
      decodeRequest: () => { throw new Error('the head is decoded already') },
      encodeSend: (_headers, terms) => ['deadline', String(terms.deadlineMs), 'go-on-after', String(terms.lastEventId ?? '')],
      decodeResponse: headers => ({ requestId: headers.get('request-id'), signed: headers.has('signature'), notRun: headers.has('not-run') })
    },
    drainState: { isDraining: () => false },
    holdTimes: createHoldTimes(),
    crashes: { mayRun: () => !isQuarantined, onConnectionLost: () => {}, onEndpointLost: () => {} },
    limits: {
      acquire: async () => options.granted === false
        ? { granted: false, retryAfterMs: 100, granter: 'home' }
        : { granted: true, refund: () => { permitsGivenBack++ } }
    },
    isStillAllowed: () => hasKey,
    traffic: createTrafficCounters(),
    logRateLimiter: createLogRateLimiter(clock, 20),
    random: () => 0.5
  }, {
    request: { method: 'GET', url: '/', headers: {}, rawHeaders: [] } as unknown as IncomingMessage,
    response: response as unknown as ServerResponse,
    body: Buffer.alloc(0),
    metadata: { requestId: REQUEST_ID, deadlineMs: timeoutMs, lastEventId: options.lastEventId, promptPrefixes: [], promptTokens: 1, maxOutputTokens: 1 },
    route,
    caller: { caller: 'unchecked' },
    configurationVersion: 1,
    arrivedAtMs: clock.nowMs()
  })
  return {
    clock,
    sent,
    client,
    removeEndpoints: () => { endpoints.length = 0 },
    replaceEndpoint: isListedAgain => {
      endpoints.shift()
      if (isListedAgain) endpoints.push(endpointNamed(`e${++endpointCount}`))
    },
    untriedCount: () => endpoints.filter(({ id }) => !sent.some(({ endpoint }) => endpoint === id)).length,
    stopNow: () => { (response as unknown as ServerResponse).destroy() },
    takeKeyAway: () => { hasKey = false },
    quarantine: () => { isQuarantined = true },
    inProgress: () => ({ ...inProgress }),
    permitsGivenBack: () => permitsGivenBack,
    placed: () => placed(),
    begunAnswers: async () => (await metrics.begunAnswers.get()).values.map(({ labels }) => [String(labels.end), String(labels.outcome)]),
    leave: () => {
      client.left = true
      response.destroyed = true
      onClose()
    },
    ownPauses: async () => (await metrics.ownPauses.get()).values[0].value
  }
}
