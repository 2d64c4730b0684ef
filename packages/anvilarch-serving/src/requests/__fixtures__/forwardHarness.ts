/** Runs one client request on a fake clock, with in-memory endpoints and an in-memory client. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { type ConnectionEnd, createFakeClock, type FakeClock, SILENT_LOGGER, sleep } from 'anvilarch-utils'
import type { Caller } from '../../accounts/types'
import type { DrainState } from '../../drain/drainState'
import type { ConnectResult } from '../../crashes/lossProber'
import type { Pool } from '../../endpoints/httpPool'
import type { Endpoint, Route } from '../../model/types'
import { createServingMetrics } from '../../telemetry/metrics'
import { createLogRateLimiter } from '../../telemetry/logRateLimiter'
import type { EventLog } from '../../telemetry/events'
import { createTrafficCounters } from '../../telemetry/trafficCounters'
import { forwardRequest } from '../forwardRequest'
import type { ForwardParts } from '../forwardTypes'
import { createByteBudget } from '../byteBudget'
import { cutResponse } from '../clientResponse'
import { createHoldTimes } from '../holdTimes'
import { createServiceTurns } from '../serviceTurns'
import type { ClientView, ExchangeHandler, SentRequest } from './harnessTypes'
import { type DrainTimes, startDrain } from './startDrain'

export type { ClientView, SentRequest }

/** The request, its client and its endpoints. */
export interface ForwardHarness {
  clock: FakeClock
  sent: SentRequest[]
  client: ClientView
  /** @returns the times of the drain; undefined before the stop signal */
  drainSchedule: DrainState['schedule']
  /** Removes all endpoints. */
  removeEndpoints: () => void
  /** Removes the first endpoint and, if `isReplaced`, adds a new one. */
  replaceEndpoint: (isReplaced: boolean) => void
  /** @returns the number of listed endpoints that the request has not been sent to */
  untriedCount: () => number
  /** @returns ids of the listed endpoints */
  listed: () => string[]
  /** Closes the client's connection, as the end of a shutdown does. */
  closeOnShutdown: () => void
  /** Revokes the key of the caller. */
  revokeKey: () => void
  /** Quarantines the request. */
  quarantine: () => void
  /** @returns the numbers of requests in progress at endpoints according to the load table and to the usage reporter */
  inProgress: () => { loads: number, usageReports: number }
  /** @returns how often the permit was refunded */
  permitsRefunded: () => number
  /** Losses of connections and endpoints, and completions, as reported to the crash monitor. */
  crashReports: string[]
  /** Completes the pending placement. */
  finishPlacement: () => void
  /** @returns how started responses ended and the outcomes of their requests, from the metrics */
  startedResponses: () => Promise<Array<[end: string, outcome: string]>>
  /** @returns the numbers of ends in order without a length, by what came of them */
  endsByClose: () => Promise<Record<string, number>>
  /** Closes the connection from the client's side. */
  disconnect: () => void
  /** @returns how many process pauses the gateway has detected */
  processPauses: () => Promise<number>
}

/** Options of `forwardOnFakeClock`. */
export interface ForwardHarnessOptions {
  kind?: Route['kind']
  timeoutMs?: number
  endpoints?: number
  /** Whether the placement waits for a call of `finishPlacement`. */
  delaysPlacement?: boolean
  maxAttempts?: number
  resumable?: boolean
  /** Id of the last event that the client already has. */
  lastEventId?: number
  /** @returns the duration of the next placement */
  placementMs?: () => number
  /** Whether the rate limit of the account permits the request. */
  granted?: boolean
  /** When the gateway gets its stop signal, relative to the arrival of the request, and the length of its grace period. */
  drain?: DrainTimes
  /** Called for each send. @returns whether the connection to the endpoint is made */
  onSend?: (request: SentRequest) => boolean
  /** @returns whether a process listens at an endpoint */
  probe?: (endpoint: string) => ConnectResult | Promise<ConnectResult>
  /** Called for each write to the client after it was made. */
  onWrite?: () => void
  /** Called before the gateway closes the connection of the client without a complete response. */
  onCut?: () => void
  /** Clock that several requests share. */
  clock?: FakeClock
  maxOutputTokens?: number
  /** Time after which clients of the stream leave without an event. */
  clientEventTimeoutMs?: number
  /** Time that the client states; the timeout of the route if undefined. */
  deadlineMs?: number
  caller?: Caller
  /** Dependencies in place of those of the harness, as when several requests share them. */
  parts?: Partial<ForwardParts>
}

const REQUEST_ID = 'r1'

/** Headers of a signed response that belongs to the request. */
export const SIGNED_HEADERS = ['request-id', REQUEST_ID, 'signature', 's']
export const EVENT_STREAM_HEADERS = [...SIGNED_HEADERS, 'content-type', 'text/event-stream', 'transfer-encoding', 'chunked']

function endpointNamed (id: string): Endpoint {
  return { id, bornAtMs: undefined, startId: id, service: 's', address: `${id}:1`, failureDomain: 'a', softwareVersion: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1 }
}

/** Time after which an endpoint of the harness counts as silent: the longest that endpoints have lately taken. The second is the mean. */
const ENDPOINT_TIMEOUT_MS = 300
const USUAL_ANSWER_MS = 37.5

/**
 * @param options - route, endpoints and placement
 * @returns the harness; the request has just arrived
 */
export function forwardOnFakeClock (options: ForwardHarnessOptions = {}): ForwardHarness {
  const clock = options.clock ?? createFakeClock()
  const sent: SentRequest[] = []
  const client: ClientView = { status: undefined, retryAfterMs: undefined, headers: [], body: '', ended: false, destroyed: false, responseStarted: false, disconnected: false, endedAtMs: undefined, headCount: 0, writesAfterEnd: 0 }
  const endpoints = Array.from({ length: options.endpoints ?? 2 }, (_, index) => endpointNamed(`e${index + 1}`))
  let endpointCount = endpoints.length
  let finishPlacement: () => void = () => {}
  let hasKey = true
  let isQuarantined = false
  let permitsRefunded = 0
  const crashReports: string[] = []
  const inProgress = { loads: 0, usageReports: 0 }

  let lastConnectionEnd: ConnectionEnd = 'broken'
  const poolOf = (endpoint: Endpoint): Pool => ({
    lastConnectionEnd: () => lastConnectionEnd,
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
        respond: (status = 200, body = 'ok') => {
          head(status, [...SIGNED_HEADERS, 'content-type', 'text/plain', 'content-length', String(body.length)])
          if (body !== '') handler.onData(Buffer.from(body))
          handler.onComplete()
        },
        refuse: () => {
          head(503, [...SIGNED_HEADERS, 'not-run', 'full', 'content-length', '0'])
          handler.onComplete()
        },
        reset: () => handler.onError(Object.assign(new Error('other side closed'), { code: 'UND_ERR_SOCKET' })),
        endConnection: end => {
          lastConnectionEnd = end
          handler.onComplete()
        }
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
    setHeader: (name: string, value: string) => { if (name === 'Retry-After') client.retryAfterMs = Number(value) * 1000 },
    flushHeaders: () => { client.responseStarted = true },
    writeHead: (status: number, headers: string[] = []) => {
      Object.assign(client, { status, headers, headCount: client.headCount + 1 })
      response.headersSent = true
    },
    write: (bytes: Buffer) => {
      if (client.ended) client.writesAfterEnd++
      // Writes to a response that was cut, or to a disconnected client, are dropped.
      else if (response.destroyed === false) client.body += bytes.toString()
      options.onWrite?.()
    },
    end: (bytes?: Buffer) => {
      if (client.ended) client.writesAfterEnd++
      if (response.destroyed === true) return
      client.body += bytes?.toString() ?? ''
      client.ended = true
      client.endedAtMs ??= clock.nowMs()
      clock.after(0, () => onClose())
    },
    destroy: () => {
      options.onCut?.()
      client.destroyed = true
      client.endedAtMs ??= clock.nowMs()
      response.destroyed = true
      clock.after(0, () => onClose())
    }
  }

  const drainState = startDrain(clock, options.drain)
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
    gapObjectiveMs: ENDPOINT_TIMEOUT_MS + USUAL_ANSWER_MS,
    clientEventTimeoutMs: options.clientEventTimeoutMs ?? 3200,
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
        if (options.delaysPlacement === true) await new Promise<void>(resolve => { finishPlacement = resolve })
        if (options.placementMs !== undefined) await sleep(clock, options.placementMs())
      },
      choose: ({ excluded, allowed }) => endpoints.find(({ startId }) => !excluded.has(startId) && (allowed?.has(startId) ?? true)),
      candidates: () => endpoints,
      count: () => endpoints.length,
      slotCount: () => endpoints.reduce((sum, { slots }) => sum + slots, 0),
      loadOf: () => load
    },
    usageReporter: { onSent: () => { inProgress.usageReports++ }, onEnded: () => { inProgress.usageReports-- }, remove: () => {}, close: () => {} },
    probeConnection: async address => await options.probe?.(address.split(':')[0]) ?? 'connected',
    pools: { poolOf, openConnections: () => 0, drain: () => {}, closeAll: async () => {} },
    wire: {
      decodeCredential: () => ({ credential: 'none' }),
      credentialScheme: 'Key',
      decodeRequest: () => { throw new Error('the head has already been decoded') },
      encodeSend: (_headers, terms) => ['deadline', String(terms.deadlineMs), 'go-on-after', String(terms.lastEventId ?? '')],
      decodeResponse: headers => ({ requestId: headers.get('request-id'), signed: headers.has('signature'), notRun: headers.has('not-run') })
    },
    drainState,
    holdTimes: { ...createHoldTimes(), answerMs: () => USUAL_ANSWER_MS, slotTimeMs: () => USUAL_ANSWER_MS, runMs: () => USUAL_ANSWER_MS, longestRunMs: () => ENDPOINT_TIMEOUT_MS, longestEventGapMs: () => 0 },
    serviceTurns: createServiceTurns(clock, () => 1),
    routesTo: () => [route],
    responseBudget: createByteBudget(Infinity),
    crashes: {
      admit: () => isQuarantined ? 'quarantined' : 'admitted',
      claimTrial: async () => false,
      mayRunAgain: () => !isQuarantined,
      onConnectionLost: (_request, { startId }) => { crashReports.push(`connection ${startId}`) },
      onEndpointLost: startId => { crashReports.push(`endpoint ${startId}`) },
      onCompleted: () => { crashReports.push('completed') }
    },
    streamOrigins: { resolve: async () => ({ resolution: 'single', versions: new Map([['s', 'v1']]) }), onStarted: () => {}, onEnded: () => {}, onMessage: () => {} },
    limits: {
      acquire: async () => options.granted === false ? { granted: false, retryAfterMs: 100, granter: 'home' } : { granted: true, refund: () => { permitsRefunded++ } }
    },
    isStillAuthorized: () => hasKey,
    allLimitsPerSecond: () => 0,
    traffic: createTrafficCounters(),
    logRateLimiter: createLogRateLimiter(clock, 20),
    random: () => 0.5,
    ...options.parts
  }, {
    request: { method: 'GET', url: '/', headers: {}, rawHeaders: [] } as unknown as IncomingMessage,
    response: response as unknown as ServerResponse,
    body: Buffer.alloc(0),
    metadata: { requestId: REQUEST_ID, deadlineMs: options.deadlineMs ?? timeoutMs, lastEventId: options.lastEventId, resumesRequestId: undefined, promptPrefixes: [], promptTokens: 1, maxOutputTokens: options.maxOutputTokens ?? 1 },
    route,
    caller: options.caller ?? { caller: 'unchecked' },
    configurationVersion: 1,
    arrivedAtMs: clock.nowMs(),
    readAtMs: clock.nowMs()
  })
  return {
    clock,
    sent,
    client,
    drainSchedule: drainState.schedule,
    removeEndpoints: () => { endpoints.length = 0 },
    replaceEndpoint: isReplaced => {
      endpoints.shift()
      if (isReplaced) endpoints.push(endpointNamed(`e${++endpointCount}`))
    },
    untriedCount: () => endpoints.filter(({ id }) => !sent.some(({ endpoint }) => endpoint === id)).length,
    listed: () => endpoints.map(({ id }) => id),
    closeOnShutdown: () => cutResponse(response as unknown as ServerResponse, 'gateway_closed'),
    revokeKey: () => { hasKey = false },
    quarantine: () => { isQuarantined = true },
    inProgress: () => ({ ...inProgress }),
    permitsRefunded: () => permitsRefunded,
    crashReports,
    finishPlacement: () => finishPlacement(),
    startedResponses: async () => (await metrics.begunAnswers.get()).values.map(({ labels }) => [String(labels.end), String(labels.outcome)]),
    endsByClose: async () => Object.fromEntries((await metrics.endsByClose.get()).values.map(({ labels, value }) => [String(labels.end), value])),
    disconnect: () => {
      client.disconnected = true
      response.destroyed = true
      onClose()
    },
    processPauses: async () => (await metrics.processPauses.get()).values[0].value
  }
}
