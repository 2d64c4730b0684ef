/**
 * Symptoms looked for: a stream that lacks an event, has one twice or out of order; an answer that looks whole and is not, or that no
 * endpoint gave; a refusal of what may have run; a run too many, or beside another; a request that does not end, or goes on after its end.
 * Sequences: endpoints answer wrongly, break off, fall silent, refuse and are replaced one after another, while clients leave, keys are
 * taken away, requests are quarantined, and the process stands still or stops.
 */
import fc from 'fast-check'
import { forwardOnFakeClock, type ForwardHarness } from '../__fixtures__/forwardHarness'
import { MIN_REMAINING_MS } from '../retryDecision'
import { type Ending, type EndingKind, eventData, type Run, runScript } from '../__fixtures__/scriptedEndpoint'

type Step =
  | { step: 'wait' | 'stand_still', ms: number }
  | { step: 'replace', isListedAgain: boolean }
  | { step: 'leave' | 'stop' | 'take_key_away' | 'quarantine' | 'remove_all' }

interface History {
  kind: 'stream' | 'idempotent' | 'once'
  resumable: boolean
  maxAttempts: number
  timeoutMs: number
  endpoints: number
  eventCount: number
  lastEventId: number | undefined
  granted: boolean
  placementMs: number[]
  endings: Ending[]
  steps: Step[]
}

const SEED = Number(process.env.REQUEST_HISTORIES_SEED ?? 31_012)
const RUNS = Number(process.env.REQUEST_HISTORIES ?? 1500)

/** How often a request may be offered to endpoints, refusals included. */
const MAX_OFFERS = 6

/** Runs of scripts end by then: up to thirty events with their gaps. */
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
  gapMs: fc.oneof({ weight: 5, arbitrary: fc.nat({ max: 20 }) }, { weight: 1, arbitrary: fc.nat({ max: 500 }) }),
  pieceBytes: fc.constantFrom(0, 0, 1, 7, 64),
  style: fc.constantFrom('plain' as const, 'crlf' as const, 'with_version' as const, 'with_comments' as const)
})

const ending: fc.Arbitrary<Ending> = fc.tuple(endingKind, pace).map(([kind, speed]) => ({ ...kind, ...speed }))

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 14, arbitrary: fc.record({ step: fc.constant('wait' as const), ms: fc.oneof(fc.nat({ max: 60 }), fc.nat({ max: 600 })) }) },
  { weight: 2, arbitrary: fc.record({ step: fc.constant('stand_still' as const), ms: fc.nat({ max: 1500 }) }) },
  { weight: 2, arbitrary: fc.record({ step: fc.constant('replace' as const), isListedAgain: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ step: fc.constantFrom('leave' as const, 'leave' as const, 'stop' as const, 'take_key_away' as const, 'quarantine' as const, 'remove_all' as const) }) }
)

const history: fc.Arbitrary<History> = fc.record({
  kind: fc.constantFrom('stream' as const, 'stream' as const, 'stream' as const, 'idempotent' as const, 'once' as const),
  resumable: fc.oneof({ weight: 3, arbitrary: fc.constant(true) }, { weight: 1, arbitrary: fc.constant(false) }),
  maxAttempts: fc.integer({ min: 1, max: 4 }),
  timeoutMs: fc.constantFrom(200, 2000, 2000, 5000, 5000),
  endpoints: fc.integer({ min: 1, max: 8 }),
  eventCount: fc.oneof({ weight: 3, arbitrary: fc.integer({ min: 1, max: 8 }) }, { weight: 1, arbitrary: fc.integer({ min: 1, max: 30 }) }),
  lastEventId: fc.option(fc.nat({ max: 3 }), { nil: undefined }),
  granted: fc.oneof({ weight: 19, arbitrary: fc.constant(true) }, { weight: 1, arbitrary: fc.constant(false) }),
  placementMs: fc.array(fc.oneof(fc.constant(0), fc.nat({ max: 100 })), { minLength: 1, maxLength: 4 }),
  endings: fc.array(ending, { minLength: 8, maxLength: 8 }),
  steps: fc.array(step, { minLength: 2, maxLength: 16 })
})

/** One request and all that became of it. */
interface Played {
  drawn: History
  harness: ForwardHarness
  runs: Run[]
  /** Sends while another was in progress. */
  besideAnother: number
  /** Sends after the client had gone or the request had ended, or too late. */
  needless: number
  /** Sends that do not ask for the event after the last one that the client has. */
  wrongStarts: number
  isStopped: boolean
  /** Nothing new may be sent for it: its key was taken away, or endpoints crash when they run it. */
  isBarred: boolean
  /** Endpoints that could have been tried when the request ended. */
  untriedAtEnd: number | undefined
}

function begin (drawn: History): Played {
  const runs: Run[] = []
  let placements = 0
  const played: Omit<Played, 'harness'> = { drawn, runs, besideAnother: 0, needless: 0, wrongStarts: 0, isStopped: false, isBarred: false, untriedAtEnd: undefined }
  const eventCount = Math.max(drawn.eventCount, drawn.lastEventId ?? 0)
  const harness = forwardOnFakeClock({
    kind: drawn.kind,
    resumable: drawn.resumable,
    maxAttempts: drawn.maxAttempts,
    timeoutMs: drawn.timeoutMs,
    endpoints: drawn.endpoints,
    lastEventId: drawn.lastEventId,
    granted: drawn.granted,
    placementMs: () => drawn.placementMs[placements++ % drawn.placementMs.length],
    onSend: request => {
      const { clock, client } = harness
      if (runs.some(run => !run.isOver() && run.request.connected)) played.besideAnother++
      // A stop destroys the answer; that it has closed is told a moment later.
      const isGone = client.left || client.ended || (client.destroyed && !played.isStopped)
      if (isGone || clock.nowMs() + request.deadlineMs > drawn.timeoutMs) played.needless++
      const heldCount = drawn.kind === 'stream' && drawn.resumable ? dataOf(client.body).length : 0
      if ((request.lastEventId ?? 0) !== (drawn.lastEventId ?? 0) + heldCount) played.wrongStarts++
      const next = drawn.endings[runs.length % drawn.endings.length]
      runs.push(runScript(clock, request, next, { streams: drawn.kind === 'stream', eventCount }))
      return next.ending !== 'not_reached'
    }
  })
  return Object.assign(played, { harness })
}

async function take (played: Played, next: Step): Promise<void> {
  const { harness } = played
  switch (next.step) {
    case 'wait':
      await harness.clock.advanceAsync(next.ms)
      break
    case 'stand_still':
      harness.clock.stall(next.ms)
      break
    case 'replace':
      harness.replaceEndpoint(next.isListedAgain)
      break
    case 'stop':
      if (!harness.client.ended && !harness.client.destroyed) {
        played.isStopped = true
        harness.stopNow()
      }
      break
    default:
      played.isBarred ||= next.step === 'take_key_away' || next.step === 'quarantine'
      actions[next.step](harness)
  }
  if (hasEnded(played)) played.untriedAtEnd ??= harness.untriedCount()
}

const actions = {
  leave: (harness: ForwardHarness) => { if (!harness.client.ended && !harness.client.destroyed) harness.leave() },
  take_key_away: (harness: ForwardHarness) => harness.takeKeyAway(),
  quarantine: (harness: ForwardHarness) => harness.quarantine(),
  remove_all: (harness: ForwardHarness) => harness.removeEndpoints()
}

function hasEnded ({ harness: { client } }: Played): boolean {
  return client.ended || client.destroyed || client.left
}

function mayRunTwice ({ kind, resumable }: History): boolean {
  return kind === 'idempotent' || (kind === 'stream' && resumable)
}

function dataOf (body: string): string[] {
  return [...body.matchAll(/^data: (.*?)\r?$/gm)].map(([, data]) => data)
}

/** @returns the data of events from the first one that the client lacks */
function expectedData ({ drawn }: Played, count: number): string[] {
  return Array.from({ length: count }, (_, index) => eventData((drawn.lastEventId ?? 0) + 1 + index))
}

const OWN_STATUSES = [401, 429, 502, 503, 504]

/** Statuses by which a client is told that its request has not run. */
const REFUSALS = [401, 429, 503]

function checkStream (played: Played): void {
  const { drawn, harness: { client }, runs } = played
  const data = dataOf(client.body)
  expect(data).toEqual(expectedData(played, data.length))
  if (!client.ended) return
  expect(data).toHaveLength(Math.max(0, drawn.eventCount - (drawn.lastEventId ?? 0)))
  expect(runs.at(-1)?.toldEnd).toBe(true)
}

function checkWhole ({ harness: { client }, runs }: Played): void {
  const { status, body } = client
  expect(client.destroyed && client.status === undefined).toBe(false)
  if (body.startsWith('{"error"')) {
    expect(OWN_STATUSES).toContain(status)
    if (REFUSALS.includes(status ?? 0)) expect(runs.filter(run => run.mayHaveRun())).toEqual([])
  } else {
    expect(runs.map(run => run.whole)).toContainEqual({ status, body })
    expect([408, 421, 429, 503]).not.toContain(status)
  }
}

/** A request is given up only where it may go nowhere else. */
function checkGivenUp ({ drawn, harness, runs, isBarred, untriedAtEnd = harness.untriedCount() }: Played): void {
  const { client } = harness
  const mayHaveRun = runs.filter(run => run.mayHaveRun()).length
  const remainingMs = drawn.timeoutMs - (client.endedAtMs ?? 0)
  const mayGoOn = untriedAtEnd > 0 && remainingMs > MIN_REMAINING_MS && runs.length < MAX_OFFERS && mayHaveRun < drawn.maxAttempts &&
    (mayHaveRun === 0 || mayRunTwice(drawn)) && drawn.granted && !isBarred
  expect(mayGoOn).toBe(false)
  if (mayHaveRun === 0) expect(client.status).not.toBe(502)
}

function checkRuns ({ drawn, runs, ...played }: Played): void {
  expect(runs.filter(run => run.mayHaveRun()).length).toBeLessThanOrEqual(mayRunTwice(drawn) ? drawn.maxAttempts : 1)
  expect(new Set(runs.map(run => run.request.endpoint)).size).toBe(runs.length)
  const { besideAnother, needless, wrongStarts } = played
  expect({ besideAnother, needless, wrongStarts }).toEqual({ besideAnother: 0, needless: 0, wrongStarts: 0 })
}

/** Nothing goes on for a request that has ended. */
function checkRest ({ harness, runs }: Played): void {
  expect(runs.filter(run => !run.isOver() && run.request.connected)).toEqual([])
  expect(harness.inProgress()).toEqual({ loads: 0, notices: 0 })
  expect({ heads: harness.client.headCount <= 1, piecesAfterEnd: harness.client.piecesAfterEnd }).toEqual({ heads: true, piecesAfterEnd: 0 })
  expect(harness.clock.pendingCount()).toBe(0)
  expect(harness.permitsGivenBack()).toBeLessThanOrEqual(runs.some(run => run.mayHaveRun()) ? 0 : 1)
}

async function play (drawn: History): Promise<Played> {
  const played = begin(drawn)
  const { clock } = played.harness
  for (const next of drawn.steps) {
    await take(played, next)
    if (next.step === 'wait' && clock.nowMs() >= drawn.timeoutMs) expect(hasEnded(played)).toBe(true)
  }
  await clock.advanceAsync(drawn.timeoutMs)
  expect(hasEnded(played)).toBe(true)
  expect(played.runs.filter(run => !run.isOver() && run.request.connected)).toEqual([])
  await clock.advanceAsync(LAST_WAIT_MS)
  return played
}

describe('a request', () => {
  // Guards against this: an answer looks whole and is not, has events out of order, or comes from a run that ought not to have been.
  it('is answered by what its endpoints have told, once and in time', async () => {
    await fc.assert(fc.asyncProperty(history, async drawn => {
      const played = await play(drawn)
      const { client } = played.harness
      checkRuns(played)
      checkRest(played)
      if (client.begun) checkStream(played)
      else if (!client.left && !played.isStopped) checkWhole(played)
      if (!client.left && !played.isStopped && hasFailed(played)) checkGivenUp(played)
    }), { seed: SEED, numRuns: RUNS })
  })
})

function hasFailed ({ harness: { client } }: Played): boolean {
  return client.destroyed || (client.status ?? 0) >= 500
}
