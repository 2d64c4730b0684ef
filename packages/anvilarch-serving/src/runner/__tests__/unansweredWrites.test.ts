/** Guards against items that no runner runs and nobody lists, because a write about them got no answer and its sender's engine is gone. */
import { CLAIM_TABLE, JOB_TABLE, OUTPUT_TABLE } from '../../jobs/jobRows'
import type { CallOutcome } from '../__fixtures__/memoryStore'
import { createRunnerFleet, type RunnerFleet } from '../__fixtures__/runnerFleet'

interface WriteCase {
  eventCount: number
  /** Brings the first runner to the write. */
  prepare: (fleet: RunnerFleet) => Promise<void>
  /** Time in which the write is sent after that. */
  sentWithinMs: number
  /** Table that the write changes. */
  table: string
}

const SLOTS = 3

/** Longer than the delay of a write that is performed late. */
const OUTAGE_MS = 4000

/** Time in which the first runner claims the item. */
const CLAIM_MS = 300

const WRITES: Record<string, WriteCase> = {
  claim: { eventCount: 40, prepare: async () => {}, sentWithinMs: 200, table: CLAIM_TABLE },
  progress: { eventCount: 60, prepare: async ({ clock }) => await clock.advanceAsync(1400), sentWithinMs: 400, table: OUTPUT_TABLE },
  release: {
    eventCount: 60,
    prepare: async ({ clock, agents }) => {
      await clock.advanceAsync(CLAIM_MS)
      agents[0].setOnline(SLOTS)
      // An item that is not urgent stays paused for 3 s.
      await clock.advanceAsync(2900)
    },
    sentWithinMs: 600,
    table: CLAIM_TABLE
  },
  outcome: { eventCount: 10, prepare: async ({ clock }) => await clock.advanceAsync(500), sentWithinMs: 600, table: JOB_TABLE },
  failure: {
    eventCount: 10,
    prepare: async ({ clock, agents }) => {
      agents[0].setFault({ fault: 'break', atEvent: 3 })
      await clock.advanceAsync(CLAIM_MS)
      agents[0].setFault({ fault: 'status', status: 500 })
    },
    sentWithinMs: 600,
    table: JOB_TABLE
  }
}

const CASES = Object.keys(WRITES).flatMap(write => (['unanswered', 'late', 'lost'] as const).map((outcome): [string, CallOutcome] => [write, outcome]))

let fleet: RunnerFleet

afterEach(() => fleet.close())

describe('an item of a runner whose engine is lost', () => {
  it.each(CASES)('is listed once, with its whole text, when its %s gets no answer: %s', async (write, outcome) => {
    const { eventCount, prepare, sentWithinMs, table } = WRITES[write]
    fleet = createRunnerFleet(2, { eventCounts: [eventCount], calls: [], runs: [] })
    const [first, other] = fleet.agents
    other.setOnline(SLOTS)
    await prepare(fleet)
    fleet.setCallOutcome(outcome)
    await fleet.clock.advanceAsync(sentWithinMs)
    first.loseEngine()
    expect([...fleet.store.unansweredTables]).toContain(table)
    await fleet.clock.advanceAsync(OUTAGE_MS)
    fleet.setCallOutcome(undefined)
    other.setOnline(0)
    await fleet.clock.advanceAsync(20_000)
    expect(await fleet.results()).toEqual([{ itemId: 'item0', outcome: 'completed', output: fleet.expectedText('item0') }])
    expect(fleet.statuses.get('item0') ?? []).toEqual(write === 'failure' ? [500] : [])
    expect(fleet.job().failures).toEqual(write === 'failure' ? { 0: 1 } : {})
  })
})
