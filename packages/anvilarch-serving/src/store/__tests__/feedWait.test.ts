import { feedWaitMs } from '../feedWait'

const CALL_TIMEOUT_MS = 1500

describe('feedWaitMs', () => {
  it.each([[2500], [3000], [4000], [5000], [20_000]])('lets an unanswered call time out half a second before the host counts as in contact (%i ms)', contactMs => {
    const waitMs = feedWaitMs({ contactMs, callTimeoutMs: CALL_TIMEOUT_MS })
    expect(waitMs + CALL_TIMEOUT_MS).toBeLessThanOrEqual(contactMs - 500)
  })

  it('stays within its bounds', () => {
    expect(feedWaitMs({ contactMs: 500, callTimeoutMs: CALL_TIMEOUT_MS })).toBe(250)
    expect(feedWaitMs({ contactMs: 60_000, callTimeoutMs: CALL_TIMEOUT_MS })).toBe(2000)
  })
})
