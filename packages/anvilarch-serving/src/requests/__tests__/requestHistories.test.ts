/**
 * Guards against: a stream with a missing, duplicate or out-of-order event; a response that looks complete and is not, or that no
 * endpoint sent; a refusal of a request that may have run; a run beyond the limit, beside one that
 * is not silent, or beside the one whose events the client gets; a response that is ended while an endpoint still works on it; a request that does
 * not end, or continues after its end.
 * Generated histories: endpoints send wrong responses, close connections, stop responding, refuse and are replaced one after
 * another or pause together, while clients disconnect, keys are revoked, requests are quarantined, and the process pauses or shuts down.
 */
import fc from 'fast-check'
import { forwardOnFakeClock, type ForwardHarness } from '../__fixtures__/forwardHarness'
import { MIN_REMAINING_MS } from '../retryDecision'
import { type Ending, type EndingKind, eventData, type Run, runScript } from '../__fixtures__/scriptedEndpoint'

type Step =
  | { step: 'wait' | 'pause' | 'pause_engines', ms: number }
  | { step: 'replace', isReplaced: boolean }
  | { step: 'disconnect' | 'stop' | 'revoke_key' | 'quarantine' | 'remove_endpoints' }

interface History {
  kind: 'stream' | 'idempotent' | 'once'
  resumable: boolean
  maxAttempts: number
  timeoutMs: number
  endpoints: number
  eventCount: number
  lastEventId: number | undefined
  granted: boolean
  drain: { signalAtMs: number, graceMs: number } | undefined
  placementMs: number[]
  endings: Ending[]
  steps: Step[]
}

const SEED = Number(process.env.REQUEST_HISTORIES_SEED ?? 31_012)
const RUNS = Number(process.env.REQUEST_HISTORIES ?? 1500)

/** Limit on the sends of a request, refused ones included. */
const MAX_SENDS = 6

/** Shortest time without an event or a response after which a request is sent to a second endpoint. */
const MIN_SILENCE_MS = 250

/** Time within which every script ends: up to thirty events with their gaps. */
const LAST_WAIT_MS = 60_000

const atEvent = fc.oneof({ weight: 4, arbitrary: fc.nat({ max: 4 }) }, { weight: 1, arbitrary: fc.nat({ max: 30 }) })

const endingKind: fc.Arbitrary<EndingKind> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ ending: fc.constant('whole' as const) }) },
  {
    weight: 3,
    arbitrary: fc.record({
      ending: fc.constantFrom('from_start' as const, 'of_another' as const, 'unsigned' as const, 'encoded' as const, 'unframed' as const, 'empty' as const, 'no_answer' as const, 'not_reached' as const)
    })
  },
  {
    weight: 8,
    arbitrary: fc.record({
      ending: fc.constantFrom('break' as const, 'break' as const, 'half_event' as const, 'half_event_end' as const, 'silent' as const, 'skip' as const, 'repeat' as const, 'lower' as const, 'without_id' as const, 'unframed_end' as const),
      atEvent
    })
  },
  {
    weight: 4,
    arbitrary: fc.record({
      ending: fc.constantFrom('status' as const, 'status' as const, 'half_status' as const),
      status: fc.constantFrom(500, 500, 504, 404, 422, 206, 204, 200, 200, 200, 302, 408, 429, 503),
      body: fc.constantFrom('', '', 'a paragraph\n\n', 'text')
    })
  },
  {
    weight: 3,
    arbitrary: fc.record({
      ending: fc.constantFrom('refusal' as const, 'refusal' as const, 'half_refusal' as const),
      status: fc.constantFrom(421 as const, 429 as const, 503 as const, 400 as const)
    })
  }
)

const pace = fc.record({
  headMs: fc.oneof({ weight: 5, arbitrary: fc.nat({ max: 30 }) }, { weight: 1, arbitrary: fc.nat({ max: 1500 }) }),
  queueMs: fc.oneof({ weight: 5, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.nat({ max: 4000 }) }),
  gapMs: fc.oneof({ weight: 5, arbitrary: fc.nat({ max: 20 }) }, { weight: 1, arbitrary: fc.nat({ max: 500 }) }),
  chunkBytes: fc.constantFrom(0, 0, 1, 7, 64),
  style: fc.constantFrom('plain' as const, 'crlf' as const, 'with_version' as const, 'with_comments' as const)
})

const ending: fc.Arbitrary<Ending> = fc.tuple(endingKind, pace).map(([kind, speed]) => ({ ...kind, ...speed }))

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 14, arbitrary: fc.record({ step: fc.constant('wait' as const), ms: fc.oneof(fc.nat({ max: 60 }), fc.nat({ max: 600 })) }) },
  { weight: 2, arbitrary: fc.record({ step: fc.constant('pause' as const), ms: fc.nat({ max: 1500 }) }) },
  { weight: 2, arbitrary: fc.record({ step: fc.constant('pause_engines' as const), ms: fc.integer({ min: 200, max: 2500 }) }) },
  { weight: 2, arbitrary: fc.record({ step: fc.constant('replace' as const), isReplaced: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ step: fc.constantFrom('disconnect' as const, 'disconnect' as const, 'stop' as const, 'revoke_key' as const, 'quarantine' as const, 'remove_endpoints' as const) }) }
)

const historyArbitrary: fc.Arbitrary<History> = fc.record({
  kind: fc.constantFrom('stream' as const, 'stream' as const, 'stream' as const, 'idempotent' as const, 'once' as const),
  resumable: fc.oneof({ weight: 3, arbitrary: fc.constant(true) }, { weight: 1, arbitrary: fc.constant(false) }),
  maxAttempts: fc.integer({ min: 1, max: 4 }),
  timeoutMs: fc.constantFrom(200, 2000, 2000, 5000, 5000),
  endpoints: fc.integer({ min: 1, max: 8 }),
  eventCount: fc.oneof({ weight: 3, arbitrary: fc.integer({ min: 1, max: 8 }) }, { weight: 1, arbitrary: fc.integer({ min: 1, max: 30 }) }),
  lastEventId: fc.option(fc.nat({ max: 3 }), { nil: undefined }),
  granted: fc.oneof({ weight: 19, arbitrary: fc.constant(true) }, { weight: 1, arbitrary: fc.constant(false) }),
  drain: fc.option(fc.record({ signalAtMs: fc.integer({ min: -4500, max: 2500 }), graceMs: fc.constantFrom(4000, 8000) }), { nil: undefined, freq: 3 }),
  placementMs: fc.array(fc.oneof(fc.constant(0), fc.nat({ max: 100 })), { minLength: 1, maxLength: 4 }),
  endings: fc.array(ending, { minLength: 8, maxLength: 8 }),
  steps: fc.array(step, { minLength: 2, maxLength: 16 })
})

/** One request with its sends and the violations found so far. */
interface PlayedRequest {
  history: History
  harness: ForwardHarness
  runs: Run[]
  /** Number of sends beside a send in progress that was not silent, and of events while a second send was in progress. */
  concurrent: number
  /** Number of sends to an endpoint that had not refused the request before. */
  repeated: number
  /** Sends in progress when the gateway ended the response, before its time was over. */
  abandoned: number
  /** Number of sends after the client disconnected, after the request ended or past its deadline. */
  unwanted: number
  /** Number of sends that do not resume after the last event that the client has. */
  wrongStarts: number
  /** Number of first sends and retries late in a drain that its end may cut. */
  lateSends: number
  isStopped: boolean
  /** Whether nothing new may be sent for the request, since its key was revoked or it was quarantined. */
  isBlocked: boolean
  enginesPausedUntilMs: number
  /** Number of untried endpoints when the request ended. */
  untriedAtEnd: number | undefined
}

function begin (history: History): PlayedRequest {
  const runs: Run[] = []
  let placements = 0
  const played: Omit<PlayedRequest, 'harness'> = { history, runs, concurrent: 0, repeated: 0, abandoned: 0, unwanted: 0, wrongStarts: 0, lateSends: 0, isStopped: false, isBlocked: false, enginesPausedUntilMs: 0, untriedAtEnd: undefined }
  const eventCount = Math.max(history.eventCount, history.lastEventId ?? 0)
  const inProgress = (): Run[] => runs.filter(run => !run.isOver() && run.request.connected)
  const harness = forwardOnFakeClock({
    kind: history.kind,
    resumable: history.resumable,
    maxAttempts: history.maxAttempts,
    timeoutMs: history.timeoutMs,
    endpoints: history.endpoints,
    lastEventId: history.lastEventId,
    granted: history.granted,
    drain: history.drain,
    placementMs: () => history.placementMs[placements++ % history.placementMs.length],
    onSend: request => {
      const { clock, client } = harness
      if (inProgress().some(run => clock.nowMs() - run.lastEventAtMs < MIN_SILENCE_MS)) played.concurrent++
      if (inProgress().length > 0 && !mayRunTwice(history)) played.concurrent++
      if (runs.some(run => run.request.endpoint === request.endpoint && run.mayHaveRun())) played.repeated++
      // A shutdown destroys the response; its close event follows later.
      const hasEndedForClient = client.disconnected || client.ended || (client.destroyed && !played.isStopped)
      if (hasEndedForClient || clock.nowMs() + request.deadlineMs > history.timeoutMs) played.unwanted++
      if (!client.responseStarted && mayBeCut(harness, history, clock.nowMs())) played.lateSends++
      const receivedCount = history.kind === 'stream' && history.resumable ? dataOf(client.body).length : 0
      if ((request.lastEventId ?? 0) !== (history.lastEventId ?? 0) + receivedCount) played.wrongStarts++
      const next = history.endings[runs.length % history.endings.length]
      runs.push(runScript(clock, request, next, { streams: history.kind === 'stream', eventCount, pausedUntilMs: () => played.enginesPausedUntilMs }))
      return next.ending !== 'not_reached'
    },
    onWrite: () => { if (inProgress().length > 1) played.concurrent++ },
    onCut: () => { if (!played.isStopped && !isOverAt(harness, harness.clock.nowMs()) && harness.clock.nowMs() < history.timeoutMs) played.abandoned += inProgress().length }
  })
  return Object.assign(played, { harness })
}

async function takeStep (played: PlayedRequest, next: Step): Promise<void> {
  const { harness } = played
  switch (next.step) {
    case 'wait':
      await harness.clock.advanceAsync(next.ms)
      break
    case 'pause':
      harness.clock.stall(next.ms)
      break
    case 'pause_engines':
      played.enginesPausedUntilMs = harness.clock.nowMs() + next.ms
      break
    case 'replace':
      harness.replaceEndpoint(next.isReplaced)
      break
    case 'stop':
      if (!harness.client.ended && !harness.client.destroyed) {
        played.isStopped = true
        harness.closeOnShutdown()
      }
      break
    default:
      played.isBlocked ||= next.step === 'revoke_key' || next.step === 'quarantine'
      actions[next.step](harness)
  }
  if (hasEnded(played)) played.untriedAtEnd ??= harness.untriedCount()
}

const actions = {
  disconnect: (harness: ForwardHarness) => { if (!harness.client.ended && !harness.client.destroyed) harness.disconnect() },
  revoke_key: (harness: ForwardHarness) => harness.revokeKey(),
  quarantine: (harness: ForwardHarness) => harness.quarantine(),
  remove_endpoints: (harness: ForwardHarness) => harness.removeEndpoints()
}

/** @returns whether the end of a drain may cut what begins at this time */
function mayBeCut ({ drainSchedule }: ForwardHarness, { timeoutMs }: History, nowMs: number): boolean {
  const schedule = drainSchedule()
  return schedule !== undefined && nowMs >= schedule.acceptUntilMs && timeoutMs > schedule.endAtMs
}

/** @returns whether the drain is over at this time, so that the gateway ends what is left */
function isOverAt ({ drainSchedule }: ForwardHarness, nowMs: number): boolean {
  return nowMs >= (drainSchedule()?.endAtMs ?? Infinity)
}

function hasEnded ({ harness: { client } }: PlayedRequest): boolean {
  return client.ended || client.destroyed || client.disconnected
}

function mayRunTwice ({ kind, resumable }: History): boolean {
  return kind === 'idempotent' || (kind === 'stream' && resumable)
}

function dataOf (body: string): string[] {
  return [...body.matchAll(/^data: (.*?)\r?$/gm)].map(([, data]) => data)
}

/** @returns the data of `count` events, starting with the first one that the client does not have */
function expectedData ({ history }: PlayedRequest, count: number): string[] {
  return Array.from({ length: count }, (_, index) => eventData((history.lastEventId ?? 0) + 1 + index))
}

const GATEWAY_STATUSES = [401, 429, 502, 503, 504]

/** Statuses that tell the client that its request has not run. */
const REFUSALS = [401, 429, 503]

function checkStream (played: PlayedRequest): void {
  const { history, harness: { client }, runs } = played
  const data = dataOf(client.body)
  expect(data).toEqual(expectedData(played, data.length))
  if (!client.ended) return
  expect(data).toHaveLength(Math.max(0, history.eventCount - (history.lastEventId ?? 0)))
  expect(runs.some(run => run.endedStream && !run.request.aborted)).toBe(true)
}

/** A response is cut only if a block of it has come and an endpoint has failed, the deadline has passed or the drain is over. */
function checkCut ({ history, harness, runs, isBlocked }: PlayedRequest): void {
  const { client } = harness
  const endedAtMs = client.endedAtMs ?? 0
  expect(client.body).not.toBe('')
  if (isBlocked || endedAtMs >= history.timeoutMs || isOverAt(harness, endedAtMs)) return
  expect(runs.some(run => run.failed)).toBe(true)
}

function checkBuffered ({ harness: { client }, runs }: PlayedRequest): void {
  const { status, body } = client
  expect(client.destroyed && client.status === undefined).toBe(false)
  if (body.startsWith('{"error"')) {
    expect(GATEWAY_STATUSES).toContain(status)
    if (REFUSALS.includes(status ?? 0)) expect(runs.filter(run => run.mayHaveRun())).toEqual([])
  } else {
    expect(runs.map(run => run.whole)).toContainEqual({ status, body })
    expect([408, 421, 429, 503]).not.toContain(status)
  }
}

/** A request fails only if it may not be sent to another endpoint. */
function checkFailure ({ history, harness, runs, isBlocked, untriedAtEnd = harness.untriedCount() }: PlayedRequest): void {
  const { client } = harness
  const mayHaveRun = runs.filter(run => run.mayHaveRun()).length
  const remainingMs = history.timeoutMs - (client.endedAtMs ?? 0)
  const mayBeResent = untriedAtEnd > 0 && remainingMs > MIN_REMAINING_MS && runs.length < MAX_SENDS && mayHaveRun < history.maxAttempts &&
    (mayHaveRun === 0 || mayRunTwice(history)) && history.granted && !isBlocked &&
    (client.responseStarted ? !isOverAt(harness, client.endedAtMs ?? 0) : !mayBeCut(harness, history, client.endedAtMs ?? 0))
  expect(mayBeResent).toBe(false)
  if (mayHaveRun === 0) expect(client.status).not.toBe(502)
}

function checkRuns ({ history, runs, ...played }: PlayedRequest): void {
  expect(runs.filter(run => run.mayHaveRun()).length).toBeLessThanOrEqual(mayRunTwice(history) ? history.maxAttempts : 1)
  const { concurrent, repeated, abandoned, unwanted, wrongStarts, lateSends } = played
  expect({ concurrent, repeated, abandoned, unwanted, wrongStarts, lateSends }).toEqual({ concurrent: 0, repeated: 0, abandoned: 0, unwanted: 0, wrongStarts: 0, lateSends: 0 })
}

/** After the end of a request nothing remains in progress for it. */
function checkCleanup ({ harness, runs }: PlayedRequest): void {
  expect(runs.filter(run => !run.isOver() && run.request.connected)).toEqual([])
  expect(harness.inProgress()).toEqual({ loads: 0, usageReports: 0 })
  expect({ heads: harness.client.headCount <= 1, writesAfterEnd: harness.client.writesAfterEnd }).toEqual({ heads: true, writesAfterEnd: 0 })
  expect(harness.clock.pendingCount()).toBe(0)
  expect(harness.permitsRefunded()).toBeLessThanOrEqual(runs.some(run => run.mayHaveRun()) ? 0 : 1)
}

async function play (history: History): Promise<PlayedRequest> {
  const played = begin(history)
  const { clock } = played.harness
  for (const next of history.steps) {
    await takeStep(played, next)
    if (next.step === 'wait' && (clock.nowMs() >= history.timeoutMs || isOverAt(played.harness, clock.nowMs()))) expect(hasEnded(played)).toBe(true)
  }
  await clock.advanceAsync(history.timeoutMs)
  expect(hasEnded(played)).toBe(true)
  expect(played.runs.filter(run => !run.isOver() && run.request.connected)).toEqual([])
  await clock.advanceAsync(LAST_WAIT_MS)
  return played
}

describe('a request', () => {
  // Guards against responses that look complete and are not, have events out of order or come from a run that was not allowed.
  it('gets one response in time, which matches what its endpoints sent', async () => {
    await fc.assert(fc.asyncProperty(historyArbitrary, async history => {
      const played = await play(history)
      const { client } = played.harness
      checkRuns(played)
      checkCleanup(played)
      if (client.responseStarted) checkStream(played)
      else if (!client.disconnected && !played.isStopped) checkBuffered(played)
      if (!client.disconnected && !played.isStopped && hasFailed(played)) {
        checkFailure(played)
        if (client.responseStarted) checkCut(played)
      }
    }), { seed: SEED, numRuns: RUNS })
  })
})

function hasFailed ({ harness: { client } }: PlayedRequest): boolean {
  return client.destroyed || (client.status ?? 0) >= 500
}
