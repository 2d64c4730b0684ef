import { createFakeClock } from 'anvilarch-utils'
import { createDrainState } from '../../drain/drainState'
import { createLoggedLines, REQUEST_ID } from '../__fixtures__/loggedLines'
import { endByDrain } from '../endByDrain'
import type { ClientRequest, RequestState } from '../forwardTypes'
import type { RequestCompletion } from '../requestCompletion'

describe('the kept part of the line of a request that the drain ends', () => {
  // Guards against records in which a request taken late cannot be told from one passed on late.
  it('has the times of its head, its last byte and its first send since the stop signal', () => {
    const clock = createFakeClock()
    const drainState = createDrainState(clock)
    const { log, kept } = createLoggedLines()
    const signalAtMs = drainState.start(8_000).signalAtMs
    const client = { metadata: { requestId: REQUEST_ID }, arrivedAtMs: signalAtMs - 1_200, readAtMs: signalAtMs + 3_400 }
    const state = { firstSentAtMs: signalAtMs + 3_410, sendCount: 1, responseStarted: true }
    endByDrain({
      parts: { drainState, log },
      client: client as unknown as ClientRequest,
      state: state as RequestState,
      attempts: { stop: () => {}, mayHaveRun: () => true, completeUnconfirmed: () => false },
      end: { hasEnded: () => false, respond: () => {} } as unknown as RequestCompletion
    })
    drainState.end()
    for (const text of [REQUEST_ID, '"headMs":-1200', '"readMs":3400', '"sentMs":3410']) expect(kept()[0]).toContain(text)
  })
})
