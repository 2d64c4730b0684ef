import { isStoreAway, submitPatience, type SubmitTerms } from '../submitPatience'

const TERMS: SubmitTerms = { deadlineMs: 5000, fullDeadlineMs: 5000, latencyObjectiveMs: 600, isStoreAway: false }

/**
 * What becomes of jobs that arrive at even times within an outage; their clients come back once. A job is on time when an
 * attempt is answered within the objective, and any one before was sent away early.
 */
function playOutage (outageMs: number, decide: typeof submitPatience): { onTime: number, accepted: number } {
  const arrivalsMs = Array.from({ length: 200 }, (_, index) => index * outageMs / 200)
  const outcomes = arrivalsMs.map(arrivedAtMs => {
    let attemptAtMs = arrivedAtMs
    let sentAwayEarly = true
    for (let attempt = 0; attempt < 2; attempt++) {
      const deadlineMs = 5000 - (attemptAtMs - arrivedAtMs)
      const { patienceMs, retryAfterMs } = decide({ ...TERMS, deadlineMs, isStoreAway: true })
      const acceptedAtMs = Math.max(outageMs, attemptAtMs)
      if (acceptedAtMs <= attemptAtMs + patienceMs) return { accepted: true, onTime: sentAwayEarly && acceptedAtMs - attemptAtMs <= TERMS.latencyObjectiveMs }
      sentAwayEarly = patienceMs <= TERMS.latencyObjectiveMs / 4
      attemptAtMs += patienceMs + retryAfterMs
    }
    return { accepted: false, onTime: false }
  })
  return { accepted: outcomes.filter(({ accepted }) => accepted).length / 200, onTime: outcomes.filter(({ onTime }) => onTime).length / 200 }
}

describe('submitPatience', () => {
  it('tries for a while when the store answers others', () => {
    expect(submitPatience(TERMS)).toEqual({ patienceMs: 1500, retryAfterMs: 400, isEarly: false })
    expect(submitPatience({ ...TERMS, deadlineMs: 1000 }).patienceMs).toBe(500)
  })

  it('sends a client away early while the store is away, with a time to come back that it keeps to', () => {
    const { patienceMs, retryAfterMs } = submitPatience({ ...TERMS, isStoreAway: true })
    expect(patienceMs).toBeLessThan(TERMS.latencyObjectiveMs / 4)
    expect(retryAfterMs).toBeLessThanOrEqual(5000 / 3)
  })

  it('keeps a job for as long as its client waits when the client has been sent away before', () => {
    expect(submitPatience({ ...TERMS, deadlineMs: 3300, isStoreAway: true }).patienceMs).toBe(2800)
  })

  // Guards against jobs that are lost or late in an outage of seconds, though a client's next attempt could have been in time.
  it('has more jobs accepted on time, and no fewer in all, than a fixed patience', () => {
    const fixed = (): ReturnType<typeof submitPatience> => ({ patienceMs: 1500, retryAfterMs: 400, isEarly: false })
    for (const outageMs of [2500, 4000, 7000]) {
      const early = playOutage(outageMs, submitPatience)
      const before = playOutage(outageMs, fixed)
      expect(early.onTime).toBeGreaterThan(1.5 * before.onTime)
      expect(early.accepted).toBeGreaterThanOrEqual(before.accepted)
    }
  })
})

describe('isStoreAway', () => {
  const contact = (lastFailureMs: number | undefined, lastSuccessMs: number | undefined, lastOutageMs: number): Parameters<typeof isStoreAway>[0] =>
    ({ lastFailureMs: () => lastFailureMs, lastSuccessMs: () => lastSuccessMs, lastOutageMs: () => lastOutageMs })

  it.each([
    ['it has never failed', contact(undefined, 5, 0), false],
    ['one call has failed', contact(9, 5, 0), false],
    ['calls have failed for a while', contact(900, 5, 300), true],
    ['a call through a peer has succeeded since', contact(900, 950, 300), false]
  ])('when %s', (_name, of, expected) => {
    expect(isStoreAway(of)).toBe(expected)
  })
})
