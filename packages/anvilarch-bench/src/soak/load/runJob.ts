/** One client with one job: uploads its items, submits it in one of several modes, and may cancel it. */
import { expectedText } from 'anvilarch-standins'
import { sleep } from 'anvilarch-utils'
import { promptText } from '../../harness/fleetLoad'
import type { ItemSpec, JobAnswer, SubmissionRecord } from '../types'
import { cancelBatch, createBatch, ITEM_PATH, showBatch, uploadItems } from './jobCalls'
import { FAIL_MARKER, type LoadContext, MODEL } from './types'

type SubmitWay = 'once' | 'with_key' | 'two_gateways_at_once' | 'upload_again' | 'other_body'

const WAYS: readonly SubmitWay[] = ['once', 'with_key', 'two_gateways_at_once', 'upload_again', 'other_body']
const ITEMS_FROM = 20
const ITEMS_UNTIL = 160
const TOKENS_FROM = 3
const TOKENS_UNTIL = 24
const CANCEL_SHARE = 0.2
const CANCEL_FROM_MS = 300
const CANCEL_UNTIL_MS = 4000
/** A client retries for this long, with random delays in this range. */
const TRY_FOR_MS = 90_000
const RETRY_FROM_MS = 200
const RETRY_UNTIL_MS = 2000
/** When the number of finished items of a cancelled job is read again. */
const LOOKS_AFTER_CANCEL_MS = [0, 2500, 6000]

/**
 * @param context - of the load
 * @param name - unique; used as the key in modes with a key
 */
export async function runJob (context: LoadContext, name: string): Promise<void> {
  const { evidence, random } = context
  const record: SubmissionRecord = {
    name,
    items: drawItems(context, name),
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
  await SUBMIT[random.pick(WAYS)](context, record)
  if (willCancel) await cancel(context, record)
}

const SUBMIT: Record<SubmitWay, (context: LoadContext, record: SubmissionRecord) => Promise<void>> = {
  once: async (context, record) => { await submitUntilKnown(context, record, await upload(context, record.items), undefined) },
  with_key: async (context, record) => { await submitUntilKnown(context, record, await upload(context, record.items), record.name) },
  two_gateways_at_once: async (context, record) => {
    const fileId = await upload(context, record.items)
    const key = context.random.next() < 0.5 ? record.name : undefined
    await Promise.all([submitUntilKnown(context, record, fileId, key), submitUntilKnown(context, record, fileId, key)])
  },
  upload_again: async (context, record) => {
    await submitUntilKnown(context, record, await upload(context, record.items), undefined)
    await submitUntilKnown(context, record, await upload(context, record.items), undefined)
  },
  other_body: async (context, record) => {
    await submitUntilKnown(context, record, await upload(context, record.items), record.name)
    const otherFileId = await upload(context, record.items.slice(1))
    if (otherFileId === undefined || record.answers.every(answer => answer.jobId === undefined)) return
    record.otherBodyAnswers.push(await createBatch(context, context.gateways.pick(), otherFileId, record.name))
  }
}

function drawItems (context: LoadContext, name: string): ItemSpec[] {
  const { random, switches } = context
  const count = random.between(ITEMS_FROM, ITEMS_UNTIL)
  const failing = switches.failingItems ? random.between(0, count - 1) : -1
  return Array.from({ length: count }, (_, index) => {
    const customId = `${name}-${index}`
    const prompt = promptText(random, random.between(20, 200), index === failing ? `${customId} ${FAIL_MARKER}` : `${customId} `)
    const body = { model: MODEL, messages: [{ role: 'user', content: prompt }], max_tokens: random.between(TOKENS_FROM, TOKENS_UNTIL) }
    return { customId, body, expected: index === failing ? undefined : expectedText(ITEM_PATH, body) }
  })
}

/** @returns id of the file, or undefined if no gateway accepted it in time */
async function upload (context: LoadContext, items: ItemSpec[]): Promise<string | undefined> {
  const answer = await tryUntil(context, async gateway => await uploadItems(context, gateway, items), ({ told }) => told === 'whole')
  return answer === undefined ? undefined : (JSON.parse(answer.text) as { id: string }).id
}

async function submitUntilKnown (context: LoadContext, record: SubmissionRecord, fileId: string | undefined, key: string | undefined): Promise<void> {
  if (fileId === undefined) return
  await tryUntil(context, async gateway => {
    const answer = await createBatch(context, gateway, fileId, key)
    record.answers.push(answer)
    if (answer.jobId !== undefined) context.switches.onPromise?.({ kind: 'job', gateway: gateway.name })
    return answer
  }, isFinal)
}

async function cancel (context: LoadContext, record: SubmissionRecord): Promise<void> {
  const { clock, random } = context
  const jobId = record.answers.find(answer => answer.jobId !== undefined)?.jobId
  if (jobId === undefined) return
  await sleep(clock, random.between(CANCEL_FROM_MS, CANCEL_UNTIL_MS))
  const answer = await tryUntil(context, async gateway => await cancelBatch(context, gateway, jobId), isFinal)
  if (answer?.told !== 'whole') return
  record.cancelledAtMs = answer.endedAtMs
  for (const atMs of LOOKS_AFTER_CANCEL_MS) {
    await sleep(clock, Math.max(0, answer.endedAtMs + atMs - clock.wallMs()))
    await lookAtCounts(context, record, jobId)
  }
}

/**
 * @param context - of the load
 * @param record - of a cancelled job
 * @param jobId - of the job
 */
export async function lookAtCounts (context: LoadContext, record: SubmissionRecord, jobId: string): Promise<void> {
  const shown = await showBatch(context, context.gateways.pick(), jobId)
  if (shown === undefined) return
  const { completed, failed } = shown.request_counts
  record.shownAfterCancel.push({ atMs: context.clock.wallMs(), items: completed + failed })
}

/** Whether the request succeeded or was permanently rejected. */
function isFinal (answer: JobAnswer): boolean {
  return answer.told === 'whole' || (answer.status >= 400 && answer.status < 500 && answer.status !== 429 && answer.retryAfterMs === undefined)
}

/** Retries through alternating gateways, even after the load has ended, so that every client gets its outcome. */
async function tryUntil<Answer> (context: LoadContext, attempt: (gateway: ReturnType<LoadContext['gateways']['pick']>) => Promise<Answer>, isDone: (answer: Answer) => boolean): Promise<Answer | undefined> {
  const { clock, gateways, random } = context
  const untilMs = clock.nowMs() + TRY_FOR_MS
  let gateway = gateways.pick()
  while (clock.nowMs() < untilMs) {
    const answer = await attempt(gateway)
    if (isDone(answer)) return answer
    await sleep(clock, random.between(RETRY_FROM_MS, RETRY_UNTIL_MS))
    gateway = gateways.pickOther(gateway.name)
  }
  return undefined
}
