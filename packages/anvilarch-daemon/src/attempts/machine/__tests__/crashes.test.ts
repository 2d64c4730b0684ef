import type { Target } from '../../../routing/types'
import { createRequestState, stepRequest } from '../requestMachine'
import type { AttemptState, FinalReport, RequestCommand, RequestState } from '../types'

const target = (agent: string): Target => ({ key: `${agent}/e1`, agent, address: '', endpoint: 'e1', incarnation: '1', failureDomain: 'hall-a', region: 'west' })

/** A request that runs at several endpoints in turn, each of which crashes. */
class CrashHistory {
  state: RequestState = createRequestState({ requestId: 'r', fingerprint: 'f', idempotent: true })
  private starts = 0

  constructor (private readonly retryAllowed = true) {}

  private apply (event: Parameters<typeof stepRequest>[1]): RequestCommand[] {
    const step = stepRequest(this.state, event, { nowMs: 0, deadlineMs: 60_000, retryAllowed: this.retryAllowed, continuable: true, missing: undefined, quarantined: false })
    this.state = step.state
    return step.commands
  }

  begin (): AttemptState {
    if (this.starts === 0) this.apply({ kind: 'begin', suspect: false })
    this.starts++
    this.apply({ kind: 'chosen', target: target(`a${this.starts}`), attemptId: String(this.starts) })
    return this.state.attempt as AttemptState
  }

  crash (final: Partial<FinalReport>): RequestCommand[] {
    return this.apply({
      kind: 'final',
      stream: this.state.streams,
      final: { outcome: 'endpoint_crashed', totalBytes: 0, ran: 'ran', detail: '', retryAfterMs: 0, outputTokens: 0, wasAlone: false, ...final }
    })
  }
}

describe('a request queued at endpoints that went down', () => {
  // Guards against streams that end as `unavailable` after crashes caused by another request, although other endpoints are ready.
  it('is sent to the next one, also when the retry budget is exhausted', () => {
    const history = new CrashHistory(false)
    history.begin()
    history.crash({ outputTokens: 3 })
    for (let down = 0; down < 4; down++) {
      history.begin()
      expect(history.crash({ outcome: 'endpoint_failed', ran: 'not_run' })).toContainEqual(expect.objectContaining({ kind: 'choose' }))
    }
    history.begin()
    expect(history.crash({ outcome: 'endpoint_failed', ran: 'not_run' })).toMatchObject([{ kind: 'close_stream' }, { kind: 'note' }, { kind: 'end' }])
  })
})

describe('a request in progress during a crash', () => {
  it('is computed alone if it had no token, and is quarantined when the endpoint crashes again', () => {
    const history = new CrashHistory()
    expect(history.begin()).toMatchObject({ isolated: false, soloFirstToken: false })
    history.crash({})
    expect(history.begin()).toMatchObject({ isolated: false, soloFirstToken: true })
    expect(history.crash({ wasAlone: true })).toContainEqual({ kind: 'quarantine' })
  })

  it('runs like any other if it had tokens', () => {
    const history = new CrashHistory()
    history.begin()
    history.crash({ outputTokens: 3 })
    expect(history.begin()).toMatchObject({ isolated: false, soloFirstToken: false })
  })

  it('runs isolated if it had tokens at two crashes of unknown cause', () => {
    const history = new CrashHistory()
    history.begin()
    history.crash({ outputTokens: 3 })
    history.begin()
    history.crash({ outputTokens: 3 })
    expect(history.begin()).toMatchObject({ isolated: true, soloFirstToken: false })
    expect(history.crash({ outputTokens: 3, wasAlone: true })).toContainEqual({ kind: 'quarantine' })
  })

  it('does not count crashes during which another attempt was computed alone', () => {
    const history = new CrashHistory()
    for (let crashes = 0; crashes < 3; crashes++) {
      history.begin()
      expect(history.crash({ outputTokens: 3, causeKnown: true })).toContainEqual({ kind: 'take_retry', reason: 'endpoint_crashed' })
    }
    expect(history.begin()).toMatchObject({ isolated: false, soloFirstToken: false })
  })

  it('is never quarantined for a crash after its first token, until which it was computed alone', () => {
    const history = new CrashHistory()
    history.begin()
    history.crash({})
    history.begin()
    expect(history.crash({ outputTokens: 1, wasAlone: false })).not.toContainEqual({ kind: 'quarantine' })
  })
})
