import { AnvilarchError } from 'anvilarch-utils'
import { parseRow, type PartRow } from '../rows'
import { cancelSubmitted, jobRowOf, readResults, type SubmittedJob, submitJob, uploadJob } from '../__fixtures__/simulatedCaller'
import { createSimulatedFleet, type SimulatedFleet, type SimulatedGateway } from '../__fixtures__/simulatedFleet'

const LEASE_MS = 6_000
const POLL_MS = 1_000

const promptsOf = (items: number): string[] => Array.from({ length: items }, (_value, index) => `p${index}`)

const partRows = (fleet: SimulatedFleet): PartRow[] =>
  [...fleet.store.rows.values()].filter(row => row.key.startsWith('part/')).map(row => parseRow<PartRow>(row.value))

const startedRuns = (gateway: SimulatedGateway): number => [...gateway.runner.started.values()].reduce((sum, count) => sum + count, 0)

const endedParts = (gateway: SimulatedGateway): unknown[] =>
  gateway.context.timeline.query().filter(({ event }) => event === 'jobs.part_ended').map(({ detail }) => detail?.end)

/** Advances the clock until a condition is true and returns the elapsed time. */
async function advanceUntil (fleet: SimulatedFleet, condition: () => boolean, limitMs = 120_000): Promise<number> {
  let elapsedMs = 0
  for (; !condition() && elapsedMs < limitMs; elapsedMs += 50) await fleet.clock.advanceAsync(50)
  expect(condition()).toBe(true)
  return elapsedMs
}

describe('jobs when gateways and the platform fail', () => {
  let fleet: SimulatedFleet
  let job: SubmittedJob

  const start = async (gateways: number, items: number, partItems?: number): Promise<SimulatedGateway[]> => {
    for (let number = 0; number < gateways; number++) fleet.addGateway()
    job = await uploadJob(fleet, 0, promptsOf(items), partItems)
    await fleet.clock.advanceAsync(100)
    await submitJob(fleet.gateways[0], job, 0)
    return fleet.gateways
  }

  const isCompleted = (): boolean => jobRowOf(fleet, [...job.ids][0])?.state === 'completed'

  const expectAllResults = (): void => {
    const results = readResults(fleet, [...job.ids][0])
    expect(results.map(({ customId }) => Number(customId.slice(1))).sort((left, right) => left - right)).toEqual(job.prompts.map((_prompt, index) => index))
    expect(fleet.violations).toEqual([])
  }

  beforeEach(() => { fleet = createSimulatedFleet(5, 0) })

  // Guards against an accepted job that no gateway runs.
  it('runs a job whose gateway is lost right after it accepted it', async () => {
    const [accepting] = await start(2, 20)
    accepting.gate.kill()
    await advanceUntil(fleet, isCompleted)
    expectAllResults()
  })

  it('takes over the parts of a lost gateway soon after its lease has expired, and runs only uncommitted items', async () => {
    const [lost, other] = await start(2, 40)
    await advanceUntil(fleet, () => partRows(fleet).filter(row => row.holder === 'g0.1').length >= 2)
    lost.gate.kill()
    const leasedBefore = partRows(fleet).filter(row => row.holder === 'g0.1').length
    expect(leasedBefore).toBeGreaterThan(0)
    const elapsedMs = await advanceUntil(fleet, () => partRows(fleet).every(row => row.holder !== 'g0.1'))
    expect(elapsedMs).toBeGreaterThan(LEASE_MS / 2)
    expect(elapsedMs).toBeLessThan(1.5 * LEASE_MS + 3 * POLL_MS)
    await advanceUntil(fleet, isCompleted)
    expectAllResults()
    expect(startedRuns(other)).toBeLessThanOrEqual(40)
  })

  // Guards against items with two results: a late commit of the previous holder takes effect after a takeover.
  it('rejects the commit of a holder that was paused beyond its lease', async () => {
    const [holder] = await start(1, 8, 8)
    const { table } = holder.context.platform
    const { commit } = table
    let deliver = (): void => {}
    const delivery = new Promise<void>(resolve => { deliver = resolve })
    let sent = 0
    table.commit = async each => {
      if (!each.writes.some(({ value }) => value?.includes('"segment":0') === true)) return await commit(each)
      sent += 1
      await delivery
      return await commit(each)
    }
    await advanceUntil(fleet, () => sent > 0)
    holder.gate.pause()
    fleet.addGateway()
    await advanceUntil(fleet, () => partRows(fleet)[0].holder === 'g1.1')
    deliver()
    await fleet.clock.advanceAsync(50)
    expect(partRows(fleet)[0].completed).toBe(0)
    holder.gate.resume()
    await advanceUntil(fleet, isCompleted)
    await fleet.clock.advanceAsync(2 * LEASE_MS)
    expectAllResults()
    expect(endedParts(holder)).toEqual(['taken_over'])
  })

  it('starts no item while its lease has lapsed, and continues after rereading its parts', async () => {
    const [only] = await start(1, 200, 200)
    await advanceUntil(fleet, () => startedRuns(only) > 20)
    fleet.faults.table.outage = true
    await fleet.clock.advanceAsync(LEASE_MS)
    const before = startedRuns(only)
    await fleet.clock.advanceAsync(60_000)
    expect(startedRuns(only)).toBe(before)
    fleet.faults.table.outage = false
    await advanceUntil(fleet, isCompleted)
    expectAllResults()
    expect(startedRuns(only)).toBe(200)
  })

  it('keeps the holder of every part during an outage of the table', async () => {
    await start(3, 120)
    await advanceUntil(fleet, () => partRows(fleet).length >= 6)
    fleet.faults.table.outage = true
    await fleet.clock.advanceAsync(60_000)
    fleet.faults.table.outage = false
    await advanceUntil(fleet, isCompleted)
    expectAllResults()
    expect(Math.max(...partRows(fleet).map(row => row.epoch))).toBe(1)
  })

  // Guards against a gateway that runs out of memory during an outage of the object store.
  it('starts no more items while uncommitted results fill the buffer, and resumes afterwards', async () => {
    fleet.maxBufferedItems = 12
    const [only] = await start(1, 100, 100)
    fleet.faults.objects.latencyMs = 0
    await advanceUntil(fleet, () => startedRuns(only) > 0)
    fleet.faults.objects.outage = true
    await fleet.clock.advanceAsync(120_000)
    const maxRuns = 12 + only.context.settings.gateway.maxBatchInProgress
    expect(startedRuns(only)).toBeGreaterThan(4)
    expect(startedRuns(only)).toBeLessThanOrEqual(maxRuns)
    fleet.faults.objects.outage = false
    await advanceUntil(fleet, isCompleted)
    expectAllResults()
    expect(startedRuns(only)).toBe(100)
  })

  it('releases its parts when it drains, so that other gateways continue them at once', async () => {
    const [draining, other] = await start(2, 80)
    await advanceUntil(fleet, () => partRows(fleet).filter(row => row.holder === 'g0.1').length >= 2)
    const drained = draining.worker()?.drain()
    const elapsedMs = await advanceUntil(fleet, () => partRows(fleet).every(row => row.holder !== 'g0.1'))
    expect(elapsedMs).toBeLessThan(3_000)
    await advanceUntil(fleet, () => draining.worker()?.heldParts() === 0)
    await fleet.clock.advanceAsync(POLL_MS)
    await drained
    const committed = partRows(fleet).reduce((sum, row) => sum + row.completed, 0)
    expect(committed).toBeGreaterThan(0)
    await advanceUntil(fleet, isCompleted, 60_000)
    expectAllResults()
    expect(startedRuns(draining) + startedRuns(other)).toBe(80)
  })

  // Guards against items that fail without a run because rejections count as attempts.
  it('waits without counting attempts while the fleet rejects its items', async () => {
    const [only] = await start(1, 8)
    const { run } = only.runner
    let refused = 0
    only.runner.run = async () => {
      refused += 1
      return { outcome: 'failed', error: new AnvilarchError('preempted', { code: 'overloaded', step: 'test', ran: 'ran' }), attempts: 1 }
    }
    await fleet.clock.advanceAsync(180_000)
    expect(refused).toBeGreaterThan(8 * 3)
    only.runner.run = run
    await advanceUntil(fleet, isCompleted)
    expectAllResults()
    expect(readResults(fleet, [...job.ids][0]).every(({ kind }) => kind === 'output')).toBe(true)
  })

  it('commits nothing to a job that was cancelled during an outage of the table at its holder', async () => {
    const [holder, other] = await start(2, 60)
    await advanceUntil(fleet, () => partRows(fleet).some(row => row.holder === 'g0.1'))
    const { commit } = holder.context.platform.table
    holder.context.platform.table.commit = async () => { throw new Error('cut off') }
    await fleet.clock.advanceAsync(1_000)
    await cancelSubmitted(other, job)
    const committed = readResults(fleet, [...job.ids][0]).length
    holder.context.platform.table.commit = commit
    await fleet.clock.advanceAsync(60_000)
    expect(readResults(fleet, [...job.ids][0]).length).toBe(committed)
    expect(fleet.violations).toEqual([])
    expect(holder.runner.running()).toBe(0)
  })
})
