import { cancelSubmitted, readResults, type SubmittedJob, submitJob, uploadJob } from '../../__fixtures__/simulatedCaller'
import { createSimulatedFleet, type SimulatedFleet, type SimulatedGateway } from '../../__fixtures__/simulatedFleet'
import { createSweepSteps } from '../sweepSteps'

const HOUR_MS = 3_600_000
const RETENTION_HOURS = 24

const namesOf = (map: Map<string, unknown>, prefix: string): string[] => [...map.keys()].filter(key => key.startsWith(prefix))

describe('createSweepSteps', () => {
  let fleet: SimulatedFleet
  let gateway: SimulatedGateway
  let job: SubmittedJob
  let jobId: string

  /** Runs one pass over all rows, as if the given time had elapsed. */
  const sweep = async (laterMs: number): Promise<void> => {
    const steps = createSweepSteps(gateway.context)
    const times = { wallMs: fleet.clock.wallMs() + laterMs, retentionHours: RETENTION_HOURS }
    for (const kind of ['job', 'file', 'upload'] as const) {
      for (const key of namesOf(fleet.store.rows, `${kind}/`)) {
        const row = fleet.store.rows.get(key)
        if (row !== undefined) await steps[kind](row, times)
      }
    }
  }

  beforeEach(async () => {
    fleet = createSimulatedFleet(3, 0)
    gateway = fleet.addGateway()
    job = await uploadJob(fleet, 0, Array.from({ length: 20 }, (_value, index) => `p${index}`))
    await fleet.clock.advanceAsync(100)
    await submitJob(gateway, job, 0)
    jobId = [...job.ids][0]
  })

  const chunksOf = (fileId: string): string[] => Array.from({ length: 5 }, (_value, chunk) => `files/${fileId}/00000${chunk}`)

  const finish = async (): Promise<void> => { while (fleet.store.rows.has(`active/${jobId}`)) await fleet.clock.advanceAsync(1_000) }

  it('removes nothing of a job in progress, nor its file', async () => {
    const before = [...fleet.store.rows.keys(), ...fleet.store.objects.keys()]
    await sweep(1_000 * HOUR_MS)
    expect(before.filter(key => !fleet.store.rows.has(key) && !fleet.store.objects.has(key))).toEqual([`file/${job.fileIds[1]}`, ...chunksOf(job.fileIds[1])])
  })

  it('removes unreferenced segments some time after the end of the job, and keeps the results readable', async () => {
    await finish()
    const late = `results/${jobId}/000001/0-7-output`
    fleet.store.objects.set(late, new Uint8Array(3))
    await sweep(0)
    expect(fleet.store.objects.has(late)).toBe(true)
    await sweep(HOUR_MS)
    expect(fleet.store.objects.has(late)).toBe(false)
    expect(readResults(fleet, jobId).length).toBe(20)
  })

  // Guards against rows or objects that are never removed.
  it('removes a job after its retention, even if interrupted, and keeps the key of a later job with the same content', async () => {
    await finish()
    const keyRow = JSON.stringify({ jobId: 'batch_later', contentHash: '' })
    fleet.store.commit({ commitId: 'k', conditions: [], writes: [{ key: `jobkey/shop/${job.key}`, value: keyRow }] })
    const { objects } = gateway.context.platform
    const { remove } = objects
    let allowed = 2
    objects.remove = async name => {
      if (allowed-- <= 0) throw new Error('outage')
      await remove(name)
    }
    await expect(sweep(RETENTION_HOURS * HOUR_MS)).rejects.toThrow('outage')
    objects.remove = remove
    await sweep(RETENTION_HOURS * HOUR_MS)
    expect(namesOf(fleet.store.objects, 'results/')).toEqual([])
    expect(namesOf(fleet.store.rows, 'jobkey/').length).toBe(1)
    for (const prefix of ['job/', 'part/', 'callerjob/', 'active/', 'calleractive/']) expect(namesOf(fleet.store.rows, prefix)).toEqual([])
  })

  it('removes expired files, and the chunks of expired uploads', async () => {
    await cancelSubmitted(gateway, job)
    fleet.store.objects.set('files/file-lost/000000', new Uint8Array(3))
    const upload = { caller: 'shop', startedAtMs: fleet.clock.wallMs() + 23 * HOUR_MS }
    fleet.store.commit({ commitId: 'u', conditions: [], writes: [{ key: 'upload/file-lost', value: JSON.stringify(upload) }] })
    await sweep(RETENTION_HOURS * HOUR_MS)
    expect(namesOf(fleet.store.objects, 'files/')).toEqual(['files/file-lost/000000'])
    await sweep(2 * RETENTION_HOURS * HOUR_MS)
    expect([...namesOf(fleet.store.objects, 'files/'), ...namesOf(fleet.store.rows, 'upload/'), ...namesOf(fleet.store.rows, 'file/')]).toEqual([])
  })
})
