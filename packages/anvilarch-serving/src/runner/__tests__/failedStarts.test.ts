import { createRunnerFleet, type RunnerFleet } from '../__fixtures__/runnerFleet'
import type { RunFault } from '../__fixtures__/scriptedEngine'

let fleet: RunnerFleet

afterEach(() => fleet.close())

describe('an item whose runs bring nothing', () => {
  // Guards against this: an item waits for ever at an engine that cannot do it, beside engines that can.
  it.each<RunFault>([
    { trouble: 'of_another' },
    { trouble: 'no_stream' },
    { trouble: 'break', atEvent: 0 },
    { trouble: 'without_id', atEvent: 0 },
    { trouble: 'status', status: 404 },
    { trouble: 'status', status: 503 }
  ])('goes to another engine: %j', async trouble => {
    fleet = createRunnerFleet(2, { eventCounts: [20, 20, 20], calls: [], runs: [] })
    const [broken, sound] = fleet.agents
    broken.setFault(trouble)
    sound.setOnline(3)
    await fleet.clock.advanceAsync(2000)
    sound.setOnline(0)
    await fleet.clock.advanceAsync(10_000)
    expect(fleet.job().listed).toHaveLength(3)
  })
})
