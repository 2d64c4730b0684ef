/** Plans the completions of the engine: tokens and their count depend on the request alone. */
import { hashText, wordAt } from '../common/text'

/** The two kinds of completions of the OpenAI-style API. */
export type CompletionKind = 'chat' | 'completion'

/** The fields of a request that the engine reads. */
export interface EngineRequestBody {
  model?: string
  messages?: unknown[]
  prompt?: string | string[]
  max_tokens?: number | null
  max_completion_tokens?: number | null
  stream?: boolean
  stream_options?: { include_usage?: boolean } | null
  continuation?: { tokens: number, text: string }
}

/** The completion that the engine produces for a request. */
export interface CompletionPlan {
  kind: CompletionKind
  hash: number
  promptTokens: number
  blocks: number[]
  totalTokens: number
  finishReason: 'stop' | 'length'
}

/** Characters per pseudo-token of a prompt, close to the average of tokenizers on English text. */
const CHARACTERS_PER_TOKEN = 4
/** A completion without `max_tokens` has 8 to 63 tokens, selected by the hash of the prompt. */
const MIN_COMPLETION_TOKENS = 8
const COMPLETION_TOKENS_SPREAD = 56

/**
 * @param path - `/v1/chat/completions` or `/v1/completions`
 * @returns the kind of completion
 */
export function completionKindOf (path: string): CompletionKind {
  return path.endsWith('/chat/completions') ? 'chat' : 'completion'
}

/**
 * @param kind - kind of completion
 * @param body - the request
 * @param blockTokens - tokens per block of the prefix cache
 * @returns the completion that the engine produces
 */
export function planCompletion (kind: CompletionKind, body: EngineRequestBody, blockTokens: number): CompletionPlan {
  const prompt = promptOf(kind, body)
  const hash = hashText(prompt)
  const limit = body.max_completion_tokens ?? body.max_tokens ?? undefined
  return {
    kind,
    hash,
    promptTokens: Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN)),
    blocks: blockHashes(prompt, blockTokens * CHARACTERS_PER_TOKEN),
    totalTokens: limit ?? MIN_COMPLETION_TOKENS + hash % COMPLETION_TOKENS_SPREAD,
    finishReason: limit === undefined ? 'stop' : 'length'
  }
}

/**
 * @param plan - the completion
 * @param tokens - number of tokens from the start
 * @returns their text
 */
export function completionText (plan: Pick<CompletionPlan, 'hash' | 'totalTokens'>, tokens = plan.totalTokens): string {
  return Array.from({ length: tokens }, (_, index) => wordAt(plan.hash, index)).join('')
}

/**
 * Computes the complete text that any engine produces for a request, so that a test can check a response completely.
 *
 * @param endpointPath - `/v1/chat/completions` or `/v1/completions`
 * @param body - the request, parsed or as JSON text
 * @returns the text
 */
export function expectedText (endpointPath: string, body: object | string): string {
  const parsed = (typeof body === 'string' ? JSON.parse(body) : body) as EngineRequestBody
  return completionText(planCompletion(completionKindOf(endpointPath), parsed, 1))
}

function promptOf (kind: CompletionKind, body: EngineRequestBody): string {
  if (kind === 'chat') return JSON.stringify(body.messages)
  return Array.isArray(body.prompt) ? body.prompt.join('\n') : body.prompt ?? ''
}

function blockHashes (prompt: string, blockCharacters: number): number[] {
  const blocks: number[] = []
  let hash: number | undefined
  for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
    hash = hashText(prompt.slice(end - blockCharacters, end), hash)
    blocks.push(hash)
  }
  return blocks
}
