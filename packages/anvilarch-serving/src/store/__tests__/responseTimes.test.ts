import type { Moment } from 'anvilarch-utils'
import { createResponseTimes, type ResponseTimes } from '../responseTimes'

const STORE_LEAD_MS = 50_000

let times: ResponseTimes

beforeEach(() => { times = createResponseTimes() })

function at (monotonicMs: number, wallMs = monotonicMs): Moment {
  return { monotonicMs, wallMs }
}

/** Records a call that takes 10 ms, of which 4 ms are its way to the store. */
function callAt (ms: number): void {
  times.madeAt({ storeMs: ms + 4 + STORE_LEAD_MS, sentAt: at(ms), readAt: at(ms + 10) })
}

describe('the time at which the store made a response', () => {
  it('is that of the call before other calls have bounded the clock of the store', () => {
    expect(times.madeAt({ storeMs: 7000, sentAt: at(1000), readAt: at(4000) })).toEqual(at(1000))
    expect(times.madeAt({ storeMs: undefined, sentAt: at(5000), readAt: at(6000) })).toEqual(at(5000))
  })

  it('is near the end of a long poll that ended late', () => {
    callAt(1000)
    expect(times.madeAt({ storeMs: 5000 + STORE_LEAD_MS, sentAt: at(3000), readAt: at(5004) })).toEqual(at(4996))
  })

  // Guards against a list that counts as new because it has just been read.
  it('is not that of the reading when a link held the response back or the process stood still', () => {
    callAt(1000)
    expect(times.madeAt({ storeMs: 3010 + STORE_LEAD_MS, sentAt: at(3000), readAt: at(6000) })).toEqual(at(3006))
  })

  it('includes the time for which the host was suspended, by the wall clock', () => {
    callAt(1000)
    const madeAt = times.madeAt({ storeMs: 3010 + STORE_LEAD_MS, sentAt: at(3000), readAt: at(3020, 23_020) })
    expect(madeAt.wallMs).toBe(3006)
  })

  it('is known again with the first response after the host was suspended', () => {
    callAt(1000)
    const madeAt = times.madeAt({ storeMs: 24_000 + STORE_LEAD_MS, sentAt: at(3000), readAt: at(4004, 24_004) })
    expect(madeAt).toEqual(at(3996, 23_996))
    expect(times.madeAt({ storeMs: 26_000 + STORE_LEAD_MS, sentAt: at(4010, 24_010), readAt: at(6004, 26_004) })).toEqual(at(5996, 25_996))
  })

  it('is known again with the first response after the wall clock was set', () => {
    callAt(1000)
    expect(times.madeAt({ storeMs: 5000 + STORE_LEAD_MS, sentAt: at(3000), readAt: at(5004, 1004) })).toEqual(at(4996, 996))
  })

  it('follows a local clock that is slower than that of the store', () => {
    callAt(1000)
    for (let ms = 2000; ms < 2_000_000; ms += 2000) {
      const storeMs = STORE_LEAD_MS + (ms + 2000) * 1.0001
      const { monotonicMs } = times.madeAt({ storeMs, sentAt: at(ms), readAt: at(ms + 2004) })
      expect(monotonicMs).toBeGreaterThanOrEqual(ms + 1990)
      expect(monotonicMs).toBeLessThanOrEqual(ms + 2004)
    }
  })
})
