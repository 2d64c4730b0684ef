import { createFakeClock } from 'anvilarch-utils'
import { createDrainState } from '../../drain/drainState'
import type { Endpoint } from '../../model/types'
import { createLoggedLines, REQUEST_ID, START_ID } from '../__fixtures__/loggedLines'
import { createAttemptLog } from '../attemptLog'
import type { ClientRequest, ForwardParts, RequestState } from '../forwardTypes'

/** @returns what is kept of the line of an attempt that failed this long after a stop signal */
function keptOfFailedAttempt (drainMs: number | undefined): string {
  const clock = createFakeClock()
  const drainState = createDrainState(clock)
  const { log, kept } = createLoggedLines()
  const client = { metadata: { requestId: REQUEST_ID, promptPrefixes: ['5c1e07a2', '91bd3f06', 'e4402b7d'] }, arrivedAtMs: clock.nowMs() }
  const state = { deadlineAtMs: clock.nowMs() + 9_000, lastEventId: 12, requestLog: { note: () => {}, flush: () => {} } }
  const attemptLog = createAttemptLog({ clock, log, drainState } as unknown as ForwardParts, client as unknown as ClientRequest, state as unknown as RequestState)
  if (drainMs !== undefined) {
    drainState.start(8_000)
    clock.advance(drainMs)
  }
  attemptLog.failed({ startId: START_ID } as unknown as Endpoint, 'may_have_run', 'UND_ERR_SOCKET')
  return kept()[0] as string
}

describe('the kept part of the line of a failed attempt', () => {
  it('has the reason and whether it may have run', () => {
    const kept = keptOfFailedAttempt(undefined)
    for (const text of [REQUEST_ID, '"reason":"UND_ERR_SOCKET"', '"failure":"may_have_run"']) expect(kept).toContain(text)
    expect(kept).not.toContain('drainMs')
  })

  it('has the time since the stop signal of a gateway that drains', () => {
    const kept = keptOfFailedAttempt(7_100)
    for (const text of [REQUEST_ID, '"reason":"UND_ERR_SOCKET"', '"drainMs":7100', '"failure":"may']) expect(kept).toContain(text)
  })
})
