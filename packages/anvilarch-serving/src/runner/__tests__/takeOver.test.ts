import { progressKey, submissionObject } from '../../jobs/jobRows'
import type { CallOutcome } from '../__fixtures__/memoryStore'
import { createRunnerFleet, type RunnerFleet } from '../__fixtures__/runnerFleet'

const EVENT_COUNT = 40

let fleet: RunnerFleet

/** Replaces the runner after its item has been saved, with `saved` as the saved progress. */
async function takeOverWith (saved: string): Promise<void> {
  fleet = createRunnerFleet(1, { eventCounts: [EVENT_COUNT], calls: [], runs: [] })
  await fleet.clock.advanceAsync(2200)
  const row = fleet.store.row(progressKey('job', 0))
  if (row === undefined) throw new Error('nothing was saved')
  row.value = Buffer.from(saved)
  fleet.agents[0].replace()
  await fleet.clock.advanceAsync(10_000)
}

afterEach(() => fleet.close())

describe('an item that is taken over', () => {
  // Guards against an item that never ends while the runner keeps a slot free for it.
  it.each([
    ['is truncated', '{"lastEventId":10,"te'],
    ['is not a record', 'null'],
    ['has no text', '{"lastEventId":10}'],
    ['has no event', '{"lastEventId":0,"text":""}'],
    ['has no integer as its event', '{"lastEventId":"10","text":"a"}']
  ])('is run from the start when the saved progress %s', async (_name, saved) => {
    await takeOverWith(saved)
    expect(await fleet.results()).toEqual([{ itemId: 'item0', outcome: 'completed', output: fleet.expectedText('item0') }])
  })
})

describe('an item whose claim got no response', () => {
  // Guards against a claim in the store that its live holder, whose engine is gone, neither works on nor releases.
  it.each<CallOutcome>(['unanswered', 'late'])('is run by another runner when the engine is lost meanwhile: %s', async outcome => {
    fleet = createRunnerFleet(2, { eventCounts: [EVENT_COUNT], calls: [], runs: [] })
    const [claimant, other] = fleet.agents
    other.setOnline(3)
    fleet.setCallOutcome(outcome)
    await fleet.clock.advanceAsync(200)
    claimant.loseEngine()
    await fleet.clock.advanceAsync(800)
    fleet.setCallOutcome(undefined)
    // A late claim is written after 2.5 s.
    await fleet.clock.advanceAsync(3000)
    other.setOnline(0)
    await fleet.clock.advanceAsync(15_000)
    expect(await fleet.results()).toEqual([{ itemId: 'item0', outcome: 'completed', output: fleet.expectedText('item0') }])
  })
})

describe('an item that is claimed', () => {
  // Guards against an item that never runs because a response once contained other bytes than the items of the job.
  it.each(['', '[{"id":"item0"', 'null'])('is run once the items of its job can be read, after %j', async bytes => {
    fleet = createRunnerFleet(1, { eventCounts: [EVENT_COUNT], calls: [], runs: [] })
    const whole = fleet.store.object(submissionObject('job'))
    if (whole === undefined) throw new Error('the fleet has no job')
    fleet.store.putObject(submissionObject('job'), Buffer.from(bytes))
    await fleet.clock.advanceAsync(1000)
    fleet.store.putObject(submissionObject('job'), whole)
    await fleet.clock.advanceAsync(10_000)
    expect(await fleet.results()).toEqual([{ itemId: 'item0', outcome: 'completed', output: fleet.expectedText('item0') }])
  })
})
