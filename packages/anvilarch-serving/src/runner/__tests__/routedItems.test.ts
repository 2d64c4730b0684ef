import { CLAIM_TABLE } from '../../jobs/jobRows'
import { createRunnerFleet, type RunnerFleet } from '../__fixtures__/runnerFleet'

const SLOTS = 3
const ITEM_COUNT = 8
const EVENT_COUNT = 30

let fleet: RunnerFleet

function createFleet (agentCount: number): RunnerFleet {
  return createRunnerFleet(agentCount, { eventCounts: Array(ITEM_COUNT).fill(EVENT_COUNT), calls: [], runs: [] })
}

function runsAt (service: string): number {
  return fleet.runs.filter(run => run.service === service).length
}

afterEach(() => fleet.close())

describe('an engine whose address another service uses now', () => {
  // Guards against items that run at a service to which no route of their job leads, because the agent was started for another service.
  it('runs no items of the former service, and the other engines run them', async () => {
    fleet = createFleet(2)
    fleet.agents.forEach(agent => agent.setOnline(SLOTS))
    await fleet.clock.advanceAsync(500)
    fleet.agents[0].reuseAddress('audits')
    fleet.agents.forEach(agent => agent.setOnline(0))
    await fleet.clock.advanceAsync(20_000)
    expect(runsAt('audits')).toBe(0)
    expect(fleet.job().listed).toHaveLength(ITEM_COUNT)
  })

  it('runs the items that are routed to the service that it lists now', async () => {
    fleet = createFleet(1)
    fleet.agents[0].setOnline(SLOTS)
    await fleet.clock.advanceAsync(500)
    fleet.agents[0].reuseAddress('audits')
    fleet.routeTo('audits')
    fleet.agents[0].setOnline(0)
    await fleet.clock.advanceAsync(20_000)
    expect(runsAt('audits')).toBe(ITEM_COUNT)
    expect(fleet.job().listed).toHaveLength(ITEM_COUNT)
  })
})

describe('a paused item', () => {
  // Guards against items that go on at a service after a configuration has moved their route to another one.
  it('goes on at the new service when its route moves', async () => {
    fleet = createFleet(2)
    const [former, next] = fleet.agents
    next.reuseAddress('audits')
    await fleet.clock.advanceAsync(1000)
    former.setOnline(SLOTS)
    await fleet.clock.advanceAsync(200)
    const runsBefore = runsAt('models')
    expect(runsBefore).toBeGreaterThan(0)
    fleet.routeTo('audits')
    former.setOnline(0)
    await fleet.clock.advanceAsync(20_000)
    expect(runsAt('models')).toBe(runsBefore)
    expect((await fleet.results()).map(result => result.output).sort()).toEqual(fleet.job().itemIds.map(fleet.expectedText).sort())
  })

  // Guards against items that wait at the old service while the new one has room.
  it('is released at once when its route moves', async () => {
    fleet = createRunnerFleet(2, { eventCounts: [EVENT_COUNT, EVENT_COUNT], calls: [], runs: [] })
    const [former, next] = fleet.agents
    next.reuseAddress('audits')
    await fleet.clock.advanceAsync(1000)
    former.setOnline(SLOTS)
    await fleet.clock.advanceAsync(200)
    expect(runsAt('models')).toBe(2)
    fleet.routeTo('audits')
    await fleet.clock.advanceAsync(1200)
    expect(runsAt('audits')).toBe(2)
  })
})

describe('an item that is being claimed', () => {
  // Guards against an item that begins at a service from which its route has moved during the claim.
  it('does not begin when its route moves before the claim is answered', async () => {
    fleet = createFleet(1)
    const isClaimed = (): boolean => fleet.store.rows().some(row => row.table === CLAIM_TABLE)
    while (!isClaimed()) await fleet.clock.advanceAsync(1)
    expect(fleet.runs).toEqual([])
    fleet.routeTo('audits')
    await fleet.clock.advanceAsync(5000)
    expect(fleet.runs).toEqual([])
  })
})
