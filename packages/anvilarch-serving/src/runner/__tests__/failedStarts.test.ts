import { createRunnerFleet, type RunnerFleet } from '../__fixtures__/runnerFleet'
import type { RunFault } from '../__fixtures__/scriptedEngine'

let fleet: RunnerFleet

afterEach(() => fleet.close())

describe('an item whose runs produce no event', () => {
  // Guards against an item that stays indefinitely at an engine that cannot run it, while other engines could.
  it.each<RunFault>([
    { fault: 'of_another' },
    { fault: 'no_stream' },
    { fault: 'break', atEvent: 0 },
    { fault: 'without_id', atEvent: 0 },
    { fault: 'status', status: 404 },
    { fault: 'status', status: 503 }
  ])('moves to another engine: %j', async fault => {
    fleet = createRunnerFleet(2, { eventCounts: [20, 20, 20], calls: [], runs: [] })
    const [broken, sound] = fleet.agents
    broken.setFault(fault)
    sound.setOnline(3)
    await fleet.clock.advanceAsync(2000)
    sound.setOnline(0)
    await fleet.clock.advanceAsync(10_000)
    expect(fleet.job().listed).toHaveLength(3)
  })
})
