import { createRequestState, stepRequest } from '../requestMachine'
import type { RequestCommand, RequestEvent, RequestState, StepInput } from '../types'
import type { Target } from '../../../routing/types'

const DEADLINE_MS = 20_000

const target = (agent: string): Target => ({ key: `${agent}/e1`, agent, address: '', endpoint: 'e1', incarnation: '1', failureDomain: 'hall-a', region: 'west' })

/** A request whose events come at given times. */
function createRequest (): { at: (nowMs: number, event: RequestEvent) => RequestCommand[], state: () => RequestState } {
  let state = createRequestState({ requestId: 'r', fingerprint: 'f', idempotent: true })
  return {
    at: (nowMs, event) => {
      const input: StepInput = { nowMs, deadlineMs: DEADLINE_MS, retryAllowed: true, continuable: true, missing: undefined, quarantined: false }
      const step = stepRequest(state, event, input)
      state = step.state
      return step.commands
    },
    state: () => state
  }
}

/** Crashes the endpoint that the request runs at, after it has produced tokens. */
function crash (request: ReturnType<typeof createRequest>, nowMs: number): RequestCommand[] {
  const stream = request.state().streams
  request.at(nowMs, { kind: 'accepted', stream, incarnation: '1' })
  return request.at(nowMs, { kind: 'final', stream, final: { outcome: 'endpoint_crashed', totalBytes: 0, ran: 'ran', detail: '', retryAfterMs: 0, outputTokens: 3, wasAlone: false } })
}

const waitsUntil = (commands: RequestCommand[]): number | undefined => commands.find(command => command.kind === 'wait_for_target')?.untilMs

describe('a request whose gateway process was paused past its deadline', () => {
  it('is not sent', () => {
    const request = createRequest()
    request.at(0, { kind: 'begin', suspect: false })
    const commands = request.at(DEADLINE_MS, { kind: 'chosen', target: target('a1'), attemptId: '1' })
    expect(commands).toMatchObject([{ kind: 'end', end: { outcome: 'failed', ran: 'not_run', failure: { code: 'deadline_exceeded' } } }])
  })
})

describe('an accepted request without an endpoint to run at', () => {
  // Guards against harmless calls that end as `endpoint_failed` long before their deadline: another request crashes endpoints one
  // after another, and a common limit of all waits runs out just before an endpoint is ready again.
  it('starts a new wait after each crash', () => {
    const request = createRequest()
    request.at(0, { kind: 'begin', suspect: false })
    request.at(0, { kind: 'chosen', target: target('a1'), attemptId: '1' })
    crash(request, 1_000)
    request.at(1_000, { kind: 'no_target' })
    expect(waitsUntil(request.at(1_000, { kind: 'no_target' }))).toBe(6_000)
    request.at(4_000, { kind: 'targets_changed' })
    request.at(4_000, { kind: 'chosen', target: target('a2'), attemptId: '2' })
    crash(request, 5_500)
    request.at(5_500, { kind: 'no_target' })
    expect(waitsUntil(request.at(5_500, { kind: 'no_target' }))).toBe(10_500)
    expect(request.state().phase).toBe('choosing')
  })

  it('may return to an endpoint that it was sent to before, when no other is left', () => {
    const request = createRequest()
    request.at(0, { kind: 'begin', suspect: false })
    request.at(0, { kind: 'chosen', target: target('a1'), attemptId: '1' })
    expect(crash(request, 1_000)).toContainEqual({ kind: 'choose', exclude: ['a1/e1'] })
    expect(request.at(1_000, { kind: 'no_target' })).toEqual([{ kind: 'choose', exclude: [] }])
  })

  it('never waits beyond half of its remaining time', () => {
    const request = createRequest()
    request.at(0, { kind: 'begin', suspect: false })
    request.at(0, { kind: 'chosen', target: target('a1'), attemptId: '1' })
    crash(request, 18_000)
    request.at(18_000, { kind: 'no_target' })
    expect(waitsUntil(request.at(18_000, { kind: 'no_target' }))).toBe(19_000)
    const ended = request.at(19_000, { kind: 'wait_over' })
    expect(ended).toMatchObject([{ kind: 'end', end: { outcome: 'failed', failure: { code: 'endpoint_failed', retryAfterMs: 1_000 } } }])
  })
})
