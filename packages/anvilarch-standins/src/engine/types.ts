/** Options of the model engine and the types shared by its modules. */
import { AnvilarchError } from 'anvilarch-utils'

/** Step durations and capacity of the modelled engine. */
export interface EngineSpeed {
  /** Maximum number of sequences in a batch. Engines limit it because each further sequence lengthens every step. */
  slots: number
  /** Duration of reading the weights once, which each step does independently of the batch size. */
  baseStepMs: number
  /** Added for each sequence that decodes in the step. Batching is efficient because this is small compared to the base duration. */
  perSequenceMs: number
  /** Added for each 1,000 tokens of context that the attention of the step reads. */
  perThousandContextTokensMs: number
  /** Added for each prompt token that is not in the prefix cache. Prefill is compute-bound, so it grows with the number of tokens. */
  prefillPerTokenMs: number
  /** Prompt tokens prefilled per step over all sequences. Like real engines, it splits longer prompts to bound the duration of a step. */
  prefillChunkTokens: number
  /** Capacity of the prefix cache in tokens; the least recently used blocks are evicted first. */
  cacheTokens: number
  /** Tokens per cache block. */
  blockTokens: number
}

/** All options of the model engine. */
export interface EngineOptions extends EngineSpeed {
  /** Lag of the load report. Real engines publish it from a background loop. */
  loadLagMs: number
  /** Lag of cache events. */
  cacheEventLagMs: number
  /** Share of cache events, from 0 to 1, that are never published. */
  cacheEventGapShare: number
  /** Retention period of the state of a cancelled or completed stream. */
  retentionMs: number
}

/** With these defaults and a full batch of short prompts, 95 % of tokens follow the previous one within 26 ms. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  slots: 32,
  baseStepMs: 12,
  perSequenceMs: 0.2,
  perThousandContextTokensMs: 0.1,
  prefillPerTokenMs: 0.04,
  prefillChunkTokens: 256,
  cacheTokens: 200_000,
  blockTokens: 16,
  loadLagMs: 500,
  cacheEventLagMs: 500,
  cacheEventGapShare: 0.02,
  retentionMs: 60_000
}

/**
 * @param options - options to check
 * @throws AnvilarchError that names the option, when one is out of range
 */
export function validateEngineOptions (options: EngineOptions): void {
  const atLeastOne: Array<keyof EngineOptions> = ['slots', 'prefillChunkTokens', 'blockTokens']
  for (const [name, value] of Object.entries(options)) {
    const lowest = atLeastOne.includes(name as keyof EngineOptions) ? 1 : 0
    if (Number.isFinite(value) && value >= lowest) continue
    throw new AnvilarchError(`engine option "${name}" is ${String(value)}; expected a number from ${lowest}`, { code: 'bad_request', step: 'engine.options' })
  }
}

/** A request as submitted to the scheduler. */
export interface SequenceSpec {
  id: string
  promptTokens: number
  /** Chained hashes of the full blocks of the prompt, for the prefix cache. */
  blocks: number[]
  /** Tokens already produced, on this engine or another one. They are prefilled like prompt tokens. */
  producedTokens: number
  /** Number of produced tokens at which the sequence is finished. */
  totalTokens: number
}

/** Load of the engine. */
export interface EngineLoad {
  running: number
  waiting: number
  cachedTokens: number
}

/** The result of one step. */
export interface StepResult {
  /** Sequences that produced one token each, with their total so far. */
  produced: Array<{ id: string, producedTokens: number }>
  finished: string[]
}

/** A change of the prefix cache. */
export interface CacheEvent {
  sequence: number
  type: 'stored' | 'removed'
  block: number
}
