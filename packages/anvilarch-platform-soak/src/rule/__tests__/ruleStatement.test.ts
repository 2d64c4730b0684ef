import fc from 'fast-check'
import { checkLost } from '../checkLost'
import type { Bounds, ClientRequest, EndpointRun, Evidence } from '../types'

/** All times are on this grid, so that generated evidence often lies on an edge of the rule. */
const GRID_MS = 500

const BOUNDS: Bounds = { graceMs: 6_000, lossSlackMs: 500, contactMs: 1_000, configurationApplyMs: 1_000 }

const MACHINES = ['gateway-1', 'gateway-2']

/** The rule once more, as one statement about one request: whether it counts at its machine's signals, and whether it counts beside configurations. */
function statement (evidence: Evidence, request: ClientRequest): { isCut: boolean, atSignal: boolean, besideChange: boolean } {
  const { bounds: { graceMs, lossSlackMs, contactMs, configurationApplyMs }, signals, changes, disruptions } = evidence
  const { sendBeganAtMs: began, sentAtMs: sent, endedAtMs: ended, end } = request
  const runs = evidence.runs.filter(run => run.requestId === request.requestId)
  const real = runs.filter(run => run.end !== 'rejected')
  const stops = signals.filter(({ machine, signal }) => machine === request.gateway && signal === 'SIGTERM').map(({ atMs }) => atMs)
  const reloads = signals.filter(({ machine, signal }) => machine === request.gateway && signal === 'SIGHUP').map(({ atMs }) => atMs)

  const readAndCut = ['closed', 'reset'].includes(end) && sent !== undefined && (runs.length > 0 || ended > sent + lossSlackMs)
  const disturbed = disruptions.some(({ fromMs, toMs }) => !(toMs < began - contactMs || fromMs > ended))
  const timeIsUp = ended >= began + request.deadlineMs || ended >= began + request.routeTimeoutMs
  const latest = Math.max(...real.map(run => run.arrivedAtMs))
  const brokeOff = real.length > 0 && real.every(run => run.end !== 'complete' && (run.endedAtMs ?? Infinity) <= ended) &&
    real.filter(run => run.arrivedAtMs === latest).at(-1)?.end === 'broke_off'
  const pipelinedLate = runs.length === 0 && (request.closeAnnouncedAtMs ?? Infinity) <= began
  const longRun = stops.some(stop => (sent ?? Infinity) <= stop + 3_000 && 6 * (ended - stop) >= 5 * graceMs && real.some(run =>
    (run.beganAtMs ?? Infinity) <= stop + graceMs && 6 * ((run.endedAtMs ?? Infinity) - stop) >= 5 * graceMs && !(run.end === 'complete' && (run.endedAtMs ?? Infinity) < ended)))

  const isCut = readAndCut && !disturbed && !timeIsUp && !brokeOff && !pipelinedLate && !longRun
  const atSignal = stops.some(stop => stop <= ended && ended <= stop + graceMs + 1_000) || reloads.some(reload => began <= reload + configurationApplyMs && reload <= ended)
  const besideChange = changes.some(change => change.sentAtMs <= ended && ended <= (change.acknowledgedAtMs ?? Infinity) + configurationApplyMs + 1_000)
  return { isCut, atSignal, besideChange }
}

/** @returns ids of the requests that the statement counts; machines are compared at each point of the grid for their time */
function countedByStatement (evidence: Evidence): string[] {
  const { requests } = evidence
  const stated = requests.map(request => ({ request, ...statement(evidence, request) }))
  const fromMs = Math.min(...requests.map(request => request.sendBeganAtMs))
  const toMs = Math.max(...requests.map(request => request.endedAtMs))
  const middles = Array.from({ length: (toMs - fromMs) / GRID_MS }, (_value, index) => fromMs + (index + 0.5) * GRID_MS)
  const timeBeside = middles.filter(middleMs => statement(evidence, { ...requests[0] as ClientRequest, endedAtMs: middleMs }).besideChange).length
  const timeOther = middles.length - timeBeside
  return stated.filter(({ request, isCut, atSignal, besideChange }) => {
    if (!isCut || atSignal || !besideChange) return isCut && atSignal
    const mine = stated.filter(other => other.request.gateway === request.gateway)
    const cutsBeside = mine.filter(other => other.isCut && other.besideChange).length
    const cutsOther = mine.filter(other => other.isCut && !other.besideChange && !other.atSignal).length
    const requestsBeside = mine.filter(other => other.besideChange).length
    const moreOften = cutsOther === 0 || cutsBeside * timeOther > 3 * cutsOther * timeBeside || cutsBeside * (mine.length - requestsBeside) > 3 * cutsOther * requestsBeside
    return moreOften && request.endedAtMs - request.sendBeganAtMs < 0.7 * request.deadlineMs
  }).map(({ request }) => request.requestId)
}

const gridMs = (fromMs: number, toMs: number): fc.Arbitrary<number> => fc.integer({ min: fromMs / GRID_MS, max: toMs / GRID_MS }).map(count => count * GRID_MS)
const optional = <T>(value: fc.Arbitrary<T>): fc.Arbitrary<T | undefined> => fc.option(value, { nil: undefined, freq: 4 })
const machine = fc.constantFrom(...MACHINES)

const requestOf = (requestId: string): fc.Arbitrary<ClientRequest> => fc.record({
  gateway: machine,
  beganMs: gridMs(0, 12_000),
  sendingMs: optional(gridMs(0, 2_000)),
  lastsMs: gridMs(0, 9_000),
  deadlineMs: fc.constantFrom(5_000, 10_000, 60_000),
  routeTimeoutMs: fc.constantFrom(4_000, 60_000),
  closeAnnouncedAtMs: fc.option(gridMs(0, 12_000), { nil: undefined, freq: 1 }),
  end: fc.constantFrom<Array<ClientRequest['end']>>('closed', 'closed', 'closed', 'reset', 'complete', 'refused', 'left')
}).map(({ beganMs, sendingMs, lastsMs, ...rest }) => ({
  ...rest,
  requestId,
  route: 'chat',
  sendBeganAtMs: beganMs,
  sentAtMs: sendingMs === undefined ? undefined : beganMs + Math.min(sendingMs, lastsMs),
  headAtMs: undefined,
  status: undefined,
  lastByteAtMs: undefined,
  endedAtMs: beganMs + lastsMs,
  form: ''
}))

const runOf = (requests: readonly ClientRequest[]): fc.Arbitrary<EndpointRun> => fc.record({
  request: fc.constantFrom(...requests),
  afterMs: gridMs(0, 3_000),
  waitsMs: optional(gridMs(0, 3_000)),
  lastsMs: gridMs(0, 9_000),
  endsWithRequest: fc.boolean(),
  end: fc.constantFrom<Array<EndpointRun['end']>>('complete', 'rejected', 'broke_off', 'dropped', 'dropped', 'running')
}).map(({ request, afterMs, waitsMs, lastsMs, endsWithRequest, end }) => {
  const arrivedAtMs = request.sendBeganAtMs + afterMs
  const endedAtMs = endsWithRequest ? Math.max(arrivedAtMs, request.endedAtMs) : arrivedAtMs + lastsMs
  return { requestId: request.requestId, endpoint: 'e1', arrivedAtMs, beganAtMs: waitsMs === undefined ? undefined : arrivedAtMs + waitsMs, end, endedAtMs: end === 'running' ? undefined : endedAtMs }
})

const evidence: fc.Arbitrary<Evidence> = fc.integer({ min: 1, max: 8 })
  .chain(count => fc.tuple(...Array.from({ length: count }, (_value, index) => requestOf(`r${index}`))))
  .chain(requests => fc.record({
    bounds: fc.constant(BOUNDS),
    requests: fc.constant(requests),
    runs: fc.array(runOf(requests), { maxLength: 10 }),
    signals: fc.array(fc.record({ machine, signal: fc.constantFrom('SIGTERM' as const, 'SIGHUP' as const), atMs: gridMs(0, 15_000) }), { maxLength: 2 }),
    changes: fc.array(fc.record({ version: fc.nat(), sentAtMs: gridMs(0, 15_000), takesMs: optional(gridMs(0, 2_000)) }), { maxLength: 2 })
      .map(changes => changes.map(({ version, sentAtMs, takesMs }) => ({ version, sentAtMs, acknowledgedAtMs: takesMs === undefined ? undefined : sentAtMs + takesMs }))),
    disruptions: fc.oneof({ weight: 3, arbitrary: fc.constant([]) }, { weight: 1, arbitrary: fc.array(fc.record({ fromMs: gridMs(0, 9_000), lastsMs: gridMs(0, 2_000) }), { maxLength: 1 }).map(spans => spans.map(({ fromMs, lastsMs }) => ({ fromMs, toMs: fromMs + lastsMs }))) })
  }))

describe('the rule LOST on generated evidence', () => {
  it('counts the requests that a second statement of the rule counts', () => {
    fc.assert(fc.property(evidence, generated => {
      expect(checkLost(generated).map(loss => loss.request.requestId)).toEqual(countedByStatement(generated))
    }), { numRuns: 5_000, seed: 64 })
  })

  it('is generated with counted requests of each kind of planned work and both parts', () => {
    const losses = fc.sample(evidence, { numRuns: 2_000, seed: 64 }).flatMap(generated => checkLost(generated))
    expect(new Set(losses.map(({ work, part }) => `${work.kind} ${part}`)).size).toBe(6)
  })
})
