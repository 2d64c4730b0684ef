import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import { createPollSchedule, type PollSchedule } from '../pollSchedule'

let clock: FakeClock
let schedule: PollSchedule
let looksAtMs: number[]
let stopping: AbortController

async function settle (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

async function advance (ms: number): Promise<void> {
  for (let step = 0; step < ms; step += 5) {
    clock.advance(5)
    await settle()
  }
}

beforeEach(async () => {
  clock = createFakeClock(0)
  schedule = createPollSchedule({ clock, minPauseMs: 40, maxPauseMs: () => 200 })
  looksAtMs = []
  stopping = new AbortController()
  const look = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await schedule.next(stopping.signal)
      if (!stopping.signal.aborted) looksAtMs.push(clock.nowMs())
    }
  }
  look().catch(() => {})
  await settle()
})

afterEach(async () => {
  stopping.abort()
  await settle()
})

describe('createPollSchedule', () => {
  it('looks from time to time when nothing is told', async () => {
    await advance(410)
    expect(looksAtMs).toEqual([0, 200, 400])
  })

  it('looks soon after a request, but never more often than the shortest pause allows', async () => {
    await advance(100)
    // Time goes on in steps of 5 ms here.
    for (let index = 0; index < 20; index++) {
      schedule.request()
      await advance(5)
    }
    expect(looksAtMs.slice(1, 4)).toEqual([105, 145, 185])
  })

  it('ends with its signal', async () => {
    stopping.abort()
    await settle()
    await advance(500)
    expect(looksAtMs).toEqual([0])
  })
})
