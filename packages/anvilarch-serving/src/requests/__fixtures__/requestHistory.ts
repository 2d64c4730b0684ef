/** Generated histories of one request. */
import fc from 'fast-check'
import type { Ending, EndingKind } from './scriptedEndpoint'

/** One event of a history. */
export type Step =
  | { step: 'wait' | 'pause' | 'pause_engines', ms: number }
  | { step: 'replace', isReplaced: boolean }
  | { step: 'disconnect' | 'stop' | 'revoke_key' | 'quarantine' | 'remove_endpoints' }

/** A generated request, its endpoints and what happens to it. */
export interface History {
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
  /** Durations of the probes of ports that are open. */
  probeMs: number[]
  endings: Ending[]
  steps: Step[]
}

const atEvent = fc.oneof({ weight: 4, arbitrary: fc.nat({ max: 4 }) }, { weight: 1, arbitrary: fc.nat({ max: 30 }) })

const endingKind: fc.Arbitrary<EndingKind> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ ending: fc.constantFrom('whole' as const, 'whole' as const, 'unframed' as const) }) },
  {
    weight: 3,
    arbitrary: fc.record({
      ending: fc.constantFrom('from_start' as const, 'of_another' as const, 'unsigned' as const, 'encoded' as const, 'empty' as const, 'no_answer' as const, 'not_reached' as const)
    })
  },
  {
    weight: 8,
    arbitrary: fc.record({
      ending: fc.constantFrom('break' as const, 'break' as const, 'half_event' as const, 'half_event_end' as const, 'silent' as const, 'skip' as const, 'repeat' as const, 'lower' as const, 'without_id' as const, 'unframed_early' as const, 'unframed_gone' as const, 'unframed_gone' as const, 'unframed_reset' as const, 'unframed_reset' as const),
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
  eventsPerWrite: fc.constantFrom(1, 1, 1, 2, 4),
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

/** Generates histories. */
export const historyArbitrary: fc.Arbitrary<History> = fc.record({
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
  probeMs: fc.array(fc.constantFrom(0, 0, 20, 300, 400), { minLength: 1, maxLength: 3 }),
  endings: fc.array(ending, { minLength: 8, maxLength: 8 }),
  steps: fc.array(step, { minLength: 2, maxLength: 16 })
})

/** Shortest time without an event or a response after which a request is sent to a second endpoint, if its client has more time than that for each endpoint. */
const MIN_SILENCE_MS = 250

/** The same for a client with little time. */
const MIN_TIMEOUT_MS = 50

/** Time after which clients of the harness leave a stream without an event. */
const CLIENT_EVENT_TIMEOUT_MS = 3200

/**
 * @param history - the request
 * @param nowMs - time of a send to another endpoint
 * @param responseStarted - whether the client has the head of the response
 * @returns how long endpoints have to be silent at least by then; the time of the client is divided among the endpoints
 */
export function requiredSilenceMs ({ kind, timeoutMs, maxAttempts }: History, nowMs: number, responseStarted: boolean): number {
  const endsAtMs = kind === 'stream' ? Math.min(timeoutMs, CLIENT_EVENT_TIMEOUT_MS) : timeoutMs
  return responseStarted ? MIN_SILENCE_MS : Math.max(MIN_TIMEOUT_MS, Math.min(MIN_SILENCE_MS, (endsAtMs - nowMs) / maxAttempts))
}
