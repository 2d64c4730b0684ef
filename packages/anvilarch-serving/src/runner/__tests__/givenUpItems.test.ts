import type { CallOutcome } from '../__fixtures__/memoryStore'
import { createRunnerFleet, type RunnerFleet } from '../__fixtures__/runnerFleet'

const SLOTS = 3
const ITEM_COUNT = 60
const EXPIRY_MS = 6000

let fleet: RunnerFleet

function outcomes (): Record<string, number> {
  const { listed } = fleet.job()
  expect(new Set(listed.map(entry => entry.item)).size).toBe(listed.length)
  return { completed: listed.filter(entry => entry.outcome === 'completed').length, givenUp: listed.filter(entry => entry.outcome === 'dead_letter').length }
}

afterEach(() => fleet.close())

describe('the items of an expired job', () => {
  it('are given up while no engine has a free slot', async () => {
    fleet = createRunnerFleet(2, { eventCounts: Array(ITEM_COUNT).fill(5), calls: [], runs: [], expiryMs: EXPIRY_MS })
    fleet.agents.forEach(agent => agent.setOnline(SLOTS))
    await fleet.clock.advanceAsync(EXPIRY_MS)
    expect(outcomes()).toEqual({ completed: 0, givenUp: 0 })
    await fleet.clock.advanceAsync(5000)
    expect(outcomes()).toEqual({ completed: 0, givenUp: ITEM_COUNT })
  })

  it('are completed if they have begun to run', async () => {
    fleet = createRunnerFleet(1, { eventCounts: Array(SLOTS + 1).fill(150), calls: [], runs: [], expiryMs: EXPIRY_MS })
    await fleet.clock.advanceAsync(EXPIRY_MS)
    const runningCount = fleet.agents[0].engine.running()
    expect(runningCount).toBeGreaterThan(0)
    await fleet.clock.advanceAsync(10_000)
    expect(outcomes()).toEqual({ completed: runningCount, givenUp: SLOTS + 1 - runningCount })
  })

  // Guards against expired items that runners go on claiming in turn, so that no runner finds them waiting.
  it('are given up while every engine refuses them', async () => {
    fleet = createRunnerFleet(3, { eventCounts: Array(SLOTS).fill(5), calls: [], runs: [], expiryMs: EXPIRY_MS })
    for (const agent of fleet.agents) agent.setFault({ fault: 'status', status: 503 })
    await fleet.clock.advanceAsync(EXPIRY_MS)
    expect(outcomes()).toEqual({ completed: 0, givenUp: 0 })
    const runsBefore = fleet.runs.length
    await fleet.clock.advanceAsync(5000)
    expect(outcomes()).toEqual({ completed: 0, givenUp: SLOTS })
    expect(fleet.runs.length).toBeLessThanOrEqual(runsBefore + SLOTS)
  })

  // Guards against a claim made in order to give an item up, which stays in the store when it gets no answer.
  it.each<CallOutcome>(['unanswered', 'late'])('leave no claim behind when the writes get no answer: %s', async outcome => {
    fleet = createRunnerFleet(1, { eventCounts: [5], calls: [], runs: [], expiryMs: EXPIRY_MS })
    const [agent] = fleet.agents
    agent.setOnline(SLOTS)
    await fleet.clock.advanceAsync(EXPIRY_MS)
    fleet.setCallOutcome(outcome)
    await fleet.clock.advanceAsync(3000)
    const claimed = fleet.store.rows().filter(row => row.table === 'claims')
    expect(claimed).toEqual([])
    fleet.setCallOutcome(undefined)
    await fleet.clock.advanceAsync(5000)
    expect(outcomes()).toEqual({ completed: 0, givenUp: 1 })
  })
})

describe('the items of a job whose route is removed', () => {
  async function removeRoute (): Promise<number> {
    fleet = createRunnerFleet(2, { eventCounts: Array(ITEM_COUNT).fill(30), calls: [], runs: [] })
    await fleet.clock.advanceAsync(1000)
    fleet.routeTo(undefined)
    await fleet.clock.advanceAsync(1000)
    return fleet.runs.length
  }

  // Guards against items that no runner may run and that no runner gives up, so that their client waits forever.
  it('are completed if they run, and given up otherwise', async () => {
    const runCount = await removeRoute()
    await fleet.clock.advanceAsync(12_000)
    expect(fleet.runs).toHaveLength(runCount)
    expect(outcomes()).toEqual({ completed: runCount, givenUp: ITEM_COUNT - runCount })
  })

  it('are run if the route comes back within the grace period', async () => {
    await removeRoute()
    fleet.routeTo('models')
    await fleet.clock.advanceAsync(120_000)
    expect(outcomes()).toEqual({ completed: ITEM_COUNT, givenUp: 0 })
  })

  // Guards against a runner that has missed the version with the route, and gives up jobs that others run.
  it.each<[string, boolean]>([['has the route in a newer version', true], ['does not answer', false]])('are not given up if the store %s', async (_name, answers) => {
    const runCount = await removeRoute()
    fleet.setRefresh(async () => {
      if (answers) fleet.routeTo('models')
      return answers
    })
    await fleet.clock.advanceAsync(12_000)
    expect(outcomes().givenUp).toBe(0)
    if (answers) expect(fleet.runs.length).toBeGreaterThan(runCount)
  })

  it.each<CallOutcome>(['unanswered', 'late', 'lost'])('are each listed once when writes get no answer: %s', async outcome => {
    const runCount = await removeRoute()
    fleet.setCallOutcome(outcome)
    await fleet.clock.advanceAsync(8000)
    fleet.setCallOutcome(undefined)
    await fleet.clock.advanceAsync(12_000)
    expect(fleet.runs).toHaveLength(runCount)
    expect(outcomes()).toEqual({ completed: runCount, givenUp: ITEM_COUNT - runCount })
  })
})
