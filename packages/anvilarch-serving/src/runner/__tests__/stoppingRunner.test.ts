import fc from 'fast-check'
import { CLAIM_TABLE } from '../../jobs/jobRows'
import type { ClaimRecord } from '../../jobs/types'
import type { CallOutcome } from '../__fixtures__/memoryStore'
import { createRunnerFleet, type RunnerFleet } from '../__fixtures__/runnerFleet'

/** Longer than a runner takes to stop. */
const STOP_MS = 5000

const heldClaims = ({ store }: RunnerFleet): ClaimRecord[] =>
  store.rows().filter(row => row.table === CLAIM_TABLE).map(row => JSON.parse(String(row.value)) as ClaimRecord).filter(claim => claim.held)

const history = fc.record({
  eventCounts: fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 8 }),
  stopsAtMs: fc.integer({ min: 0, max: 3000 }),
  callOutcome: fc.constantFrom<CallOutcome>('done', 'refused', 'unanswered', 'lost'),
  /** Two calls of a second each fit into the 3 s of a stop. */
  storeFaultMs: fc.nat({ max: 2000 })
})

describe('a runner that stops', () => {
  // Guards against items that wait for the heartbeat of a stopped agent to expire, and against results that are lost with it.
  it('keeps no claim and records each complete result, whenever it stops', async () => {
    await fc.assert(fc.asyncProperty(history, async ({ eventCounts, stopsAtMs, callOutcome, storeFaultMs }) => {
      const fleet = createRunnerFleet(1, { eventCounts, calls: [], runs: [] })
      const { clock } = fleet
      try {
        await clock.advanceAsync(stopsAtMs)
        fleet.setCallOutcome(callOutcome)
        clock.after(storeFaultMs, () => fleet.setCallOutcome(undefined))
        const unfinishedRuns = fleet.agents[0].engine.running()
        const started = new Set(fleet.runs.map(run => run.itemId)).size
        let stopped = false
        fleet.agents[0].runner.stop().then(() => { stopped = true }, () => {})
        await clock.advanceAsync(STOP_MS)
        expect(stopped).toBe(true)
        expect(heldClaims(fleet)).toEqual([])
        expect(fleet.job().listed.length).toBeGreaterThanOrEqual(started - unfinishedRuns)
      } finally {
        fleet.close()
      }
    }), { seed: 61, numRuns: 400 })
  })
})
