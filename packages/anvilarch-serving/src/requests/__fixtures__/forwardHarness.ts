/** One client request on a fake clock, with endpoints and a client in memory. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import type { Pool } from '../../endpoints/httpPool'
import type { Endpoint, Route } from '../../model/types'
import { createServingMetrics } from '../../telemetry/metrics'
import { createLineBudget } from '../../telemetry/lineBudget'
import type { EventLog } from '../../telemetry/events'
import { createTrafficTally } from '../../telemetry/trafficTally'
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
  aborted: boolean
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
}

/** The request and what is around it. */
export interface ForwardHarness {
  clock: FakeClock
  sent: SentRequest[]
  client: ClientView
  /** Takes all endpoints away. */
  removeEndpoints: () => void
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
}

const REQUEST_ID = 'r1'

const EVENT_STREAM_HEADERS = ['content-type', 'text/event-stream', 'transfer-encoding', 'chunked']

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
  const client: ClientView = { status: undefined, body: '', ended: false, destroyed: false }
  const endpoints = Array.from({ length: options.endpoints ?? 2 }, (_, index) => endpointNamed(`e${index + 1}`))
  let placed: () => void = () => {}

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
        aborted: false,
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
          head(status, ['content-type', 'text/plain', 'content-length', String(body.length)])
          if (body !== '') handler.onData(Buffer.from(body))
          handler.onComplete()
        },
        reset: () => handler.onError(Object.assign(new Error('other side closed'), { code: 'UND_ERR_SOCKET' }))
      }
      sent.push(request)
      handler.onConnect(() => { request.aborted = true })
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
    flushHeaders: () => {},
    writeHead: (status: number) => {
      client.status = status
      response.headersSent = true
    },
    write: (bytes: Buffer) => { client.body += bytes.toString() },
    end: (bytes?: Buffer) => {
      client.body += bytes?.toString() ?? ''
      client.ended = true
    },
    destroy: () => { client.destroyed = true }
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
    loads: { onReport: () => {}, onSent: () => {}, onEnded: () => {}, onFailure: () => {}, onSuccess: () => {}, loadOf: () => load, forget: () => {} },
    placement: {
      prepare: async () => { if (options.holdsPlacement === true) await new Promise<void>(resolve => { placed = resolve }) },
      choose: ({ excluded }) => endpoints.find(endpoint => !excluded.has(endpoint.startId)),
      known: () => endpoints,
      count: () => endpoints.length,
      loadOf: () => load
    },
    use: { onSent: () => {}, onEnded: () => {}, forget: () => {}, close: () => {} },
    pools: { poolOf, openTo: () => 0, release: () => {}, closeAll: async () => {} },
    wire: {
      decodeCredential: () => ({ credential: 'none' }),
      credentialScheme: 'Key',
      decodeRequest: () => { throw new Error('the head is decoded already') },
      encodeSend: (_headers, terms) => ['deadline', String(terms.deadlineMs)],
      decodeAnswer: () => ({ requestId: REQUEST_ID, signed: true, notRun: false })
    },
    notice: { isLeaving: () => false },
    holdTimes: createHoldTimes(),
    crashes: { mayRun: () => true, onBroken: () => {}, onEndpointLost: () => {} },
    limits: { ask: async () => ({ granted: true, giveBack: () => {} }) },
    isStillAllowed: () => true,
    traffic: createTrafficTally(),
    lines: createLineBudget(clock, 20),
    draw: () => 0.5
  }, {
    request: { method: 'GET', url: '/', headers: {}, rawHeaders: [] } as unknown as IncomingMessage,
    response: response as unknown as ServerResponse,
    body: Buffer.alloc(0),
    metadata: { requestId: REQUEST_ID, deadlineMs: timeoutMs, lastEventId: undefined, promptParts: [], promptTokens: 1, maxOutputTokens: 1 },
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
    placed: () => placed(),
    begunAnswers: async () => (await metrics.begunAnswers.get()).values.map(({ labels }) => [String(labels.end), String(labels.outcome)]),
    leave: () => onClose(),
    ownPauses: async () => (await metrics.ownPauses.get()).values[0].value
  }
}
