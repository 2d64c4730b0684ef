/** A request runner whose endpoints respond, or fail, depending on the prompt only. */
import { AnvilarchError, type Clock, type Random, sleep } from 'anvilarch-utils'
import type { RequestRunner, WorkRequest, WorkResult } from '../../attempts/types'

/** Options of `createFakeRunner`. */
export interface FakeRunnerOptions {
  clock: Clock
  random: Random
  /** Longest run of an item. */
  maxRunMs: number
  /** Share of runs that are rejected as `overloaded`. */
  refusedShare: number
  slots: number
}

/** A request runner that records its runs. */
export interface FakeRunner extends RequestRunner {
  /** Number of started runs by prompt. */
  started: Map<string, number>
  cancelled: () => number
  running: () => number
  /** Duration of runs with the prompt `SLOW`. */
  slowMs: number
}

/** Words in a prompt that make the run fail. */
export const FAILING_PROMPTS = { fail: 'FAIL', refuse: 'REJECT', quarantine: 'QUARANTINED' }

/**
 * @param options - clock and behaviour
 * @returns a runner without runs
 */
export function createFakeRunner (options: FakeRunnerOptions): FakeRunner {
  const started = new Map<string, number>()
  let running = 0
  let cancelled = 0

  const runTimeMs = (prompt: string): number => {
    if (prompt === 'SLOW') return fake.slowMs
    return options.maxRunMs === 0 ? 0 : options.random.between(1, options.maxRunMs)
  }

  const execute = async (request: WorkRequest, signal?: AbortSignal): Promise<WorkResult> => {
    const prompt = promptOf(request)
    if (options.refusedShare > 0 && options.random.next() < options.refusedShare) return failed('overloaded', 'not_run')
    started.set(prompt, (started.get(prompt) ?? 0) + 1)
    const durationMs = runTimeMs(prompt)
    if (durationMs > 0) await sleep(options.clock, durationMs, signal)
    if (signal?.aborted === true) {
      cancelled++
      return failed('cancelled', 'ran')
    }
    if (prompt.includes(FAILING_PROMPTS.quarantine)) return failed('quarantined', 'ran')
    if (prompt.includes(FAILING_PROMPTS.fail)) return failed('endpoint_failed', 'ran')
    if (prompt.includes(FAILING_PROMPTS.refuse)) return completed(400, { error: { message: 'bad prompt' } })
    return completed(200, { choices: [{ message: { role: 'assistant', content: `re: ${prompt}` } }] })
  }

  const fake: FakeRunner = {
    run: async (request, { signal } = {}) => {
      running++
      try {
        return await execute(request, signal)
      } finally {
        running--
      }
    },
    inProgress: () => ({ lookup: 0, online: 0, batch: running }),
    freeBatch: () => Math.max(0, options.slots - running),
    started,
    cancelled: () => cancelled,
    running: () => running,
    slowMs: 0
  }
  return fake
}

function promptOf (request: WorkRequest): string {
  const body = JSON.parse(Buffer.from(request.call.body).toString()) as { messages: Array<{ content: string }> }
  return body.messages[0].content
}

function completed (status: number, value: unknown): WorkResult {
  return { outcome: 'completed', status, headers: {}, body: Buffer.from(JSON.stringify(value)), attempts: 1, outputTokens: 1, acceptedBy: [] }
}

function failed (code: 'overloaded' | 'cancelled' | 'quarantined' | 'endpoint_failed', ran: 'not_run' | 'ran'): WorkResult {
  return { outcome: 'failed', error: new AnvilarchError(`it is ${code}`, { code, step: 'fake.run', ran }), attempts: 1, acceptedBy: [] }
}
