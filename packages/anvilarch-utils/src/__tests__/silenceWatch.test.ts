import { createFakeClock, type FakeClock } from '../fakeClock'
import { createSilenceWatch, type SilenceWatch, type SilenceWatchOptions } from '../silenceWatch'

const BOUND_MS = 1_000

interface Watched {
  clock: FakeClock
  watch: SilenceWatch
  silentAtMs: number[]
  pausesMs: number[]
}

function watchOn (more: Partial<SilenceWatchOptions> = {}): Watched {
  const clock = createFakeClock()
  const silentAtMs: number[] = []
  const pausesMs: number[] = []
  const watch = createSilenceWatch({
    clock,
    boundMs: BOUND_MS,
    onSilence: () => { silentAtMs.push(clock.nowMs()) },
    onOwnPause: lateMs => { pausesMs.push(lateMs) },
    ...more
  })
  return { clock, watch, silentAtMs, pausesMs }
}

it('reports silence once, as soon as the bound is over', () => {
  const { clock, silentAtMs, pausesMs } = watchOn()
  clock.advance(10_000)
  expect(silentAtMs).toEqual([BOUND_MS])
  expect(pausesMs).toEqual([])
})

it('counts from the last sign of life', () => {
  const { clock, watch, silentAtMs } = watchOn()
  clock.advance(700)
  watch.heard()
  clock.advance(BOUND_MS - 1)
  expect(silentAtMs).toEqual([])
  clock.advance(1)
  expect(silentAtMs).toEqual([700 + BOUND_MS])
})

it('counts from a sign of life that comes in the last look', () => {
  const { clock, watch, silentAtMs } = watchOn()
  clock.advance(BOUND_MS - 1)
  watch.heard()
  clock.advance(BOUND_MS)
  expect(silentAtMs).toEqual([2 * BOUND_MS - 1])
})

it.each([100, 950, 5_000])('reads what came during a pause of its own process of %d ms before it judges', pauseMs => {
  // Guards against this: a process that wakes up gives up peers that have answered.
  const { clock, watch, silentAtMs } = watchOn()
  clock.advance(500)
  clock.stall(pauseMs)
  clock.advance(0)
  clock.advance(1)
  watch.heard()
  clock.advance(BOUND_MS - 1)
  expect(silentAtMs).toEqual([])
})

it('says how long its own pause was when that would have been taken for silence', () => {
  const { clock, pausesMs } = watchOn()
  clock.stall(3_000)
  clock.advance(0)
  expect(pausesMs).toEqual([2_100])
})

it('still reports a side that stays silent after the pause', () => {
  const { clock, silentAtMs } = watchOn()
  clock.stall(5_000)
  clock.advance(200)
  expect(silentAtMs).toEqual([5_100])
})

it('looks again when the last look was itself interrupted', () => {
  const { clock, silentAtMs, pausesMs } = watchOn()
  clock.advance(950)
  clock.stall(400)
  clock.advance(0)
  expect([silentAtMs, pausesMs]).toEqual([[], [350]])
  clock.advance(100)
  expect(silentAtMs).toEqual([1_450])
})

it('takes nothing for silence that this side leaves unread', () => {
  let heldBack = true
  const { clock, silentAtMs } = watchOn({ isHeldBack: () => heldBack })
  clock.advance(5_000)
  heldBack = false
  expect(silentAtMs).toEqual([])
  clock.advance(BOUND_MS)
  expect(silentAtMs).toHaveLength(1)
})

it('keeps to a bound that was changed', () => {
  const { clock, watch, silentAtMs } = watchOn({ boundMs: 200 })
  clock.advance(100)
  watch.heard()
  watch.setBoundMs(BOUND_MS)
  clock.advance(5_000)
  expect(silentAtMs).toEqual([100 + BOUND_MS])
})

it('keeps to a bound that was made shorter', () => {
  const { clock, watch, silentAtMs } = watchOn()
  clock.advance(100)
  watch.heard()
  watch.setBoundMs(200)
  clock.advance(5_000)
  expect(silentAtMs).toEqual([300])
})

it('is quiet once it is cancelled', () => {
  const { clock, watch, silentAtMs } = watchOn()
  watch.cancel()
  clock.advance(5_000)
  expect(silentAtMs).toEqual([])
  expect(clock.pendingCount()).toBe(0)
})
