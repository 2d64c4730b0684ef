/** Validates the fields of a request that the engine reads. */
import type { CompletionKind, EngineRequestBody } from './completionPlan'

const FIND_PROMPT_PROBLEM: Record<CompletionKind, (body: EngineRequestBody) => string | undefined> = {
  chat: body => Array.isArray(body.messages) && body.messages.length > 0 ? undefined : '"messages" must be a list with at least one message',
  completion: body => typeof body.prompt === 'string' || Array.isArray(body.prompt) ? undefined : '"prompt" must be a text or a list of texts'
}

/**
 * @param kind - kind of completion
 * @param body - the parsed request
 * @returns a description of the first problem, or undefined when the request is valid
 */
export function findProblem (kind: CompletionKind, body: EngineRequestBody): string | undefined {
  if (typeof body !== 'object' || body === null) return 'the body must be a JSON object'
  return FIND_PROMPT_PROBLEM[kind](body) ??
    findCountProblem('max_tokens', body.max_tokens, 1) ??
    findCountProblem('max_completion_tokens', body.max_completion_tokens, 1) ??
    findCountProblem('continuation.tokens', body.continuation?.tokens, 0)
}

function findCountProblem (name: string, value: number | null | undefined, lowest: number): string | undefined {
  if (value === undefined || value === null) return undefined
  return Number.isInteger(value) && value >= lowest ? undefined : `"${name}" is ${JSON.stringify(value)}; expected a whole number from ${lowest}`
}
