/** Runs the items of one part and judges how each run ended. */
import { AnvilarchError, invariant, toAnvilarchError } from 'anvilarch-utils'
import type { RequestRunner, WorkResult } from '../attempts/types'
import type { DaemonContext } from '../context'
import type { ChunkLines } from './chunkLines'
import { afterFailedRun, areUsedUp, type FailedRun, type RunBounds } from './itemAttempts'
import { type Item, type ItemError, type ItemResponse, type ItemResult, parseItemLine, resultLine } from './itemLine'
import { failureKind, type ItemVerdict, judgeResult } from './itemOutcome'
import { createItemQueue } from './itemQueue'
import { type BatchTarget, batchTargetOf, itemRequest } from './itemRequest'
import type { JobRow, PartRow } from './rows'

/** What the items of one part need. */
export interface PartItemsOptions {
  context: DaemonContext
  runner: RequestRunner
  job: JobRow
  part: number
  /** As claimed. */
  row: PartRow
  lines: ChunkLines
  /** Called once for each item that is final. */
  onResult: (index: number, result: ItemResult) => void
  /** Called when a run ended, whatever became of it. */
  onRunEnded: () => void
}

/** An item that may be started. */
export interface ReadyItem {
  index: number
  target: BatchTarget
}

/** A run of an item that has ended. */
interface EndedRun {
  index: number
  requestId: string
  service: string
  takenBy: readonly string[]
}

/** The items of one part. */
export interface PartItems {
  next: (nowMs: number) => ReadyItem | undefined
  start: (ready: ReadyItem) => void
  /** Lets other items go first. */
  postpone: (ready: ReadyItem, delayMs: number) => void
  waiting: () => number
  running: () => number
  /** Cancels the items that run; they are not done. */
  cancel: () => void
}

/** Longest run of an item; a longer one is taken for lost and run again. */
const ITEM_TIMEOUT_MS = 300_000
const WAIT_BACKOFF_MS = 200
const MAX_WAIT_BACKOFF_MS = 10_000
const RUN_BACKOFF_MS = 1_000
const MAX_RUN_BACKOFF_MS = 30_000
const BACKOFF_JITTER = 0.3
/** A model may be unknown here only because the configuration that names it is still on its way. */
const UNKNOWN_MODEL_DELAY_MS = 8_000
/** Attempts of an item while no configuration says otherwise. */
const DEFAULT_ITEM_ATTEMPTS = 3
/** Service of an item that names an unknown model. */
const NO_SERVICE = ''
/** Items looked at for one that can be started. */
const LOOK_AHEAD_ITEMS = 16

/**
 * @param options - the part and where results go
 * @returns its items, none of them started
 */
export function createPartItems (options: PartItemsOptions): PartItems {
  const { context, job, part, lines } = options
  const queue = createItemQueue(options.row)
  const running = new Map<number, AbortController>()
  let peeked: { index: number, item: Item } | undefined

  const itemAt = (index: number): Item => {
    if (peeked?.index === index) return peeked.item
    const parsed = parseItemLine(lines.line(index))
    invariant(parsed.ok, 'accepted_items_parse', () => `item ${index} of part ${part} of job "${job.id}"`)
    peeked = { index, item: parsed.item }
    return parsed.item
  }

  const finish = (index: number, kind: 'output' | 'error', response: ItemResponse | null, error: ItemError | null): void => {
    const id = `${job.id.replace('batch_', 'batch_req_')}_${part}_${index}`
    options.onResult(index, { kind, line: resultLine(id, itemAt(index).customId, response, error) })
  }

  const finishFailed = (index: number, requestId: string, verdict: Extract<ItemVerdict, { verdict: 'failed' | 'run_again' }>): void => {
    context.timeline.record('jobs.item_failed', { jobId: job.id, requestId, detail: { part, index, code: verdict.code } })
    const response = verdict.statusCode === undefined
      ? null
      : { statusCode: verdict.statusCode, requestId, body: parseBody(verdict.body) }
    finish(index, 'error', response, { code: verdict.code, message: verdict.message })
  }

  const backOff = (index: number, tries: number, baseMs: number, maxMs: number, leastMs = 0): void => {
    const delayMs = Math.min(baseMs * 2 ** Math.min(tries, 16), maxMs)
    queue.defer(index, context.clock.nowMs() + Math.max(leastMs, context.random.jitter(delayMs, BACKOFF_JITTER)))
  }

  const boundsOf = (service: string): RunBounds => {
    const document = context.configuration.current()?.document
    return { maxAttempts: document?.limits.maxItemAttempts ?? DEFAULT_ITEM_ATTEMPTS, replicas: document?.services[service]?.replicas ?? 0 }
  }

  /** @returns whether the item may be run again */
  const noteFailedRun = (index: number, service: string, run: FailedRun): boolean => {
    const bounds = boundsOf(service)
    const tries = afterFailedRun(queue.tries(index), run, bounds)
    queue.noteTries(index, tries)
    return !areUsedUp(tries, bounds)
  }

  const verdicts: { [Kind in ItemVerdict['verdict']]: (ended: EndedRun, verdict: Extract<ItemVerdict, { verdict: Kind }>) => void } = {
    answered: ({ index, requestId }, verdict) => {
      finish(index, 'output', { statusCode: verdict.statusCode, requestId, body: parseBody(verdict.body) }, null)
    },
    failed: ({ index, requestId }, verdict) => { finishFailed(index, requestId, verdict) },
    run_again: ({ index, requestId, service, takenBy }, verdict) => {
      const mayRun = noteFailedRun(index, service, { acceptedBy: takenBy, kind: failureKind(verdict) })
      if (mayRun) backOff(index, queue.tries(index).runs - 1, RUN_BACKOFF_MS, MAX_RUN_BACKOFF_MS)
      else finishFailed(index, requestId, verdict)
    },
    wait: ({ index }, verdict) => {
      const tries = queue.tries(index)
      backOff(index, tries.deferrals, WAIT_BACKOFF_MS, MAX_WAIT_BACKOFF_MS, verdict.retryAfterMs)
      queue.noteTries(index, { ...tries, deferrals: tries.deferrals + 1 })
    }
  }

  const judge = (ended: EndedRun, result: WorkResult): void => {
    const verdict = judgeResult(result)
    const handle = verdicts[verdict.verdict] as (ended: EndedRun, verdict: ItemVerdict) => void
    handle(ended, verdict)
  }

  const unknownModel = (index: number, model: string): void => {
    queue.take(index)
    const requestId = requestIdOf(index)
    if (noteFailedRun(index, NO_SERVICE, { acceptedBy: [], kind: 'incomplete' })) {
      queue.defer(index, context.clock.nowMs() + UNKNOWN_MODEL_DELAY_MS)
      return
    }
    const message = `No service takes batch work for the model "${model}".`
    finishFailed(index, requestId, { verdict: 'failed', code: 'model_not_found', message })
  }

  /** Unique for each run over all holders: an agent that refused an attempt bars its id. */
  const requestIdOf = (index: number): string => {
    const tries = queue.tries(index)
    return `${job.id}.${part}.${index}.${options.row.epoch}.${tries.runs}.${tries.deferrals}`
  }

  const run = async (ready: ReadyItem, controller: AbortController): Promise<void> => {
    const { clock } = context
    const remainingMs = job.expiresAtMs - clock.wallMs()
    const deadlineMs = clock.nowMs() + Math.min(ITEM_TIMEOUT_MS, remainingMs)
    const requestId = requestIdOf(ready.index)
    const avoid = queue.tries(ready.index).failedAt
    const request = itemRequest(itemAt(ready.index), { requestId, caller: job.caller, target: ready.target, deadlineMs, avoid })
    const result = await options.runner.run(request, { signal: controller.signal }).catch(asFailed)
    running.delete(ready.index)
    if (!controller.signal.aborted) judge({ index: ready.index, requestId, service: ready.target.service, takenBy: result.acceptedBy }, result)
    options.onRunEnded()
  }

  return {
    next: nowMs => {
      const document = context.configuration.current()?.document
      if (document === undefined) return undefined
      for (let looked = 0; looked < LOOK_AHEAD_ITEMS; looked++) {
        const index = queue.peek(nowMs)
        if (index === undefined) return undefined
        const model = String(itemAt(index).body.model)
        const target = batchTargetOf(document, model)
        if (target !== undefined) return { index, target }
        unknownModel(index, model)
      }
      return undefined
    },
    start: ready => {
      queue.take(ready.index)
      const controller = new AbortController()
      running.set(ready.index, controller)
      run(ready, controller).catch(error => {
        context.logger.error('an item was stopped by an error', { jobId: job.id, part, index: ready.index, error: String(error) })
      })
    },
    postpone: (ready, delayMs) => {
      queue.take(ready.index)
      queue.defer(ready.index, context.clock.nowMs() + delayMs)
    },
    waiting: () => queue.waiting(),
    running: () => running.size,
    cancel: () => { for (const controller of running.values()) controller.abort() }
  }
}

function asFailed (error: unknown): WorkResult {
  const details = { code: 'internal', step: 'jobs.run_item', ran: 'unknown' } as const
  return { outcome: 'failed', error: error instanceof AnvilarchError ? error : toAnvilarchError(error, details), attempts: 1, acceptedBy: [] }
}

/** An answer that is not JSON is kept as text. */
function parseBody (body: Uint8Array | undefined): unknown {
  const text = Buffer.from(body ?? new Uint8Array()).toString('utf8')
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
