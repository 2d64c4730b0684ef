/** Drives the scheduler on a clock, with a single timer for all streams of the engine. */
import type { Clock, Timer } from 'anvilarch-utils'
import { type CacheChange } from './prefixCache'
import { cachedPromptTokens, createScheduler, currentLoad, type EngineStep, finishStep, planStep, removeSequence, submitSequence, takeCacheChanges } from './scheduler'
import type { EngineLoad, EngineSpeed, SequenceSpec, StepResult } from './types'

/** Options of `createEngineLoop`. */
export interface EngineLoopOptions {
  clock: Clock
  speed: EngineSpeed
  /** Called with the result of each step when its duration has elapsed. */
  onStep: (result: StepResult) => void
  /** Called with the changes of the prefix cache. */
  onCacheChanges?: (changes: CacheChange[]) => void
}

/** A running engine without its HTTP server; the benchmarks run it on a fake clock. */
export interface EngineLoop {
  submit: (spec: SequenceSpec) => void
  /** @returns false when the engine has no such sequence */
  remove: (id: string) => boolean
  load: () => EngineLoad
  cachedPromptTokens: (id: string) => number
  /** Pauses the engine, like a paused process, until it is called with false. */
  setFrozen: (frozen: boolean) => void
  stop: () => void
}

/** A loop that is delayed by more than this, by a process pause or a lack of CPU time, continues from now instead of catching up. */
const MAX_CATCH_UP_MS = 100

/**
 * @param options - clock, speed and listeners
 * @returns an idle engine
 */
export function createEngineLoop (options: EngineLoopOptions): EngineLoop {
  const { clock } = options
  const state = createScheduler(options.speed)
  let step: EngineStep | undefined
  let dueMs = 0
  let timer: Timer | undefined
  let frozen = false

  const schedule = (fromMs: number): void => {
    step = planStep(state)
    if (step === undefined) return
    dueMs = fromMs + step.durationMs
    timer = clock.after(dueMs - clock.nowMs(), onDue)
  }

  const onDue = (): void => {
    if (frozen || step === undefined) return
    const result = finishStep(state, step)
    step = undefined
    const changes = takeCacheChanges(state)
    if (changes.length > 0) options.onCacheChanges?.(changes)
    const late = clock.nowMs() - dueMs > MAX_CATCH_UP_MS
    options.onStep(result)
    if (step === undefined) schedule(late ? clock.nowMs() : dueMs)
  }

  return {
    submit: spec => {
      submitSequence(state, spec)
      if (step === undefined && !frozen) schedule(clock.nowMs())
    },
    remove: id => removeSequence(state, id),
    load: () => currentLoad(state),
    cachedPromptTokens: id => cachedPromptTokens(state, id),
    setFrozen: value => {
      const resumed = frozen && !value
      frozen = value
      if (!resumed) return
      timer?.cancel()
      step = undefined
      schedule(clock.nowMs())
    },
    stop: () => {
      frozen = true
      timer?.cancel()
    }
  }
}
