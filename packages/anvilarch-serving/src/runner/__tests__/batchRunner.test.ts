import { createRunnerHarness, type RunnerHarness } from '../__fixtures__/runnerHarness'

const SLOTS = 4

/** Two looks at the engine: the one that asks too early, and the next. */
const GIVES_WAY_WITHIN_MS = 40

let harness: RunnerHarness

async function startRunner (itemCount: number): Promise<void> {
  harness = createRunnerHarness(SLOTS, itemCount)
  await harness.clock.advanceAsync(1000)
}

afterEach(() => { harness.runner.halt() })

describe('startBatchRunner', () => {
  it('takes all slots but the one that is reserved', async () => {
    await startRunner(10)
    expect(harness.runningItems()).toHaveLength(SLOTS - 1)
  })

  it('claims an item once, and no more than it can run', async () => {
    await startRunner(10)
    expect(new Set(harness.runs.map(run => run.itemId)).size).toBe(harness.runs.length)
    expect(harness.runs).toHaveLength(SLOTS - 1)
  })

  // Symptom: first events of online requests come late while a job runs.
  // Sequence: items hold the slots; online requests come and wait in the engine's queue, in order of arrival.
  // Cause: only the runner can make room, and it has to look at the engine often enough to notice.
  it.each([1, 2, 3])('gives way to %i waiting requests within two looks at the engine', async waiting => {
    await startRunner(10)
    const atMs = harness.clock.nowMs()
    harness.online.running = 1
    harness.online.waiting = waiting
    await harness.clock.advanceAsync(GIVES_WAY_WITHIN_MS)
    const aborted = harness.runs.filter(run => run.abortedAtMs !== undefined)
    expect(aborted.length).toBeGreaterThanOrEqual(waiting)
    aborted.forEach(run => expect((run.abortedAtMs ?? Infinity) - atMs).toBeLessThanOrEqual(GIVES_WAY_WITHIN_MS))
  })

  it('goes on with the items it has broken off once the requests are gone', async () => {
    await startRunner(3)
    harness.online.running = SLOTS
    await harness.clock.advanceAsync(100)
    expect(harness.runningItems()).toHaveLength(0)
    harness.online.running = 0
    await harness.clock.advanceAsync(100)
    expect(harness.runningItems()).toHaveLength(3)
    expect(new Set(harness.runs.map(run => run.itemId)).size).toBe(3)
  })

  it('breaks nothing off for requests that find a free slot', async () => {
    await startRunner(2)
    harness.online.running = 1
    await harness.clock.advanceAsync(200)
    expect(harness.runs.every(run => run.abortedAtMs === undefined)).toBe(true)
  })
})
