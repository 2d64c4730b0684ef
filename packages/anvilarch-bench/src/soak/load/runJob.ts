/** One client with one job: uploads its items, submits it in one of several modes, and may cancel it. */
import { expectedText } from 'anvilarch-standins'
import { sleep } from 'anvilarch-utils'
import { promptText } from '../../harness/fleetLoad'
import type { ItemSpec, JobResponse, SubmissionRecord } from '../types'
import { cancelBatch, createBatch, ITEM_PATH, getBatch, uploadItems } from './jobCalls'
import { FAIL_MARKER, type LoadContext, MODEL } from './types'

type SubmitMode = 'once' | 'with_key' | 'two_gateways_at_once' | 'upload_again' | 'other_body'

const SUBMIT_MODES: readonly SubmitMode[] = ['once', 'with_key', 'two_gateways_at_once', 'upload_again', 'other_body']
const MIN_ITEMS = 20
const MAX_ITEMS = 160
const MIN_TOKENS = 3
const MAX_TOKENS = 24
const CANCEL_SHARE = 0.2
const MIN_CANCEL_DELAY_MS = 300
const MAX_CANCEL_DELAY_MS = 4000
/** A client retries for this long, with random delays in this range. */
const RETRY_TIMEOUT_MS = 90_000
const MIN_RETRY_DELAY_MS = 200
const MAX_RETRY_DELAY_MS = 2000
/** When the number of finished items of a cancelled job is read again. */
const READS_AFTER_CANCEL_MS = [0, 2500, 6000]

/**
 * @param context - of the load
 * @param name - unique; used as the key in modes with a key
 */
export async function runJob (context: LoadContext, name: string): Promise<void> {
  const { evidence, random } = context
  const record: SubmissionRecord = {
    name,
    items: randomItems(context, name),
    answers: [],
    otherBodyAnswers: [],
    cancelledAtMs: undefined,
    shownAfterCancel: [],
    endState: undefined,
    lines: [],
    readError: ''
  }
  evidence.submissions.push(record)
  const willCancel = random.next() < CANCEL_SHARE
  await SUBMIT[random.pick(SUBMIT_MODES)](context, record)
  if (willCancel) await cancel(context, record)
}

const SUBMIT: Record<SubmitMode, (context: LoadContext, record: SubmissionRecord) => Promise<void>> = {
  once: async (context, record) => { await submitUntilFinal(context, record, await upload(context, record.items), undefined) },
  with_key: async (context, record) => { await submitUntilFinal(context, record, await upload(context, record.items), record.name) },
  two_gateways_at_once: async (context, record) => {
    const fileId = await upload(context, record.items)
    const key = context.random.next() < 0.5 ? record.name : undefined
    await Promise.all([submitUntilFinal(context, record, fileId, key), submitUntilFinal(context, record, fileId, key)])
  },
  upload_again: async (context, record) => {
    await submitUntilFinal(context, record, await upload(context, record.items), undefined)
    await submitUntilFinal(context, record, await upload(context, record.items), undefined)
  },
  other_body: async (context, record) => {
    await submitUntilFinal(context, record, await upload(context, record.items), record.name)
    const otherFileId = await upload(context, record.items.slice(1))
    if (otherFileId === undefined || record.answers.every(response => response.jobId === undefined)) return
    record.otherBodyAnswers.push(await createBatch(context, context.gateways.pick(), otherFileId, record.name))
  }
}

function randomItems (context: LoadContext, name: string): ItemSpec[] {
  const { random, switches } = context
  const count = random.between(MIN_ITEMS, MAX_ITEMS)
  const failingIndex = switches.failingItems ? random.between(0, count - 1) : -1
  return Array.from({ length: count }, (_, index) => {
    const customId = `${name}-${index}`
    const prompt = promptText(random, random.between(20, 200), index === failingIndex ? `${customId} ${FAIL_MARKER}` : `${customId} `)
    const body = { model: MODEL, messages: [{ role: 'user', content: prompt }], max_tokens: random.between(MIN_TOKENS, MAX_TOKENS) }
    return { customId, body, expected: index === failingIndex ? undefined : expectedText(ITEM_PATH, body) }
  })
}

/** @returns id of the file, or undefined if no gateway accepted it in time */
async function upload (context: LoadContext, items: ItemSpec[]): Promise<string | undefined> {
  const result = await retryUntil(context, async gateway => await uploadItems(context, gateway, items), ({ told }) => told === 'whole')
  return result === undefined ? undefined : (JSON.parse(result.text) as { id: string }).id
}

async function submitUntilFinal (context: LoadContext, record: SubmissionRecord, fileId: string | undefined, key: string | undefined): Promise<void> {
  if (fileId === undefined) return
  await retryUntil(context, async gateway => {
    const response = await createBatch(context, gateway, fileId, key)
    record.answers.push(response)
    if (response.jobId !== undefined) context.switches.onAccepted?.({ kind: 'job', gateway: gateway.name })
    return response
  }, isFinal)
}

async function cancel (context: LoadContext, record: SubmissionRecord): Promise<void> {
  const { clock, random } = context
  const jobId = record.answers.find(response => response.jobId !== undefined)?.jobId
  if (jobId === undefined) return
  await sleep(clock, random.between(MIN_CANCEL_DELAY_MS, MAX_CANCEL_DELAY_MS))
  const response = await retryUntil(context, async gateway => await cancelBatch(context, gateway, jobId), isFinal)
  if (response?.told !== 'whole') return
  record.cancelledAtMs = response.endedAtMs
  for (const atMs of READS_AFTER_CANCEL_MS) {
    await sleep(clock, Math.max(0, response.endedAtMs + atMs - clock.wallMs()))
    await readItemCounts(context, record, jobId)
  }
}

/**
 * @param context - of the load
 * @param record - of a cancelled job
 * @param jobId - of the job
 */
export async function readItemCounts (context: LoadContext, record: SubmissionRecord, jobId: string): Promise<void> {
  const shown = await getBatch(context, context.gateways.pick(), jobId)
  if (shown === undefined) return
  const { completed, failed } = shown.request_counts
  record.shownAfterCancel.push({ atMs: context.clock.wallMs(), items: completed + failed })
}

/** Whether the request succeeded or was permanently rejected. */
function isFinal (response: JobResponse): boolean {
  return response.told === 'whole' || (response.status >= 400 && response.status < 500 && response.status !== 429 && response.retryAfterMs === undefined)
}

/** Retries through alternating gateways, even after the load has ended, so that every client gets its outcome. */
async function retryUntil<Result> (context: LoadContext, attempt: (gateway: ReturnType<LoadContext['gateways']['pick']>) => Promise<Result>, isDone: (result: Result) => boolean): Promise<Result | undefined> {
  const { clock, gateways, random } = context
  const untilMs = clock.nowMs() + RETRY_TIMEOUT_MS
  let gateway = gateways.pick()
  while (clock.nowMs() < untilMs) {
    const result = await attempt(gateway)
    if (isDone(result)) return result
    await sleep(clock, random.between(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS))
    gateway = gateways.pickOther(gateway.name)
  }
  return undefined
}
