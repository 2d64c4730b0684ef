import type { Target } from '../../../routing/types'
import { createRequestState, stepRequest } from '../requestMachine'
import type { RequestCommand, RequestEvent, RequestState } from '../types'

const TARGET: Target = { key: 'a1/e1', agent: 'a1', address: '', endpoint: 'e1', incarnation: '1', failureDomain: 'hall-a', region: 'west' }

/** A request whose only agent has accepted it. */
function createRunning (): { apply: (event: RequestEvent) => RequestCommand[], stream: () => number } {
  let state: RequestState = createRequestState({ requestId: 'r', fingerprint: 'f', idempotent: true })
  const apply = (event: RequestEvent): RequestCommand[] => {
    const step = stepRequest(state, event, { nowMs: 0, deadlineMs: 20_000, retryAllowed: true, continuable: true, missing: undefined, quarantined: false })
    state = step.state
    return step.commands
  }
  apply({ kind: 'begin', suspect: false })
  apply({ kind: 'chosen', target: TARGET, attemptId: '1' })
  apply({ kind: 'accepted', stream: 1, incarnation: '1' })
  return { apply, stream: () => state.streams }
}

describe('a stream that times out again after it was resumed', () => {
  // Guards against a response that fails after two inactivity timeouts long before its deadline, although its agent accepted the
  // resumption and retains the output.
  it('is resumed again when its agent has shown in between that the attempt still runs', () => {
    const { apply, stream } = createRunning()
    for (let timeouts = 0; timeouts < 4; timeouts++) {
      expect(apply({ kind: 'inactivity_timeout', stream: stream() })).toMatchObject([{ kind: 'close_stream' }, { kind: 'resume', newConnection: true }])
      apply({ kind: 'accepted', stream: stream(), incarnation: '1' })
      apply({ kind: 'heartbeat', stream: stream() })
    }
  })

  it('is cancelled when the resumption brought neither output nor heartbeat', () => {
    const { apply, stream } = createRunning()
    apply({ kind: 'inactivity_timeout', stream: stream() })
    apply({ kind: 'accepted', stream: stream(), incarnation: '1' })
    expect(apply({ kind: 'inactivity_timeout', stream: stream() })).toContainEqual(expect.objectContaining({ kind: 'cancel' }))
  })

  it('ignores heartbeats of a closed stream', () => {
    const { apply, stream } = createRunning()
    const closed = stream()
    apply({ kind: 'inactivity_timeout', stream: closed })
    apply({ kind: 'heartbeat', stream: closed })
    expect(apply({ kind: 'inactivity_timeout', stream: stream() })).toContainEqual(expect.objectContaining({ kind: 'cancel' }))
  })
})
