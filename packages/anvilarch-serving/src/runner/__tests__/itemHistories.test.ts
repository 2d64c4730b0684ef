/**
 * Symptoms looked for: a completed text that lacks an event, has one twice or joins runs that do not fit, an item listed twice or
 * never, a position that is written anew, an item that runs on after its job. Sequences: runners claim, run, pause, save, release and take over items while engines answer wrongly, fall silent and
 * restart, writes are refused, lost or late, copies of the work are out of date and listed anew, and agents are replaced, stopped,
 * stand still and go on, or are taken for dead though they go on. In some histories a client ends the job.
 */
import fc from 'fast-check'
import { resultKey } from '../../jobs/jobRows'
import type { CallOutcome } from '../__fixtures__/memoryStore'
import { createRunnerFleet, type RunnerFleet } from '../__fixtures__/runnerFleet'
import type { RunFault } from '../__fixtures__/scriptedEngine'

type Step =
  | { type: 'wait', ms: number }
  | { type: 'store', fate: CallOutcome, ms: number }
  | { type: 'burst' | 'drain' | 'lapse' | 'freeze' | 'lose_history', agent: number, ms: number }
  | { type: 'replace' | 'stop' | 'restart', agent: number }

const AGENTS = 3
const SLOTS = 3
const MAX_ATTEMPTS = 3
const SEED = Number(process.env.ITEM_HISTORIES_SEED ?? 20_263)
const MAX_STEPS = 40
const RUNS = Number(process.env.ITEM_HISTORIES ?? 100)
const HEAL_STEP_MS = 5000
const HEAL_STEPS = 40

const agent = fc.nat({ max: AGENTS - 1 })

const ms = fc.integer({ min: 10, max: 4500 })

const fate = fc.constantFrom<CallOutcome>('done', 'done', 'done', 'refused', 'unanswered', 'late', 'lost')

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 10, max: 800 }) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('store' as const), fate, ms }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constantFrom('burst' as const, 'drain' as const, 'lapse' as const), agent, ms }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constantFrom('freeze' as const, 'lose_history' as const), agent, ms: fc.integer({ min: 10, max: 9000 }) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constantFrom('replace' as const, 'stop' as const, 'restart' as const), agent }) }
)

const trouble: fc.Arbitrary<RunFault> = fc.oneof(
  { weight: 2, arbitrary: fc.record({ trouble: fc.constant('none' as const) }) },
  { weight: 4, arbitrary: fc.record({ trouble: fc.constantFrom('from_start' as const, 'of_another' as const, 'no_stream' as const, 'empty' as const) }) },
  { weight: 2, arbitrary: fc.record({ trouble: fc.constant('fail_twice' as const) }) },
  { weight: 2, arbitrary: fc.record({ trouble: fc.constant('status' as const), status: fc.constantFrom(500, 500, 422, 204, 206, 404, 421, 503, 504) }) },
  {
    weight: 6,
    arbitrary: fc.record({
      trouble: fc.constantFrom('break' as const, 'break' as const, 'silent' as const, 'without_id' as const, 'skip' as const, 'cut' as const),
      atEvent: fc.oneof(fc.nat({ max: 5 }), fc.nat({ max: 50 }))
    })
  }
)

const history = fc.record({
  eventCounts: fc.array(fc.oneof(fc.integer({ min: 1, max: 6 }), fc.integer({ min: 7, max: 70 })), { minLength: 1, maxLength: 14 }),
  calls: fc.array(fate, { maxLength: 60 }),
  runs: fc.array(trouble, { minLength: 5, maxLength: 40 }),
  steps: fc.array(step, { minLength: 5, maxLength: MAX_STEPS }),
  /** A client ends the job after so many steps. */
  endsAfter: fc.oneof({ weight: 4, arbitrary: fc.constant(undefined) }, { weight: 1, arbitrary: fc.nat({ max: MAX_STEPS }) })
})

async function take (fleet: RunnerFleet, step: Step): Promise<void> {
  switch (step.type) {
    case 'wait':
      await fleet.clock.advanceAsync(step.ms)
      break
    case 'store':
      fleet.setCallOutcome(step.fate)
      fleet.clock.after(step.ms, () => fleet.setCallOutcome(undefined))
      break
    default:
      disturb(fleet, step)
  }
}

function disturb (fleet: RunnerFleet, step: Exclude<Step, { type: 'wait' | 'store' }>): void {
  const target = fleet.agents[step.agent]
  const forAWhile = (begin: () => void, end: () => void): void => {
    begin()
    fleet.clock.after('ms' in step ? step.ms : 0, end)
  }
  const actions: Record<typeof step.type, () => void> = {
    burst: () => forAWhile(() => target.setOnline(SLOTS), () => target.setOnline(0)),
    drain: () => forAWhile(() => target.setReady(false), () => target.setReady(true)),
    lapse: () => forAWhile(() => target.setAlive(false), () => target.setAlive(true)),
    freeze: () => 'ms' in step && target.freeze(step.ms),
    lose_history: () => 'ms' in step && target.loseHistory(step.ms),
    replace: target.replace,
    stop: () => { target.stop().catch(() => {}) },
    restart: target.engine.restart
  }
  actions[step.type]()
}

async function heal (fleet: RunnerFleet, itemCount: number): Promise<void> {
  await fleet.clock.advanceAsync(2 * HEAL_STEP_MS)
  fleet.clearFaults()
  for (const target of fleet.agents) {
    target.setAlive(true)
    target.setOnline(0)
    target.setReady(true)
  }
  for (let count = 0; count < HEAL_STEPS && !fleet.job().ended && fleet.job().listed.length < itemCount; count++) await fleet.clock.advanceAsync(HEAL_STEP_MS)
  // Writes that come late may still change something.
  await fleet.clock.advanceAsync(HEAL_STEP_MS)
}

/** What has been listed once stays as it is. */
function createPositionCheck (fleet: RunnerFleet): { look: () => void } {
  const seen: Array<{ item: number, version: number | undefined }> = []
  const versionOf = (item: number): number | undefined => fleet.store.row(resultKey(fleet.job().jobId, item))?.version
  return {
    look: () => {
      const now = fleet.job().listed.map(({ item }) => ({ item, version: versionOf(item) }))
      expect(now.slice(0, seen.length)).toEqual(seen)
      seen.push(...now.slice(seen.length))
    }
  }
}

function mayBeGivenUp (fleet: RunnerFleet, itemId: string): boolean {
  const statuses = fleet.statuses.get(itemId) ?? []
  return statuses.includes(422) || statuses.filter(status => status === 500).length >= MAX_ATTEMPTS
}

describe('batch runners', () => {
  // Guards against this: a result is listed as completed and its text is not the data of all events, once and in order.
  it('list each item once, with its whole text', async () => {
    await fc.assert(fc.asyncProperty(history, async ({ eventCounts, calls, runs, steps, endsAfter }) => {
      const fleet = createRunnerFleet(AGENTS, { eventCounts, calls: [...calls], runs: [...runs] })
      try {
        await fleet.clock.advanceAsync(300)
        const positions = createPositionCheck(fleet)
        for (const [index, next] of steps.entries()) {
          if (index === endsAfter) fleet.endJob()
          await take(fleet, next)
          positions.look()
        }
        await heal(fleet, eventCounts.length)
        positions.look()
        const results = await fleet.results()
        const itemIds = results.map(result => result.itemId)
        const expectedIds = eventCounts.map((_, index) => `item${index}`)
        if (fleet.job().ended) expect(itemIds).toEqual([...new Set(itemIds)])
        else expect(itemIds.sort()).toEqual(expectedIds.sort())
        expect(fleet.agents.map(target => target.engine.running())).toEqual(fleet.agents.map(() => 0))
        for (const { itemId, outcome, output } of results) {
          if (outcome === 'completed') expect(output).toBe(fleet.expectedText(itemId))
          else expect(mayBeGivenUp(fleet, itemId)).toBe(true)
        }
      } finally {
        fleet.close()
      }
    }), { seed: SEED, numRuns: RUNS })
  })
})
