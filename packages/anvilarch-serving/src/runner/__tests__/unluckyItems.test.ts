import { createRunnerFleet, type RunnerFleet } from '../__fixtures__/runnerFleet'

const AGENTS = 4
const ITEM_COUNT = 12
const CRASH_INTERVAL_MS = 400
const CRASHES_OF_A_BURST = 5
const BURSTS = 3
const CALM_BETWEEN_BURSTS_MS = 4000

/** Longer than all pauses, cooldowns and backoffs of items and engines, with the time to run the items. */
const RECOVERY_MS = 15_000

let fleet: RunnerFleet

afterEach(() => fleet.close())

function completedCount (): number {
  return fleet.job().listed.filter(entry => entry.outcome === 'completed').length
}

describe('an item under which engines crashed', () => {
  // Guards against a sound item that is never placed again because engines crashed while they ran it.
  it('is completed once all is calm, whatever it was doing at the crashes', async () => {
    fleet = createRunnerFleet(AGENTS, { eventCounts: Array(ITEM_COUNT).fill(40), calls: [], runs: [] })
    for (let burst = 0; burst < BURSTS; burst++) {
      for (let crash = 0; crash < CRASHES_OF_A_BURST; crash++) {
        await fleet.clock.advanceAsync(CRASH_INTERVAL_MS)
        for (const agent of fleet.agents) agent.engine.restart()
      }
      await fleet.clock.advanceAsync(CALM_BETWEEN_BURSTS_MS)
    }
    await fleet.clock.advanceAsync(RECOVERY_MS)
    expect(completedCount()).toBe(ITEM_COUNT)
  })

  it('is completed after engines crashed before its first event at every start', async () => {
    fleet = createRunnerFleet(AGENTS, { eventCounts: [5], calls: [], runs: [] })
    for (const agent of fleet.agents) agent.setFault({ fault: 'break', atEvent: 0 })
    await fleet.clock.advanceAsync(20_000)
    expect(fleet.runs.length).toBeGreaterThan(AGENTS)
    for (const agent of fleet.agents) agent.setFault(undefined)
    await fleet.clock.advanceAsync(RECOVERY_MS)
    expect(completedCount()).toBe(1)
  })
})
