/** Plays requests of many callers through one gateway on a fake clock, at endpoints with slots and a queue in order of arrival. */
import { createFakeClock, createRandom, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { createAccountMeters } from '../../accounts/limits/accountMeters'
import { createRateLimiter } from '../../accounts/limits/rateLimiter'
import type { Caller, ClientAccount } from '../../accounts/types'
import type { EndpointLoad } from '../../endpoints/loadTable'
import type { Placement } from '../../endpoints/placement'
import type { Endpoint, Route } from '../../model/types'
import type { EventLog } from '../../telemetry/events'
import { createHoldTimes } from '../holdTimes'
import { createServiceTurns } from '../serviceTurns'
import type { ForwardParts } from '../forwardTypes'
import { type ForwardHarness, forwardOnFakeClock, type SentRequest } from './forwardHarness'

/** A caller and what its request needs. */
export interface PlannedCaller {
  group: string
  arrivesAtMs: number
  kind: Route['kind']
  /** Timeout of its route. */
  routeTimeoutMs: number
  /** Time that the caller has. */
  timeLeftMs: number
  /** Time for which its request holds a slot. */
  holdMs: number
  /** Tokens that it generates, in proportion to that time. */
  outputTokens?: number
  /** Time after which clients of the stream leave without an event. */
  clientEventTimeoutMs?: number
  account?: ClientAccount
}

/** What became of a caller. */
export interface PlayedCaller extends PlannedCaller {
  attempts: number
  /** Status of its last response; undefined if its time was over. */
  status: number | undefined
  /** Time of its last response. */
  endedAtMs: number
  /** Time at which an endpoint began its request; undefined if none did. */
  beganAtMs: number | undefined
  /** Retry-After of its refusals. */
  retryAfterMs: number[]
}

/** Endpoints and retries of a play. */
export interface CallerFleetOptions {
  callers: readonly PlannedCaller[]
  endpoints: number
  slots: number
  /** Requests that an endpoint queues before it refuses. */
  queueLength: number
  /** How often a refused caller returns, at its Retry-After. */
  maxReturns: number
  untilMs: number
  /** Dependencies in place of the usual ones. */
  parts?: Partial<ForwardParts>
}

/** Time of a response on its way to the caller, and of the caller's next request on its way back. */
const ROUND_TRIP_MS = 2

const STEP_MS = 1

/** Longest timeout of all routes of the configuration. */
const LONGEST_TIMEOUT_MS = 8000

interface QueuedRequest {
  sent: SentRequest
  caller: PlayedCaller
}

interface EndpointQueue {
  endpoint: Endpoint
  running: Set<QueuedRequest>
  waiting: QueuedRequest[]
}

/**
 * @param options - callers, endpoints and retries
 * @returns what became of the callers
 */
export async function playCallers (options: CallerFleetOptions): Promise<PlayedCaller[]> {
  const clock = createFakeClock()
  const queues = Array.from({ length: options.endpoints }, (_, index) => createQueue(`e${index + 1}`, options.slots))
  const shared = sharedParts(clock, queues, options)
  const played: PlayedCaller[] = options.callers.map(caller => ({ ...caller, attempts: 0, status: undefined, endedAtMs: Infinity, beganAtMs: undefined, retryAfterMs: [] }))
  let due = played.map(caller => ({ caller, atMs: caller.arrivesAtMs }))
  let open: Array<{ caller: PlayedCaller, harness: ForwardHarness }> = []

  const leave = (queue: EndpointQueue): void => {
    for (const request of queue.running) if (request.sent.aborted) queue.running.delete(request)
    queue.waiting = queue.waiting.filter(({ sent }) => !sent.aborted)
    while (queue.running.size < options.slots && queue.waiting.length > 0) start(queue, queue.waiting.shift() as QueuedRequest)
  }
  const start = (queue: EndpointQueue, request: QueuedRequest): void => {
    queue.running.add(request)
    request.caller.beganAtMs ??= clock.nowMs()
    if (request.caller.kind === 'stream') request.sent.event(1)
    clock.after(request.caller.holdMs, () => {
      if (!queue.running.delete(request)) return
      if (request.caller.kind === 'stream') request.sent.endEvents()
      else request.sent.respond()
      leave(queue)
    })
  }
  const arriveAtEndpoint = (caller: PlayedCaller, sent: SentRequest): void => {
    const queue = queues.find(({ endpoint }) => endpoint.id === sent.endpoint)
    if (queue === undefined || sent.aborted) return
    leave(queue)
    const request = { sent, caller }
    if (queue.running.size < options.slots) start(queue, request)
    else if (queue.waiting.length < options.queueLength) queue.waiting.push(request)
    else sent.refuse()
  }
  const send = (caller: PlayedCaller): void => {
    caller.attempts++
    const account: Caller | undefined = caller.account && { caller: 'account', account: caller.account, keyDigest: '' }
    const harness = forwardOnFakeClock({
      clock,
      kind: caller.kind,
      timeoutMs: caller.routeTimeoutMs,
      deadlineMs: caller.arrivesAtMs + caller.timeLeftMs - clock.nowMs(),
      caller: account,
      maxOutputTokens: caller.outputTokens,
      clientEventTimeoutMs: caller.clientEventTimeoutMs,
      resumable: false,
      parts: shared,
      onSend: sent => {
        clock.after(0, () => arriveAtEndpoint(caller, sent))
        return true
      }
    })
    open.push({ caller, harness })
  }
  const onEnded = (caller: PlayedCaller, { client }: ForwardHarness): void => {
    const nowMs = clock.nowMs()
    Object.assign(caller, { status: client.destroyed ? undefined : client.status, endedAtMs: nowMs })
    if (client.retryAfterMs !== undefined) caller.retryAfterMs.push(client.retryAfterMs)
    const returnsAtMs = nowMs + (client.retryAfterMs ?? 0) + ROUND_TRIP_MS
    const mayReturn = (client.status === 429 || client.status === 503) && caller.attempts <= options.maxReturns
    if (mayReturn && returnsAtMs < caller.arrivesAtMs + caller.timeLeftMs) due.push({ caller, atMs: returnsAtMs })
  }

  while (clock.nowMs() < options.untilMs) {
    const nowMs = clock.nowMs()
    const arriving = due.filter(({ atMs }) => atMs <= nowMs)
    due = due.filter(({ atMs }) => atMs > nowMs)
    arriving.forEach(({ caller }) => send(caller))
    await clock.advanceAsync(STEP_MS)
    for (const queue of queues) leave(queue)
    const ended = open.filter(({ harness }) => harness.client.ended || harness.client.destroyed)
    open = open.filter(request => !ended.includes(request))
    ended.forEach(({ caller, harness }) => onEnded(caller, harness))
  }
  return played
}

function createQueue (id: string, slots: number): EndpointQueue {
  const endpoint: Endpoint = { id, bornAtMs: undefined, startId: id, service: 's', address: `${id}:1`, failureDomain: 'a', softwareVersion: 'v1', slots, state: 'ready', coldLeftMs: 0, listedVersion: 1 }
  return { endpoint, running: new Set(), waiting: [] }
}

function sharedParts (clock: FakeClock, queues: readonly EndpointQueue[], options: CallerFleetOptions): Partial<ForwardParts> {
  const random = createRandom(7)
  const endpoints = queues.map(({ endpoint }) => endpoint)
  const loadOf = (endpoint: Endpoint): EndpointLoad => {
    const queue = queues.find(candidate => candidate.endpoint === endpoint) as EndpointQueue
    return { online: queue.running.size + queue.waiting.length, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: 0, eventIntervalMs: undefined }
  }
  const placement: Placement = {
    prepare: async () => {},
    choose: ({ excluded }) => endpoints.filter(({ startId }) => !excluded.has(startId)).sort((a, b) => loadOf(a).online - loadOf(b).online)[0],
    candidates: () => endpoints,
    count: () => endpoints.length,
    slotCount: () => endpoints.length * options.slots,
    loadOf
  }
  const accounts = new Map(options.callers.flatMap(({ account }) => account === undefined ? [] : [[account.name, account]]))
  const bounds = { windowMs: 5000, overrunShare: 0, slackRequests: 0 }
  const meters = createAccountMeters({ clock, bounds, account: name => accounts.get(name), gatewayCount: () => 1, longestReturnMs: () => LONGEST_TIMEOUT_MS / 3 })
  const routes = options.callers.map(({ kind, routeTimeoutMs }) => ({ kind, timeoutMs: routeTimeoutMs } as Route))
  const own = { name: 'own', peerAddress: '127.0.0.1:1' }
  const permitClient = { request: async () => undefined, refund: () => {} }
  const limits = createRateLimiter({ clock, log: SILENT_LOGGER as EventLog, ownName: 'own', meters, permitClient, meterGatewaysOf: () => [own], mayGrantAsHome: () => true })
  return { placement, limits, holdTimes: createHoldTimes(), serviceTurns: createServiceTurns(clock, () => 1), routesTo: () => routes, random: () => random.next(), ...options.parts }
}
