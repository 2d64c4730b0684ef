import { progressKey } from '../../jobs/jobRows'
import { createRunnerFleet, type RunnerFleet } from '../__fixtures__/runnerFleet'

const EVENT_COUNT = 40

let fleet: RunnerFleet

/** Loses the runner after its item has been saved, with this as what was saved. */
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
  // Guards against this: the item never ends, and the runner keeps a slot free for it for ever.
  it.each([
    ['is cut', '{"lastEventId":10,"te'],
    ['is no record', 'null'],
    ['has no text', '{"lastEventId":10}'],
    ['has no event', '{"lastEventId":0,"text":""}'],
    ['has no whole number as event', '{"lastEventId":"10","text":"a"}']
  ])('is run from the start when what was saved %s', async (_name, saved) => {
    await takeOverWith(saved)
    expect(await fleet.results()).toEqual([{ itemId: 'item0', outcome: 'completed', output: fleet.expectedText('item0') }])
  })
})
