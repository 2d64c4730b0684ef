/** Formats the server-sent events and the JSON bodies of the OpenAI-style API. Each event carries one token. */
import { wordAt } from '../common/text'
import { completionText, type CompletionKind, type CompletionPlan } from './completionPlan'

/** The data common to all events of one stream. */
export interface CompletionSource {
  /** Id of the completion in the response to the caller. */
  completionId: string
  createdSeconds: number
  model: string
  plan: CompletionPlan
  includeUsage: boolean
  cachedTokens: number
}

/** The last event of a stream. */
export const DONE_EVENT = 'data: [DONE]\n\n'

const OBJECT_NAMES: Record<CompletionKind, { event: string, whole: string }> = {
  chat: { event: 'chat.completion.chunk', whole: 'chat.completion' },
  completion: { event: 'text_completion', whole: 'text_completion' }
}

/** Formats the events of one stream. */
export interface EventWriter {
  /** @returns the event for the token at this index */
  token: (index: number) => string
  /** @returns the events after the last token */
  finalEvents: () => string
}

/**
 * @param source - the stream
 * @returns a writer that formats everything except the tokens only once
 */
export function createEventWriter (source: CompletionSource): EventWriter {
  const { plan } = source
  const eventPrefix = `data: {"id":${JSON.stringify(source.completionId)},"object":"${OBJECT_NAMES[plan.kind].event}","created":${source.createdSeconds},"model":${JSON.stringify(source.model)}`
  const choice = (delta: string, reason: string): string => `${eventPrefix},"choices":[{"index":0,${delta},"logprobs":null,"finish_reason":${reason}}]}\n\n`
  const formatToken: Record<CompletionKind, (index: number) => string> = {
    chat: index => choice(`"delta":{${index === 0 ? '"role":"assistant",' : ''}"content":"${wordAt(plan.hash, index)}"}`, 'null'),
    completion: index => choice(`"text":"${wordAt(plan.hash, index)}"`, 'null')
  }
  return {
    token: formatToken[plan.kind],
    finalEvents: () => {
      const last = choice(plan.kind === 'chat' ? '"delta":{}' : '"text":""', `"${plan.finishReason}"`)
      const usage = source.includeUsage ? `${eventPrefix},"choices":[],"usage":${JSON.stringify(usageOf(source))}}\n\n` : ''
      return last + usage + DONE_EVENT
    }
  }
}

/**
 * @param source - a finished completion
 * @returns the body of a response that is not streamed
 */
export function completionBody (source: CompletionSource): object {
  const { plan } = source
  const text = completionText(plan)
  const common = { index: 0, logprobs: null, finish_reason: plan.finishReason }
  const choice = plan.kind === 'chat' ? { ...common, message: { role: 'assistant', content: text, refusal: null } } : { ...common, text }
  return {
    id: source.completionId,
    object: OBJECT_NAMES[plan.kind].whole,
    created: source.createdSeconds,
    model: source.model,
    choices: [choice],
    usage: usageOf(source)
  }
}

function usageOf (source: CompletionSource): object {
  const { promptTokens, totalTokens } = source.plan
  return {
    prompt_tokens: promptTokens,
    completion_tokens: totalTokens,
    total_tokens: promptTokens + totalTokens,
    prompt_tokens_details: { cached_tokens: source.cachedTokens }
  }
}
