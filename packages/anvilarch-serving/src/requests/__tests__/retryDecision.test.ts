import fc from 'fast-check'
import { type AttemptFailure, isRetryable, MIN_REMAINING_MS, nextStep, silenceTimeoutMs } from '../retryDecision'

const ROUTE = fc.record({
  kind: fc.constantFrom('idempotent' as const, 'once' as const, 'stream' as const),
  resumable: fc.boolean(),
  maxAttempts: fc.integer({ min: 1, max: 4 })
})

const HISTORY = fc.array(fc.record({
  failure: fc.constantFrom<AttemptFailure>('not_run', 'may_have_run'),
  responseStarted: fc.boolean(),
  hasUntriedEndpoint: fc.boolean(),
  remainingMs: fc.integer({ min: -10, max: 3000 })
}), { minLength: 1, maxLength: 8 })

const RUNS = { seed: 20261202, numRuns: 3000 }

describe('nextStep', () => {
  // Guards against this: a request that may run once runs twice, a client is told "not run" of one that ran, or more endpoints run it than allowed.
  it('never repeats what may run once, keeps to the attempts allowed, and refuses only what has not run', () => {
    fc.assert(fc.property(ROUTE, HISTORY, (route, history) => {
      let mayHaveRun = 0
      let begun = false
      for (const attempt of history) {
        if (attempt.failure === 'may_have_run') mayHaveRun++
        begun = begun || (attempt.responseStarted && attempt.failure === 'may_have_run')
        const step = nextStep(route, attempt.failure, { ...attempt, responseStarted: begun, attemptsThatMayHaveRun: mayHaveRun })
        if (step === 'send_again') {
          expect(mayHaveRun === 0 || isRetryable(route)).toBe(true)
          expect(mayHaveRun).toBeLessThan(route.maxAttempts)
          expect(attempt.remainingMs).toBeGreaterThan(MIN_REMAINING_MS)
          continue
        }
        if (step === 'refuse') expect(mayHaveRun).toBe(0)
        if (begun) expect(step).toBe('break_off')
        return
      }
    }), RUNS)
  })

  it('goes elsewhere after a refusal also when the request may run once', () => {
    const progress = { attemptsThatMayHaveRun: 0, responseStarted: false, hasUntriedEndpoint: true, remainingMs: 1000 }
    expect(nextStep({ kind: 'once', resumable: false, maxAttempts: 1 }, 'not_run', progress)).toBe('send_again')
  })
})

describe('silenceTimeoutMs', () => {
  it('leaves a resumed stream time within the pause that counts as on time', () => {
    const route = { kind: 'stream' as const, latencyObjectiveMs: 300, gapObjectiveMs: 400 }
    expect(silenceTimeoutMs(route, true)).toBeLessThan(400)
    expect(silenceTimeoutMs(route, false)).toBeGreaterThan(300)
  })
})
