import { BOUNDS, cutRequest, droppedRun, evidenceOf, MACHINE, WORK_AT_MS } from '../__fixtures__/evidence'
import { checkLost } from '../checkLost'
import { excusedBy } from '../exceptions'
import type { ClientRequest, ConfigurationChange, EndpointRun, Evidence, Signal } from '../types'

const at = (afterMs: number): number => WORK_AT_MS + afterMs

/** @returns evidence of one request with these differences from one that was passed on and cut */
function evidenceWith (request: Partial<ClientRequest>, run: Partial<EndpointRun> | undefined, more: Partial<Evidence> = {}): Evidence {
  return evidenceOf({ requests: [cutRequest(request)], runs: run === undefined ? [] : [droppedRun(run)], ...more })
}

const lossCount = (evidence: Evidence): number => checkLost(evidence).length
const exceptionOf = (evidence: Evidence): string | undefined => excusedBy(evidence, evidence.requests[0] as ClientRequest)

describe('a request that was cut around a SIGTERM', () => {
  it('is a loss with its times from the signal', () => {
    const evidence = evidenceWith({ sentAtMs: at(1_100), headAtMs: at(1_500) }, {})
    expect(checkLost(evidence)).toEqual([{
      request: evidence.requests[0],
      work: { kind: 'SIGTERM', machine: MACHINE, atMs: WORK_AT_MS },
      part: 'passed_on',
      times: {
        headSentMs: 1_000,
        lastByteSentMs: 1_100,
        responseHeadMs: 1_500,
        runs: [{ endpoint: 'e1', arrivedMs: 1_000, beganMs: 1_000, end: 'dropped', endedMs: 4_000 }],
        connectionEndMs: 4_000
      }
    }])
  })

  it.each([
    ['closed', 1], ['reset', 1], ['complete', 0], ['left', 0], ['refused', 0]
  ] as const)('with the end %s counts %i times', (end, count) => {
    expect(lossCount(evidenceWith({ end }, {}))).toBe(count)
  })

  it.each([
    ['before the signal', -1, 0], ['at the signal', 0, 1], ['1 s after the grace period', 7_000, 1], ['later', 7_001, 0]
  ])('%s (%i ms) counts %i times', (_name, endedMs, count) => {
    expect(lossCount(evidenceWith({ sendBeganAtMs: at(-2_000), endedAtMs: at(endedMs) }, { arrivedAtMs: at(-2_000), beganAtMs: undefined, endedAtMs: at(endedMs) }))).toBe(count)
  })

  it('of another machine does not count', () => {
    expect(lossCount(evidenceWith({ gateway: 'gateway-2' }, {}))).toBe(0)
  })

  it.each([
    [200, []], [201, ['later_than_slack']]
  ])('and not passed on, %i ms after its last byte, counts as %j', (sinceLastByteMs, parts) => {
    const evidence = evidenceWith({ sendBeganAtMs: at(-5_000), sentAtMs: at(1_000), endedAtMs: at(1_000 + sinceLastByteMs) }, undefined)
    expect(checkLost(evidence).map(loss => loss.part)).toEqual(parts)
  })

  it('and was not sent as a whole does not count', () => {
    expect(lossCount(evidenceWith({ sentAtMs: undefined }, undefined))).toBe(0)
  })

  it.each([
    ['after', 1_000, 0], ['before', 1_001, 1]
  ])('and was sent %s `Connection: close` had arrived (%i ms), counts %i times if it was not passed on', (_name, closeAnnouncedMs, count) => {
    expect(lossCount(evidenceWith({ closeAnnouncedAtMs: at(closeAnnouncedMs) }, undefined))).toBe(count)
    expect(lossCount(evidenceWith({ closeAnnouncedAtMs: at(closeAnnouncedMs) }, {}))).toBe(1)
  })
})

describe('the time of a request', () => {
  it.each([
    ['deadline', { deadlineMs: 3_000 }, 0], ['deadline', { deadlineMs: 3_001 }, 1],
    ['timeout of the route', { routeTimeoutMs: 3_000 }, 0], ['timeout of the route', { routeTimeoutMs: 3_001 }, 1]
  ])('is up if its %s is reached, from the first byte on: %j counts %i times', (_name, request, count) => {
    expect(lossCount(evidenceWith({ sentAtMs: at(2_000), ...request }, {}))).toBe(count)
  })
})

describe('an endpoint that broke off', () => {
  it('is an exception', () => {
    expect(exceptionOf(evidenceWith({}, { end: 'broke_off', endedAtMs: at(4_000) }))).toBe('broke_off')
  })

  it('is none if it did so after the connection had ended', () => {
    expect(lossCount(evidenceWith({}, { end: 'broke_off', endedAtMs: at(4_001) }))).toBe(1)
  })

  it.each([
    ['complete', at(1_500), 1], ['running', undefined, 1], ['dropped', at(4_100), 1], ['dropped', at(1_500), 0], ['rejected', at(1_500), 0], ['rejected', at(4_100), 0]
  ] as const)('is weighed beside another run that is %s (ended at %p): counts %i times', (end, endedAtMs, count) => {
    const runs = [droppedRun({ endpoint: 'e0', arrivedAtMs: at(1_000), end, endedAtMs }), droppedRun({ arrivedAtMs: at(1_600), end: 'broke_off', endedAtMs: at(3_900) })]
    expect(lossCount(evidenceOf({ runs }))).toBe(count)
  })

  it('is none if the request was sent to another endpoint later', () => {
    const runs = [droppedRun({ end: 'broke_off', endedAtMs: at(2_000) }), droppedRun({ endpoint: 'e2', arrivedAtMs: at(2_100), endedAtMs: at(4_000) })]
    expect(lossCount(evidenceOf({ runs }))).toBe(1)
  })

  it('is none if it is only silent', () => {
    expect(lossCount(evidenceWith({}, { end: 'running', endedAtMs: undefined }))).toBe(1)
  })
})

describe('a run in the last sixth of the grace period', () => {
  it.each([
    ['sent 3 s after the signal', { sentAtMs: at(3_000) }, {}, 0],
    ['sent later', { sentAtMs: at(3_001) }, {}, 1],
    ['sent with its head in time and its last byte later', { sendBeganAtMs: at(0), sentAtMs: at(3_001) }, {}, 1],
    ['cut at the begin of the last sixth', { endedAtMs: at(5_000) }, { endedAtMs: at(5_000) }, 0],
    ['cut before it', { endedAtMs: at(4_999) }, { endedAtMs: at(4_999) }, 1],
    ['cut before it though the run goes on', { endedAtMs: at(4_999) }, { end: 'running', endedAtMs: undefined }, 1],
    ['dropped before it', {}, { endedAtMs: at(4_999) }, 1],
    ['still running', {}, { end: 'running', endedAtMs: undefined }, 0],
    ['complete when the connection ended', {}, { end: 'complete', endedAtMs: at(5_499) }, 1],
    ['complete after the connection ended', {}, { end: 'complete', endedAtMs: at(5_600) }, 0],
    ['in the queue of the endpoint', {}, { beganAtMs: undefined }, 1],
    ['rejected', {}, { end: 'rejected' }, 1],
    ['begun after the grace period', { endedAtMs: at(6_500) }, { beganAtMs: at(6_001), endedAtMs: at(6_500) }, 1]
  ] as const)('%s (%j, %j): counts %i times', (_name, request, run, count) => {
    expect(lossCount(evidenceWith({ endedAtMs: at(5_500), ...request }, { endedAtMs: at(5_500), ...run }))).toBe(count)
  })

  it('is no exception at the SIGTERM of another machine', () => {
    const signals: Signal[] = [{ machine: 'gateway-2', signal: 'SIGTERM', atMs: WORK_AT_MS }, { machine: MACHINE, signal: 'SIGHUP', atMs: WORK_AT_MS }]
    expect(lossCount(evidenceWith({ endedAtMs: at(5_500) }, { endedAtMs: at(5_500) }, { signals }))).toBe(1)
  })
})

describe('an unplanned disruption', () => {
  it.each([
    ['ended before contact-ms', -5_000, -2_001, 1], ['ended at contact-ms before the request', -5_000, -2_000, 0],
    ['began as the request ended', 4_000, 9_000, 0], ['began later', 4_001, 9_000, 1]
  ])('that %s (%i to %i ms): counts %i times', (_name, fromMs, toMs, count) => {
    expect(lossCount(evidenceWith({}, {}, { disruptions: [{ fromMs: at(fromMs), toMs: at(toMs) }] }))).toBe(count)
  })
})

describe('a request that was cut around a SIGHUP', () => {
  const signals: Signal[] = [{ machine: MACHINE, signal: 'SIGHUP', atMs: WORK_AT_MS }]

  it.each([
    ['sent config-apply-ms after it', 2_000, 30_000, 1], ['sent later', 2_001, 30_000, 0],
    ['sent before and cut at the signal', -1_000, 0, 1], ['cut before the signal', -1_000, -1, 0]
  ])('and %s (%i, %i ms) counts %i times', (_name, sendBeganMs, endedMs, count) => {
    const evidence = evidenceWith({ sendBeganAtMs: at(sendBeganMs), sentAtMs: at(sendBeganMs + 500), endedAtMs: at(endedMs) }, {}, { signals })
    expect(checkLost(evidence).map(loss => loss.work.kind)).toEqual(count === 1 ? ['SIGHUP'] : [])
  })

  it('and a SIGTERM counts once, for the SIGTERM', () => {
    const both: Signal[] = [...signals, { machine: MACHINE, signal: 'SIGTERM', atMs: WORK_AT_MS + 100 }]
    expect(checkLost(evidenceOf({ signals: both })).map(loss => loss.work.kind)).toEqual(['SIGTERM'])
  })
})

describe('a request that was cut beside a configuration', () => {
  /** Its span is from 0 to 4 s after the begin of the work. */
  const change: ConfigurationChange = { version: 7, sentAtMs: WORK_AT_MS, acknowledgedAtMs: at(1_000) }
  const beside = (more: Partial<Evidence> = {}): Partial<Evidence> => ({ signals: [], changes: [change], ...more })

  it.each([
    ['at its sending', 0, 1], ['before', -1, 0], ['config-apply-ms + 1 s after its acknowledgement', 4_000, 1], ['later', 4_001, 0]
  ])('%s (%i ms) counts %i times', (_name, endedMs, count) => {
    const evidence = evidenceWith({ sendBeganAtMs: at(-1_000), endedAtMs: at(endedMs) }, {}, beside())
    expect(checkLost(evidence).map(loss => loss.work)).toEqual(count === 1 ? [{ kind: 'configuration', version: 7, atMs: WORK_AT_MS }] : [])
  })

  it('without an acknowledgement counts at any later time', () => {
    const changes = [{ ...change, acknowledgedAtMs: undefined }]
    expect(lossCount(evidenceWith({ endedAtMs: at(40_000) }, {}, beside({ changes })))).toBe(1)
  })

  it.each([
    ['seven tenths', 7_000, 0], ['less than seven tenths', 6_999, 1]
  ])('and has used %s of its time (%i ms of 10 s) counts %i times', (_name, usedMs, count) => {
    const evidence = evidenceWith({ deadlineMs: 10_000, sendBeganAtMs: at(3_000 - usedMs), endedAtMs: at(3_000) }, {}, beside())
    expect(lossCount(evidence)).toBe(count)
  })

  /** @returns requests that were cut, and answered, at these times */
  function requestsEnding (cutAtMs: readonly number[], answeredAtMs: readonly number[]): ClientRequest[] {
    const cut = cutAtMs.map((endedAtMs, index) => cutRequest({ requestId: `c${index}`, sendBeganAtMs: endedAtMs - 1_000, endedAtMs }))
    const answered = answeredAtMs.map((endedAtMs, index) => cutRequest({ requestId: `a${index}`, sendBeganAtMs: endedAtMs, endedAtMs, end: 'complete' }))
    return [...cut, ...answered]
  }

  /** A request of another machine that makes the observation last 8 s, half of it beside the configuration. */
  const observed = cutRequest({ requestId: 'first', gateway: 'gateway-2', end: 'complete', sendBeganAtMs: at(-4_000), endedAtMs: at(4_000) })

  it.each([
    ['three times', [1_000, 2_000, 3_000], 0], ['over three times', [1_000, 2_000, 3_000, 3_500], 4]
  ])('of a machine that cuts %s as often then, by time and by request, counts %j: %i times', (_name, besideMs, count) => {
    const answeredAtMs = besideMs.slice(1).map((_afterMs, index) => at(-1_500 - index * 500))
    const requests = requestsEnding([...besideMs.map(at), at(-1_000)], answeredAtMs)
    expect(lossCount(evidenceOf({ ...beside(), requests: [...requests, observed], runs: [] }))).toBe(count)
  })

  it('counts if the machine cuts over three times as often by time only', () => {
    const answeredAtMs = Array.from({ length: 40 }, (_value, index) => at(100 + index))
    const requests = requestsEnding([1_000, 2_000, 3_000, 3_500, -1_000].map(at), answeredAtMs)
    expect(lossCount(evidenceOf({ ...beside(), requests: [...requests, observed], runs: [] }))).toBe(4)
  })

  it('counts if the machine cuts over three times as often by request only', () => {
    const requests = requestsEnding([at(1_000), at(-1_000)], [-1_500, -2_000, -2_500].map(at))
    expect(lossCount(evidenceOf({ ...beside(), requests: [...requests, observed], runs: [] }))).toBe(1)
  })

  it('does not count the cuts of another machine, of a signal or of an exception as cuts at other times', () => {
    const otherMachine = cutRequest({ requestId: 'c8', gateway: 'gateway-2', sendBeganAtMs: at(-3_000), endedAtMs: at(-1_000) })
    const leaving = cutRequest({ requestId: 'c9', end: 'left', sendBeganAtMs: at(-3_000), endedAtMs: at(-1_000) })
    const stopped = cutRequest({ requestId: 'c10', sendBeganAtMs: at(60_000), endedAtMs: at(62_000) })
    const signals: Signal[] = [{ machine: MACHINE, signal: 'SIGTERM', atMs: at(61_000) }]
    const requests = [...requestsEnding([at(1_000)], []), otherMachine, leaving, stopped]
    expect(checkLost(evidenceOf({ ...beside({ signals }), requests, runs: [] })).map(loss => loss.request.requestId)).toEqual(['c0', 'c10'])
  })

  it('is at all times if configurations cover the whole observation', () => {
    const changes = [{ version: 7, sentAtMs: 0, acknowledgedAtMs: undefined }, { version: 8, sentAtMs: at(100), acknowledgedAtMs: at(200) }]
    expect(checkLost(evidenceOf({ ...beside({ changes }) })).map(loss => loss.work)).toEqual([{ kind: 'configuration', version: 7, atMs: 0 }])
  })
})

describe('excusedBy', () => {
  it.each([
    ['client_left', { end: 'left' }, {}, {}],
    ['time_is_up', { deadlineMs: 1_000 }, {}, {}],
    ['broke_off', {}, { end: 'broke_off', endedAtMs: at(3_000) }, {}],
    ['at_work_in_last_sixth', { endedAtMs: at(5_500) }, { endedAtMs: at(5_500) }, {}],
    ['disruption', {}, {}, { disruptions: [{ fromMs: at(0), toMs: at(0) }] }],
    [undefined, {}, {}, {}],
    [undefined, { end: 'complete', deadlineMs: 1_000 }, {}, {}]
  ] as Array<[string | undefined, Partial<ClientRequest>, Partial<EndpointRun>, Partial<Evidence>]>)('names %s', (name, request, run, more) => {
    expect(exceptionOf(evidenceWith(request, run, more))).toBe(name)
  })

  it('names sent_after_close', () => {
    expect(exceptionOf(evidenceWith({ closeAnnouncedAtMs: at(500) }, undefined))).toBe('sent_after_close')
  })

  it('uses the bounds of the deployment', () => {
    const evidence = evidenceWith({ endedAtMs: at(5_500) }, { endedAtMs: at(5_500) }, { bounds: { ...BOUNDS, graceMs: 12_000 } })
    expect(lossCount(evidence)).toBe(1)
  })
})
