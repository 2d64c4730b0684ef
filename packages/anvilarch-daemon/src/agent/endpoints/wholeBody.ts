/** Assembles the JSON body of a completion from its streamed chunks. */
import type { ChunkChoice, CompletionChunk, ToolCallDelta, Usage } from './engineEvents'

interface AssembledToolCall {
  id: string
  type: string
  function: { name: string, arguments: string }
}

interface AssembledChoice {
  index: number
  role: string
  text: string
  refusal: string | null
  toolCalls: AssembledToolCall[]
  finishReason: string | null
}

/** Accumulates the chunks of a body. */
export interface Assembly {
  add: (chunk: CompletionChunk) => void
  /** @returns the body, whose completion tokens are at least the counted `outputTokens` */
  body: (outputTokens: number) => Record<string, unknown>
}

/**
 * @param isChat - a chat completion; otherwise a text completion
 * @returns an assembly without chunks
 */
export function createAssembly (isChat: boolean): Assembly {
  const choices = new Map<number, AssembledChoice>()
  let first: CompletionChunk | undefined
  let usage: Usage | undefined

  const choiceAt = (index: number): AssembledChoice => {
    let choice = choices.get(index)
    if (choice === undefined) {
      choice = { index, role: 'assistant', text: '', refusal: null, toolCalls: [], finishReason: null }
      choices.set(index, choice)
    }
    return choice
  }

  return {
    add: chunk => {
      first ??= chunk
      usage = chunk.usage ?? usage
      for (const part of chunk.choices ?? []) addPart(choiceAt(part.index ?? 0), part)
    },
    body: outputTokens => {
      const ordered = [...choices.values()].sort((left, right) => left.index - right.index)
      return {
        id: first?.id,
        object: isChat ? 'chat.completion' : 'text_completion',
        created: first?.created,
        model: first?.model,
        ...(first?.system_fingerprint === undefined ? {} : { system_fingerprint: first.system_fingerprint }),
        choices: ordered.map(isChat ? chatChoice : textChoice),
        usage: completeUsage(usage, outputTokens)
      }
    }
  }
}

function addPart (choice: AssembledChoice, part: ChunkChoice): void {
  choice.role = part.delta?.role ?? choice.role
  choice.text += part.text ?? part.delta?.content ?? ''
  if (part.delta?.refusal != null) choice.refusal = (choice.refusal ?? '') + part.delta.refusal
  for (const call of part.delta?.tool_calls ?? []) addToolCall(choice.toolCalls, call)
  choice.finishReason = part.finish_reason ?? choice.finishReason
}

function addToolCall (calls: AssembledToolCall[], delta: ToolCallDelta): void {
  const call = calls[delta.index] ??= { id: '', type: 'function', function: { name: '', arguments: '' } }
  call.id = delta.id ?? call.id
  call.type = delta.type ?? call.type
  call.function.name += delta.function?.name ?? ''
  call.function.arguments += delta.function?.arguments ?? ''
}

function chatChoice (choice: AssembledChoice): Record<string, unknown> {
  const hasToolCalls = choice.toolCalls.length > 0
  return {
    index: choice.index,
    message: {
      role: choice.role,
      content: hasToolCalls && choice.text === '' ? null : choice.text,
      refusal: choice.refusal,
      ...(hasToolCalls ? { tool_calls: choice.toolCalls } : {})
    },
    logprobs: null,
    finish_reason: choice.finishReason
  }
}

function textChoice (choice: AssembledChoice): Record<string, unknown> {
  return { index: choice.index, text: choice.text, logprobs: null, finish_reason: choice.finishReason }
}

// After a continuation, the engine may report only the tokens that it has added itself.
function completeUsage (usage: Usage | undefined, outputTokens: number): Usage {
  const promptTokens = usage?.prompt_tokens ?? 0
  const completionTokens = Math.max(usage?.completion_tokens ?? 0, outputTokens)
  return { ...usage, prompt_tokens: promptTokens, completion_tokens: completionTokens, total_tokens: promptTokens + completionTokens }
}
