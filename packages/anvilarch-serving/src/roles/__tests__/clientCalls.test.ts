import { IncomingMessage, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import { createFakeClock, type FakeClock, SILENT_LOGGER, sleep } from 'anvilarch-utils'
import { createDrainState, type OwnedDrainState } from '../../drain/drainState'
import { type ClientCall, handleClient } from '../clientCalls'

/** The drain ends this long after its start. */
const DRAIN_MS = 100
const GRACE_MS = 800

/** Longer than the drain. */
const AUTHENTICATION_MS = 200

let clock: FakeClock
let drainState: OwnedDrainState
let response: ServerResponse

function createCall (configuration: unknown): ClientCall {
  clock = createFakeClock()
  drainState = createDrainState(clock)
  const request = new IncomingMessage(new Socket())
  response = new ServerResponse(request)
  return {
    request,
    response,
    drainState,
    forward: { clock, log: SILENT_LOGGER, wire: { decodeCredential: () => undefined, decodeRequest: () => ({}) } },
    jobs: { isJobCall: () => false },
    configuration: { current: () => configuration },
    endpoints: { hasListing: () => configuration !== undefined },
    callers: {
      authenticate: async () => {
        await sleep(clock, AUTHENTICATION_MS)
        return { caller: 'unchecked' }
      }
    }
  } as unknown as ClientCall
}

describe('a call that is still being read when the drain ends', () => {
  // Guards against a second response to the same call, which fails and destroys the first one.
  it.each([
    ['waits for a configuration', undefined],
    ['is to be rejected', { limits: { maxHeaderBytes: 0 }, routes: [] }]
  ])('gets one response if it %s', async (_name, configuration) => {
    const handled = handleClient(createCall(configuration))
    drainState.start(GRACE_MS)
    await clock.advanceAsync(DRAIN_MS)
    drainState.end()
    await clock.advanceAsync(1000)
    await expect(handled).resolves.toBeUndefined()
    expect(response).toMatchObject({ statusCode: 503, writableEnded: true, destroyed: false })
  })
})
