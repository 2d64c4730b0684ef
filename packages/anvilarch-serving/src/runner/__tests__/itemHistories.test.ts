/**
 * Guards against completed texts that lack an event, contain one twice or join runs that do not fit, items listed twice or never,
 * positions that are rewritten, and items that keep running after their job has ended. In random histories, runners claim, run,
 * pause, save, release and take over items while engines send wrong responses, stop responding, restart and terminate permanently; writes are refused,
 * lost or late; local copies of the work are outdated and listed again; and agents are replaced, stopped, paused and resumed, or
 * considered failed while they run. In some histories a client ends the job, in others it expires, also while all engines refuse its items.
 */
import fc from 'fast-check'
import { resultKey } from '../../jobs/jobRows'
import type { CallOutcome } from '../__fixtures__/memoryStore'
import { createRunnerFleet, type RunnerFleet } from '../__fixtures__/runnerFleet'
import type { RunFault } from '../__fixtures__/scriptedEngine'

type Step =
  | { type: 'wait', ms: number }
  | { type: 'store', callOutcome: CallOutcome, ms: number }
  | { type: 'burst' | 'drain' | 'heartbeat_loss' | 'pause' | 'lose_history', agent: number, ms: number }
  | { type: 'replace' | 'stop' | 'restart', agent: number }
  | { type: 'lose_engine' }

const AGENTS = 3
const SLOTS = 3
const MAX_ATTEMPTS = 3
const SEED = Number(process.env.ITEM_HISTORIES_SEED ?? 20_263)
const MAX_STEPS = 40
const RUNS = Number(process.env.ITEM_HISTORIES ?? 100)
const RECOVERY_STEP_MS = 5000
const RECOVERY_STEPS = 40

/** The engine has not run the item. */
const REFUSED: RunFault = { fault: 'status', status: 503 }

const agent = fc.nat({ max: AGENTS - 1 })

const ms = fc.integer({ min: 10, max: 4500 })

const callOutcome = fc.constantFrom<CallOutcome>('done', 'done', 'done', 'refused', 'unanswered', 'late', 'lost')

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 10, max: 800 }) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('store' as const), callOutcome, ms }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constantFrom('burst' as const, 'drain' as const, 'heartbeat_loss' as const), agent, ms }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constantFrom('pause' as const, 'lose_history' as const), agent, ms: fc.integer({ min: 10, max: 9000 }) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constantFrom('replace' as const, 'stop' as const, 'restart' as const), agent }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('lose_engine' as const) }) }
)

const fault: fc.Arbitrary<RunFault> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ fault: fc.constantFrom('none' as const, 'none' as const, 'unframed' as const) }) },
  { weight: 4, arbitrary: fc.record({ fault: fc.constantFrom('from_start' as const, 'of_another' as const, 'no_stream' as const, 'empty' as const) }) },
  { weight: 2, arbitrary: fc.record({ fault: fc.constant('fail_twice' as const) }) },
  { weight: 2, arbitrary: fc.record({ fault: fc.constant('status' as const), status: fc.constantFrom(500, 500, 422, 204, 206, 404, 421, 503, 504) }) },
  {
    weight: 6,
    arbitrary: fc.record({
      fault: fc.constantFrom('break' as const, 'break' as const, 'silent' as const, 'without_id' as const, 'skip' as const, 'cut' as const, 'unframed_reset' as const, 'unframed_gone' as const),
      atEvent: fc.oneof(fc.nat({ max: 5 }), fc.nat({ max: 50 }))
    })
  }
)

const history = fc.record({
  eventCounts: fc.array(fc.oneof(fc.integer({ min: 1, max: 6 }), fc.integer({ min: 7, max: 70 })), { minLength: 1, maxLength: 14 }),
  unframedEngines: fc.oneof({ weight: 1, arbitrary: fc.constant([]) }, { weight: 1, arbitrary: fc.subarray([0, 1, 2]) }, { weight: 1, arbitrary: fc.constant([0, 1, 2]) }),
  calls: fc.array(callOutcome, { maxLength: 60 }),
  runs: fc.array(fault, { minLength: 5, maxLength: 40 }),
  steps: fc.array(step, { minLength: 5, maxLength: MAX_STEPS }),
  /** Number of steps after which a client ends the job. */
  endsAfter: fc.oneof({ weight: 4, arbitrary: fc.constant(undefined) }, { weight: 1, arbitrary: fc.nat({ max: MAX_STEPS }) }),
  expiry: fc.oneof(
    { weight: 3, arbitrary: fc.constant(undefined) },
    { weight: 1, arbitrary: fc.record({ expiryMs: fc.integer({ min: 2000, max: 30_000 }), refusesAll: fc.boolean() }) }
  )
})

async function applyStep (fleet: RunnerFleet, step: Step): Promise<void> {
  switch (step.type) {
    case 'wait':
      await fleet.clock.advanceAsync(step.ms)
      break
    case 'store':
      fleet.setCallOutcome(step.callOutcome)
      fleet.clock.after(step.ms, () => fleet.setCallOutcome(undefined))
      break
    case 'lose_engine':
      // Only the first engine terminates, since the items need an engine to complete.
      fleet.agents[0].loseEngine()
      break
    default:
      injectFault(fleet, step)
  }
}

function injectFault (fleet: RunnerFleet, step: Exclude<Step, { type: 'wait' | 'store' | 'lose_engine' }>): void {
  const target = fleet.agents[step.agent]
  const temporarily = (begin: () => void, end: () => void): void => {
    begin()
    fleet.clock.after('ms' in step ? step.ms : 0, end)
  }
  const actions: Record<typeof step.type, () => void> = {
    burst: () => temporarily(() => target.setOnline(SLOTS), () => target.setOnline(0)),
    drain: () => temporarily(() => target.setReady(false), () => target.setReady(true)),
    heartbeat_loss: () => temporarily(() => target.setAlive(false), () => target.setAlive(true)),
    pause: () => 'ms' in step && target.pauseProcess(step.ms),
    lose_history: () => 'ms' in step && target.loseHistory(step.ms),
    replace: target.replace,
    stop: () => { target.stop().catch(() => {}) },
    restart: target.engine.restart
  }
  actions[step.type]()
}

async function recover (fleet: RunnerFleet, itemCount: number): Promise<void> {
  await fleet.clock.advanceAsync(2 * RECOVERY_STEP_MS)
  fleet.clearFaults()
  for (const target of fleet.agents) {
    target.setAlive(true)
    target.setOnline(0)
    target.setReady(true)
  }
  for (let count = 0; count < RECOVERY_STEPS && !fleet.job().ended && fleet.job().listed.length < itemCount; count++) await fleet.clock.advanceAsync(RECOVERY_STEP_MS)
  // Late writes may still change something.
  await fleet.clock.advanceAsync(RECOVERY_STEP_MS)
}

/** Checks that listed items keep their position and result, and that none is given up before the job has expired. */
function createPositionCheck (fleet: RunnerFleet, hasExpired: () => boolean): { check: () => void } {
  const seen: Array<{ item: number, version: number | undefined }> = []
  const versionOf = (item: number): number | undefined => fleet.store.row(resultKey(fleet.job().jobId, item))?.version
  return {
    check: () => {
      const now = fleet.job().listed.map(({ item }) => ({ item, version: versionOf(item) }))
      expect(now.slice(0, seen.length)).toEqual(seen)
      seen.push(...now.slice(seen.length))
      const givenUp = fleet.job().listed.filter(({ outcome }) => outcome === 'dead_letter').map(({ item }) => `item${item}`)
      if (!hasExpired()) for (const itemId of givenUp) expect(mayBeGivenUp(fleet, itemId)).toBe(true)
    }
  }
}

function mayBeGivenUp (fleet: RunnerFleet, itemId: string): boolean {
  const statuses = fleet.statuses.get(itemId) ?? []
  return statuses.includes(422) || statuses.filter(status => status === 500).length >= MAX_ATTEMPTS
}

describe('batch runners', () => {
  // Guards against a completed result whose text is not the data of all events, each once and in order.
  it('list each item once, with its complete text', async () => {
    await fc.assert(fc.asyncProperty(history, async ({ eventCounts, unframedEngines, calls, runs, steps, endsAfter, expiry }) => {
      const fleet = createRunnerFleet(AGENTS, { eventCounts, unframedEngines, calls: [...calls], runs: [...runs], expiryMs: expiry?.expiryMs })
      if (expiry?.refusesAll === true) for (const target of fleet.agents) target.setFault(REFUSED)
      const hasExpired = (): boolean => fleet.clock.nowMs() > (expiry?.expiryMs ?? Infinity)
      try {
        await fleet.clock.advanceAsync(300)
        const positions = createPositionCheck(fleet, hasExpired)
        for (const [index, next] of steps.entries()) {
          if (index === endsAfter) fleet.endJob()
          await applyStep(fleet, next)
          positions.check()
        }
        await recover(fleet, eventCounts.length)
        positions.check()
        const results = await fleet.results()
        const itemIds = results.map(result => result.itemId)
        const expectedIds = eventCounts.map((_, index) => `item${index}`)
        if (fleet.job().ended) expect(itemIds).toEqual([...new Set(itemIds)])
        else expect(itemIds.sort()).toEqual(expectedIds.sort())
        expect(fleet.agents.map(target => target.engine.running())).toEqual(fleet.agents.map(() => 0))
        for (const { itemId, outcome, output } of results) {
          if (outcome === 'completed') expect(output).toBe(fleet.expectedText(itemId))
          else expect(hasExpired() || mayBeGivenUp(fleet, itemId)).toBe(true)
        }
      } finally {
        fleet.close()
      }
    }), { seed: SEED, numRuns: RUNS })
  })
})
