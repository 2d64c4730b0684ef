/**
 * The scheduler of the engine: models continuous batching in steps, without a clock of its own. The driver plans the next
 * step, waits for its duration on any clock, and then finishes the step.
 */
import { type CacheChange, countCachedPrefix, createPrefixCache, type PrefixCache, storeBlocks } from './prefixCache'
import type { EngineLoad, EngineSpeed, SequenceSpec, StepResult } from './types'

/** A submitted sequence. */
interface Sequence extends SequenceSpec {
  /** Tokens to prefill before the next token can be produced. */
  prefillTokens: number
  cachedPromptTokens: number
}

/** The sequences of the engine, its speed and its prefix cache. */
export interface SchedulerState {
  speed: EngineSpeed
  waiting: Map<string, Sequence>
  running: Map<string, Sequence>
  cache: PrefixCache
  cacheChanges: CacheChange[]
}

/** One step: its duration, the sequences that decode, and the prompt tokens that are prefilled. */
export interface EngineStep {
  durationMs: number
  decoding: string[]
  prefills: Array<{ id: string, tokens: number }>
}

/**
 * @param speed - step durations and capacity of the engine
 * @returns an idle engine
 */
export function createScheduler (speed: EngineSpeed): SchedulerState {
  const maxBlocks = Math.floor(speed.cacheTokens / speed.blockTokens)
  return { speed, waiting: new Map(), running: new Map(), cache: createPrefixCache(maxBlocks), cacheChanges: [] }
}

/**
 * Queues a sequence behind all others; engines have no priorities.
 *
 * @param state - the engine
 * @param spec - the sequence
 */
export function submitSequence (state: SchedulerState, spec: SequenceSpec): void {
  state.waiting.set(spec.id, { ...spec, prefillTokens: 0, cachedPromptTokens: 0 })
}

/**
 * @param state - the engine
 * @param id - sequence to remove immediately
 * @returns false when there is no such sequence
 */
export function removeSequence (state: SchedulerState, id: string): boolean {
  return state.waiting.delete(id) || state.running.delete(id)
}

/**
 * @param state - the engine
 * @param id - a sequence
 * @returns prompt tokens of a running sequence that were in the cache when it was admitted
 */
export function cachedPromptTokens (state: SchedulerState, id: string): number {
  return state.running.get(id)?.cachedPromptTokens ?? 0
}

/** @returns the current load */
export function currentLoad (state: SchedulerState): EngineLoad {
  return {
    running: state.running.size,
    waiting: state.waiting.size,
    cachedTokens: state.cache.blocks.size * state.speed.blockTokens
  }
}

/**
 * Admits waiting sequences to free slots and plans the next step.
 *
 * @param state - the engine
 * @returns the step, or undefined when there is nothing to do
 */
export function planStep (state: SchedulerState): EngineStep | undefined {
  admitWaiting(state)
  if (state.running.size === 0) return undefined
  const step: EngineStep = { durationMs: 0, decoding: [], prefills: [] }
  let prefillBudget = state.speed.prefillChunkTokens
  let contextTokens = 0
  for (const sequence of state.running.values()) {
    if (sequence.prefillTokens === 0) {
      step.decoding.push(sequence.id)
      contextTokens += sequence.promptTokens + sequence.producedTokens
    } else if (prefillBudget > 0) {
      const tokens = Math.min(prefillBudget, sequence.prefillTokens)
      prefillBudget -= tokens
      step.prefills.push({ id: sequence.id, tokens })
    }
  }
  const prefilledTokens = state.speed.prefillChunkTokens - prefillBudget
  step.durationMs = stepDurationMs(state.speed, step.decoding.length, contextTokens, prefilledTokens)
  return step
}

/**
 * Applies a step whose duration has elapsed. Sequences that were removed in the meantime produce nothing.
 *
 * @param state - the engine
 * @param step - the step that `planStep` returned
 * @returns tokens produced and sequences finished
 */
export function finishStep (state: SchedulerState, step: EngineStep): StepResult {
  const result: StepResult = { produced: [], finished: [] }
  for (const id of step.decoding) produceToken(state, id, result)
  for (const { id, tokens } of step.prefills) {
    const sequence = state.running.get(id)
    if (sequence === undefined) continue
    sequence.prefillTokens -= tokens
    if (sequence.prefillTokens > 0) continue
    state.cacheChanges.push(...storeBlocks(state.cache, sequence.blocks))
    produceToken(state, id, result)
  }
  return result
}

/** @returns the cache changes since the last call */
export function takeCacheChanges (state: SchedulerState): CacheChange[] {
  const changes = state.cacheChanges
  state.cacheChanges = []
  return changes
}

function stepDurationMs (speed: EngineSpeed, decoding: number, contextTokens: number, prefilledTokens: number): number {
  return speed.baseStepMs +
    speed.perSequenceMs * decoding +
    speed.perThousandContextTokensMs * contextTokens / 1000 +
    speed.prefillPerTokenMs * prefilledTokens
}

function admitWaiting (state: SchedulerState): void {
  for (const sequence of state.waiting.values()) {
    if (state.running.size >= state.speed.slots) return
    const cachedBlocks = countCachedPrefix(state.cache, sequence.blocks)
    sequence.cachedPromptTokens = cachedBlocks * state.speed.blockTokens
    // The last prompt token is always computed, since its output is the first token of the completion.
    sequence.prefillTokens = Math.max(1, sequence.promptTokens + sequence.producedTokens - sequence.cachedPromptTokens)
    state.waiting.delete(sequence.id)
    state.running.set(sequence.id, sequence)
  }
}

function produceToken (state: SchedulerState, id: string, result: StepResult): void {
  const sequence = state.running.get(id)
  if (sequence === undefined) return
  sequence.producedTokens++
  result.produced.push({ id, producedTokens: sequence.producedTokens })
  if (sequence.producedTokens < sequence.totalTokens) return
  state.running.delete(id)
  result.finished.push(id)
}
