import { createFakeClock, type FakeClock } from '../fakeClock'
import { createInactivityTimeout, type InactivityTimeout, type InactivityTimeoutOptions } from '../inactivityTimeout'

const TIMEOUT_MS = 1_000

interface StartedTimeout {
  clock: FakeClock
  timeout: InactivityTimeout
  expiredAtMs: number[]
  pausesMs: number[]
}

function startTimeout (more: Partial<InactivityTimeoutOptions> = {}): StartedTimeout {
  const clock = createFakeClock()
  const expiredAtMs: number[] = []
  const pausesMs: number[] = []
  const timeout = createInactivityTimeout({
    clock,
    timeoutMs: TIMEOUT_MS,
    onTimeout: () => { expiredAtMs.push(clock.nowMs()) },
    onProcessPause: lateMs => { pausesMs.push(lateMs) },
    ...more
  })
  return { clock, timeout, expiredAtMs, pausesMs }
}

it('expires once, as soon as the time is over', () => {
  const { clock, expiredAtMs, pausesMs } = startTimeout()
  clock.advance(10_000)
  expect(expiredAtMs).toEqual([TIMEOUT_MS])
  expect(pausesMs).toEqual([])
})

it('starts again at each activity', () => {
  const { clock, timeout, expiredAtMs } = startTimeout()
  clock.advance(700)
  timeout.recordActivity()
  clock.advance(TIMEOUT_MS - 1)
  expect(expiredAtMs).toEqual([])
  clock.advance(1)
  expect(expiredAtMs).toEqual([700 + TIMEOUT_MS])
})

it('starts again at an activity during the final check', () => {
  const { clock, timeout, expiredAtMs } = startTimeout()
  clock.advance(TIMEOUT_MS - 1)
  timeout.recordActivity()
  clock.advance(TIMEOUT_MS)
  expect(expiredAtMs).toEqual([2 * TIMEOUT_MS - 1])
})

it.each([100, 950, 5_000])('does not expire before data is read that arrived during a process pause of %d ms', pauseMs => {
  // Guards against a process that resumes after a pause and takes peers that have responded for unresponsive.
  const { clock, timeout, expiredAtMs } = startTimeout()
  clock.advance(500)
  clock.stall(pauseMs)
  clock.advance(0)
  clock.advance(1)
  timeout.recordActivity()
  clock.advance(TIMEOUT_MS - 1)
  expect(expiredAtMs).toEqual([])
})

it('reports the length of a process pause that would have looked like inactivity', () => {
  const { clock, pausesMs } = startTimeout()
  clock.stall(3_000)
  clock.advance(0)
  expect(pausesMs).toEqual([2_100])
})

it('expires after a process pause when no activity follows', () => {
  const { clock, expiredAtMs } = startTimeout()
  clock.stall(5_000)
  clock.advance(200)
  expect(expiredAtMs).toEqual([5_100])
})

it('repeats the final check when a process pause interrupts it', () => {
  const { clock, expiredAtMs, pausesMs } = startTimeout()
  clock.advance(950)
  clock.stall(400)
  clock.advance(0)
  expect([expiredAtMs, pausesMs]).toEqual([[], [350]])
  clock.advance(100)
  expect(expiredAtMs).toEqual([1_450])
})

it('does not expire while reading is paused', () => {
  let isPaused = true
  const { clock, expiredAtMs } = startTimeout({ isReadingPaused: () => isPaused })
  clock.advance(5_000)
  isPaused = false
  expect(expiredAtMs).toEqual([])
  clock.advance(TIMEOUT_MS)
  expect(expiredAtMs).toHaveLength(1)
})

it('uses a changed timeout', () => {
  const { clock, timeout, expiredAtMs } = startTimeout({ timeoutMs: 200 })
  clock.advance(100)
  timeout.recordActivity()
  timeout.setTimeoutMs(TIMEOUT_MS)
  clock.advance(5_000)
  expect(expiredAtMs).toEqual([100 + TIMEOUT_MS])
})

it('uses a shortened timeout', () => {
  const { clock, timeout, expiredAtMs } = startTimeout()
  clock.advance(100)
  timeout.recordActivity()
  timeout.setTimeoutMs(200)
  clock.advance(5_000)
  expect(expiredAtMs).toEqual([300])
})

it('does not expire after it is cancelled', () => {
  const { clock, timeout, expiredAtMs } = startTimeout()
  timeout.cancel()
  clock.advance(5_000)
  expect(expiredAtMs).toEqual([])
  expect(clock.pendingCount()).toBe(0)
})
