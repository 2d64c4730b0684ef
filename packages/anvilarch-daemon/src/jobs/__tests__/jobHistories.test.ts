/**
 * Guards against an item without a result, an item with two results, a result committed after a cancel, and a second job for a
 * resend. Random histories: three gateways run jobs while the table and the object store fail, are slow or lose replies, and
 * while gateways are paused beyond their lease and resumed, killed and replaced, or drained.
 */
import fc from 'fast-check'
import { FAILING_PROMPTS } from '../__fixtures__/fakeRunner'
import { cancelSubmitted, jobRowOf, jobsUnderKey, readResults, type SubmittedJob, submitJob, uploadJob } from '../__fixtures__/simulatedCaller'
import { createSimulatedFleet, type SimulatedFleet } from '../__fixtures__/simulatedFleet'

type Step =
  | { type: 'wait', ms: number }
  | { type: 'submit' | 'cancel', job: number, gateway: number, upload: number }
  | { type: 'pause' | 'resume' | 'kill' | 'drain', gateway: number }
  | { type: 'fault', service: 'table' | 'objects', kind: 'outage' | 'latency' | 'lost' | 'none' }

const GATEWAYS = 3
const SEED = Number(process.env.JOB_HISTORIES_SEED ?? 20_261)
const RUNS = Number(process.env.JOB_HISTORIES ?? 100)
const RECOVERY_MS = 400_000
const RECOVERY_STEP_MS = 2_000

const gateway = fc.nat({ max: GATEWAYS - 1 })
const upload = fc.nat({ max: 1 })
const job = fc.nat({ max: 1 })
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 50, max: 9_000 }) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constantFrom('submit' as const, 'submit' as const, 'cancel' as const), job, gateway, upload }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constantFrom('pause' as const, 'resume' as const, 'kill' as const, 'drain' as const), gateway }) },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('fault' as const),
      service: fc.constantFrom('table' as const, 'objects' as const),
      kind: fc.constantFrom('outage' as const, 'latency' as const, 'lost' as const, 'none' as const)
    })
  }
)

function promptsOf (number: number, items: number): string[] {
  return Array.from({ length: items }, (_value, index) => {
    const outcome = index % 7 === 5 ? FAILING_PROMPTS.fail : index % 7 === 6 ? FAILING_PROMPTS.refuse : 'ok'
    return `${number}/${index} ${outcome}`
  })
}

async function applyStep (fleet: SimulatedFleet, jobs: SubmittedJob[], step: Step): Promise<void> {
  const ignoreErrors = (promise: Promise<unknown>): void => { promise.catch(() => {}) }
  if (step.type === 'wait') {
    await fleet.clock.advanceAsync(step.ms)
  } else if (step.type === 'fault') {
    const faults = fleet.faults[step.service]
    Object.assign(faults, {
      outage: step.kind === 'outage', latencyMs: step.kind === 'latency' ? 350 : 0, loseReplies: step.kind === 'lost' ? 0.5 : 0
    })
  } else {
    const target = fleet.gateways[step.gateway]
    if (step.type === 'submit') ignoreErrors(submitJob(target, jobs[step.job], step.upload))
    else if (step.type === 'cancel') ignoreErrors(cancelSubmitted(target, jobs[step.job]))
    else if (step.type === 'pause') target.gate.pause()
    else if (step.type === 'resume') target.gate.resume()
    else if (step.type === 'drain') ignoreErrors(target.worker()?.drain() ?? Promise.resolve())
    else kill(fleet, step.gateway)
  }
}

/** Kills a gateway and puts a new one in its place in the list. */
function kill (fleet: SimulatedFleet, index: number): void {
  fleet.gateways[index].gate.kill()
  fleet.addGateway()
  fleet.gateways[index] = fleet.gateways.pop() as SimulatedFleet['gateways'][number]
}

async function recover (fleet: SimulatedFleet, jobs: SubmittedJob[]): Promise<void> {
  for (const service of [fleet.faults.table, fleet.faults.objects]) Object.assign(service, { outage: false, latencyMs: 0, loseReplies: 0 })
  for (const { gate } of fleet.gateways) gate.resume()
  const extra = fleet.addGateway()
  await fleet.clock.advanceAsync(3_000)
  for (const sent of jobs) {
    const sending = submitJob(extra, sent, 0)
    await fleet.clock.advanceAsync(100)
    await sending
  }
  const isActive = (): boolean => [...fleet.store.rows.keys()].some(key => key.startsWith('active/'))
  for (let elapsedMs = 0; elapsedMs < RECOVERY_MS && isActive(); elapsedMs += RECOVERY_STEP_MS) await fleet.clock.advanceAsync(RECOVERY_STEP_MS)
}

function check (fleet: SimulatedFleet, sent: SubmittedJob): void {
  expect(sent.ids.size).toBe(1)
  expect(jobsUnderKey(fleet, sent.key)).toBe(1)
  const [jobId] = sent.ids
  const job = jobRowOf(fleet, jobId)
  const results = readResults(fleet, jobId)
  expect(new Set(results.map(result => result.customId)).size).toBe(results.length)
  if (sent.cancelled) expect(job?.state).toBe('cancelled')
  if (job?.state === 'cancelled') return
  expect({ state: job?.state, results: results.length }).toEqual({ state: 'completed', results: sent.prompts.length })
  for (const { customId, kind, text } of results) {
    const prompt = sent.prompts[Number(customId.slice(1))]
    expect({ prompt, kind, text }).toEqual(prompt.endsWith('ok') ? { prompt, kind: 'output', text: `re: ${prompt}` } : { prompt, kind: 'error', text: '' })
  }
}

describe('histories of jobs over several gateways', () => {
  it('commits one result for each item and none after a cancel, and returns the same job for a resend', async () => {
    const property = fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40, size: 'max' }), fc.nat({ max: 1_000 }), async (steps, seed) => {
      const fleet = createSimulatedFleet(seed, 0.1)
      for (let number = 0; number < GATEWAYS; number++) fleet.addGateway()
      const jobs = [await uploadJob(fleet, 0, promptsOf(0, 14)), await uploadJob(fleet, 1, promptsOf(1, 30))]
      await applyStep(fleet, jobs, { type: 'submit', job: seed % 2, gateway: 0, upload: 0 })
      for (const each of steps) await applyStep(fleet, jobs, each)
      await recover(fleet, jobs)
      expect(fleet.violations).toEqual([])
      for (const sent of jobs) check(fleet, sent)
    })
    await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: process.env.JOB_HISTORIES_SHRINK === undefined })
  }, 120_000)
})
