/** A caller of the simulated fleet that uploads, submits, cancels and reads jobs without HTTP. */
import { createRandom } from 'anvilarch-utils'
import { OBJECT_NAMES } from 'anvilarch-protocol'
import { acceptJob } from '../acceptJob'
import { cancelJob } from '../cancelJob'
import { createChunkWriter } from '../chunkWriter'
import { createJobReader } from '../readJob'
import { type FileRow, type JobRow, parseRow, type PartRow, type ResultKind } from '../rows'
import type { SimulatedFleet, SimulatedGateway } from './simulatedFleet'

/** A job and what its caller has received about it. */
export interface SubmittedJob {
  key: string
  /** Files with the same content. */
  fileIds: string[]
  prompts: string[]
  /** Job ids that the caller received; more than one is a fault. */
  ids: Set<string>
  /** Whether the caller received the confirmation of a cancellation. */
  cancelled: boolean
}

/** One result of a job, as read from its result files. */
export interface ReadResult {
  customId: string
  kind: ResultKind
  text: string
}

const CALLER = 'shop'
const PART_ITEMS = 4

/**
 * @param fleet - fleet to upload to
 * @param number - number of the job
 * @param prompts - one prompt for each item
 * @param partItems - number of items in one part
 * @returns a job that is not submitted yet and whose content was uploaded twice
 */
export async function uploadJob (fleet: SimulatedFleet, number: number, prompts: string[], partItems = PART_ITEMS): Promise<SubmittedJob> {
  const fileIds = [`file-${number}a`, `file-${number}b`]
  for (const fileId of fileIds) await uploadContent(fleet, fileId, prompts, partItems)
  return { key: `key-${number}`, fileIds, prompts, ids: new Set(), cancelled: false }
}

async function uploadContent (fleet: SimulatedFleet, fileId: string, prompts: string[], partItems: number): Promise<void> {
  const objects = { putIfAbsent: async (name: string, body: Uint8Array) => fleet.store.putIfAbsent(name, body) }
  const writer = createChunkWriter({
    objects: objects as never, fileId, partItems, partBytes: 65_536, maxItemBytes: 2_048, maxFileBytes: 65_536
  })
  const lines = prompts.map((content, index) =>
    JSON.stringify({ custom_id: `c${index}`, method: 'POST', url: '/v1/chat/completions', body: { model: 'm', messages: [{ role: 'user', content }] } }) + '\n')
  await writer.push(Buffer.from(lines.join('')))
  const content = await writer.finish()
  const row: FileRow = { id: fileId, caller: CALLER, fileName: 'f', purpose: 'batch', createdAtMs: 0, ...content, jobIds: [] }
  fleet.store.commit({ commitId: fileId, conditions: [], writes: [{ key: `file/${fileId}`, value: JSON.stringify(row) }] })
}

/**
 * Submits a job through a gateway. Rejects with the error that a caller would receive.
 *
 * @param gateway - gateway that receives the request
 * @param job - job to submit, for the first time or again
 * @param upload - index of the file to name
 */
export async function submitJob (gateway: SimulatedGateway, job: SubmittedJob, upload: number): Promise<void> {
  const batch = { fileId: job.fileIds[upload], endpoint: '/v1/chat/completions', completionWindow: '24h', windowMs: 86_400_000, metadata: null }
  const randomValue = createRandom(gateway.context.clock.nowMs() + gateway.name.charCodeAt(1)).next
  const accepted = await acceptJob(gateway.context, { caller: CALLER, key: job.key, batch }, randomValue)
  job.ids.add(accepted.id)
}

/**
 * @param gateway - gateway that receives the request
 * @param job - job to cancel
 */
export async function cancelSubmitted (gateway: SimulatedGateway, job: SubmittedJob): Promise<void> {
  const [jobId] = job.ids
  if (jobId === undefined) return
  await cancelJob(gateway.context, createJobReader(gateway.context), CALLER, jobId)
  job.cancelled = true
}

/**
 * @param fleet - fleet that ran the job
 * @param jobId - id of the job
 * @returns row of the job, if it exists
 */
export function jobRowOf (fleet: SimulatedFleet, jobId: string): JobRow | undefined {
  const row = fleet.store.rows.get(`job/${jobId}`)
  return row === undefined ? undefined : parseRow<JobRow>(row.value)
}

/**
 * @param fleet - fleet that ran the job
 * @param jobId - id of the job
 * @returns all results that a caller would read
 */
export function readResults (fleet: SimulatedFleet, jobId: string): ReadResult[] {
  return [...fleet.store.rows.values()].filter(row => row.key.startsWith(`part/${jobId}/`)).flatMap(row => {
    const part = Number(row.key.split('/')[2])
    return parseRow<PartRow>(row.value).segments.flatMap(segment => {
      const name = OBJECT_NAMES.result(jobId, part, segment.epoch, segment.segment, segment.kind)
      const body = fleet.store.objects.get(name)
      if (body === undefined) throw new Error(`segment ${name} is missing`)
      return Buffer.from(body).toString().trim().split('\n').map(line => toResult(line, segment.kind))
    })
  })
}

function toResult (line: string, kind: ResultKind): ReadResult {
  const value = JSON.parse(line) as { custom_id: string, response: { body: { choices?: Array<{ message: { content: string } }> } } | null }
  return { customId: value.custom_id, kind, text: value.response?.body.choices?.[0].message.content ?? '' }
}

/**
 * @param fleet - fleet that runs the jobs
 * @param key - idempotency key
 * @returns number of jobs that were accepted under the key
 */
export function jobsUnderKey (fleet: SimulatedFleet, key: string): number {
  const jobs = [...fleet.store.rows.values()].filter(row => row.key.startsWith('job/'))
  return jobs.filter(row => parseRow<JobRow>(row.value).key === key).length
}
