/** Runs the items of one part and decides after each run whether the item is final, retried or postponed. */
import { AnvilarchError, invariant, toAnvilarchError } from 'anvilarch-utils'
import type { RequestRunner, WorkResult } from '../attempts/types'
import type { DaemonContext } from '../context'
import type { ChunkLines } from './chunkLines'
import { afterFailedRun, areAttemptsExhausted, type FailedRun, type RunBounds } from './itemAttempts'
import { type Item, type ItemError, type ItemResponse, type ItemResult, parseItemLine, resultLine } from './itemLine'
import { failureKind, type ItemVerdict, classifyResult } from './itemOutcome'
import { createItemQueue } from './itemQueue'
import { type BatchTarget, batchTargetOf, itemRequest } from './itemRequest'
import type { JobRow, PartRow } from './rows'

/** Options of `createPartItems`. */
export interface PartItemsOptions {
  context: DaemonContext
  runner: RequestRunner
  job: JobRow
  part: number
  /** Part row as committed by the claim. */
  row: PartRow
  lines: ChunkLines
  /** Called once for each item, with its final result. */
  onResult: (index: number, result: ItemResult) => void
  /** Called after each run, whatever its outcome. */
  onRunEnded: () => void
}

/** An item that may be started. */
export interface ReadyItem {
  index: number
  target: BatchTarget
}

/** A run that has ended. */
interface EndedRun {
  index: number
  requestId: string
  service: string
  acceptedBy: readonly string[]
}

/** The items of one part. */
export interface PartItems {
  next: (nowMs: number) => ReadyItem | undefined
  start: (ready: ReadyItem) => void
  /** Defers an item, so that other items are started first. */
  postpone: (ready: ReadyItem, delayMs: number) => void
  waiting: () => number
  running: () => number
  /** Aborts the runs in progress; their items get no result. */
  cancel: () => void
}

/** Longest run of an item; a run that exceeds it is ended and the item is run again. */
const ITEM_TIMEOUT_MS = 300_000
const WAIT_BACKOFF_MS = 200
const MAX_WAIT_BACKOFF_MS = 10_000
const RUN_BACKOFF_MS = 1_000
const MAX_RUN_BACKOFF_MS = 30_000
const BACKOFF_JITTER = 0.3
/** Delay before an item with an unknown model is checked again, since the configuration that adds the model may not have arrived yet. */
const UNKNOWN_MODEL_DELAY_MS = 8_000
/** Attempts of an item when no configuration is loaded. */
const DEFAULT_ITEM_ATTEMPTS = 3
/** Service name used for an item with an unknown model. */
const NO_SERVICE = ''
/** Most items examined to find one that can be started. */
const MAX_SCANNED_ITEMS = 16

/**
 * @param options - the part and its callbacks
 * @returns its items, none of them started
 */
export function createPartItems (options: PartItemsOptions): PartItems {
  const { context, job, part, lines } = options
  const queue = createItemQueue(options.row)
  const running = new Map<number, AbortController>()
  let lastParsed: { index: number, item: Item } | undefined

  const itemAt = (index: number): Item => {
    if (lastParsed?.index === index) return lastParsed.item
    const parsed = parseItemLine(lines.line(index))
    invariant(parsed.ok, 'accepted_items_parse', () => `item ${index} of part ${part} of job "${job.id}"`)
    lastParsed = { index, item: parsed.item }
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

  const backOff = (index: number, exponent: number, baseMs: number, maxMs: number, minMs = 0): void => {
    const delayMs = Math.min(baseMs * 2 ** Math.min(exponent, 16), maxMs)
    queue.defer(index, context.clock.nowMs() + Math.max(minMs, context.random.jitter(delayMs, BACKOFF_JITTER)))
  }

  const boundsOf = (service: string): RunBounds => {
    const document = context.configuration.current()?.document
    return { maxAttempts: document?.limits.maxItemAttempts ?? DEFAULT_ITEM_ATTEMPTS, replicas: document?.services[service]?.replicas ?? 0 }
  }

  /** @returns whether the item has attempts left */
  const recordFailedRun = (index: number, service: string, run: FailedRun): boolean => {
    const bounds = boundsOf(service)
    const history = afterFailedRun(queue.history(index), run, bounds)
    queue.setHistory(index, history)
    return !areAttemptsExhausted(history, bounds)
  }

  const handlers: { [Kind in ItemVerdict['verdict']]: (ended: EndedRun, verdict: Extract<ItemVerdict, { verdict: Kind }>) => void } = {
    completed: ({ index, requestId }, verdict) => {
      finish(index, 'output', { statusCode: verdict.statusCode, requestId, body: parseBody(verdict.body) }, null)
    },
    failed: ({ index, requestId }, verdict) => { finishFailed(index, requestId, verdict) },
    run_again: ({ index, requestId, service, acceptedBy }, verdict) => {
      const mayRunAgain = recordFailedRun(index, service, { acceptedBy, kind: failureKind(verdict) })
      if (mayRunAgain) backOff(index, queue.history(index).runs - 1, RUN_BACKOFF_MS, MAX_RUN_BACKOFF_MS)
      else finishFailed(index, requestId, verdict)
    },
    wait: ({ index }, verdict) => {
      const history = queue.history(index)
      backOff(index, history.deferrals, WAIT_BACKOFF_MS, MAX_WAIT_BACKOFF_MS, verdict.retryAfterMs)
      queue.setHistory(index, { ...history, deferrals: history.deferrals + 1 })
    }
  }

  const handleResult = (ended: EndedRun, result: WorkResult): void => {
    const verdict = classifyResult(result)
    const handle = handlers[verdict.verdict] as (ended: EndedRun, verdict: ItemVerdict) => void
    handle(ended, verdict)
  }

  const handleUnknownModel = (index: number, model: string): void => {
    queue.take(index)
    const requestId = requestIdOf(index)
    if (recordFailedRun(index, NO_SERVICE, { acceptedBy: [], kind: 'incomplete' })) {
      queue.defer(index, context.clock.nowMs() + UNKNOWN_MODEL_DELAY_MS)
      return
    }
    const message = `No service takes batch work for the model "${model}".`
    finishFailed(index, requestId, { verdict: 'failed', code: 'model_not_found', message })
  }

  /** Unique for each run across all holders: an agent rejects further attempts under an id that it has refused once. */
  const requestIdOf = (index: number): string => {
    const history = queue.history(index)
    return `${job.id}.${part}.${index}.${options.row.epoch}.${history.runs}.${history.deferrals}`
  }

  const run = async (ready: ReadyItem, controller: AbortController): Promise<void> => {
    const { clock } = context
    const remainingMs = job.expiresAtMs - clock.wallMs()
    const deadlineMs = clock.nowMs() + Math.min(ITEM_TIMEOUT_MS, remainingMs)
    const requestId = requestIdOf(ready.index)
    const avoid = queue.history(ready.index).failedAt
    const request = itemRequest(itemAt(ready.index), { requestId, caller: job.caller, target: ready.target, deadlineMs, avoid })
    const result = await options.runner.run(request, { signal: controller.signal }).catch(toFailedResult)
    running.delete(ready.index)
    if (!controller.signal.aborted) handleResult({ index: ready.index, requestId, service: ready.target.service, acceptedBy: result.acceptedBy }, result)
    options.onRunEnded()
  }

  return {
    next: nowMs => {
      const document = context.configuration.current()?.document
      if (document === undefined) return undefined
      for (let scanned = 0; scanned < MAX_SCANNED_ITEMS; scanned++) {
        const index = queue.peek(nowMs)
        if (index === undefined) return undefined
        const model = String(itemAt(index).body.model)
        const target = batchTargetOf(document, model)
        if (target !== undefined) return { index, target }
        handleUnknownModel(index, model)
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

function toFailedResult (error: unknown): WorkResult {
  const details = { code: 'internal', step: 'jobs.run_item', ran: 'unknown' } as const
  return { outcome: 'failed', error: error instanceof AnvilarchError ? error : toAnvilarchError(error, details), attempts: 1, acceptedBy: [] }
}

/** Parses a response body; a body that is not JSON is returned as text. */
function parseBody (body: Uint8Array | undefined): unknown {
  const text = Buffer.from(body ?? new Uint8Array()).toString('utf8')
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
