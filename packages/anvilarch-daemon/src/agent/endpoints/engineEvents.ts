/** Parses the server-sent events of an engine into chunks, token texts, errors and the end mark. */
import { StringDecoder } from 'node:string_decoder'
import { createParser } from 'eventsource-parser'

/** One choice of a streamed chunk. */
export interface ChunkChoice {
  index?: number
  text?: string
  delta?: { role?: string, content?: string | null, refusal?: string | null, tool_calls?: ToolCallDelta[] }
  finish_reason?: string | null
  logprobs?: unknown
}

/** Fragment of a tool call. */
export interface ToolCallDelta {
  index: number
  id?: string
  type?: string
  function?: { name?: string, arguments?: string }
}

/** Token counts reported by the engine. */
export interface Usage {
  prompt_tokens: number
  completion_tokens: number
  total_tokens: number
  [name: string]: unknown
}

/** The fields of a streamed completion chunk that the agent reads. */
export interface CompletionChunk {
  id?: string
  object?: string
  created?: number
  model?: string
  system_fingerprint?: string
  choices?: ChunkChoice[]
  usage?: Usage | null
  error?: unknown
}

/** One event of the engine. */
export interface EngineEvent {
  data: string
  /** Undefined for the end mark and for data that is not JSON. */
  chunk: CompletionChunk | undefined
  /** Text of the token in this event; undefined if it has none. */
  tokenText: string | undefined
  isEnd: boolean
  /** Data of an error event; undefined for other events. */
  error: string | undefined
}

const END_MARK = '[DONE]'

/** Event parser of one connection. */
export interface EngineEventReader {
  feed: (data: Uint8Array) => void
}

/**
 * @param onEvent - receives each complete event
 * @returns a parser for the bytes of one connection
 */
export function createEngineEventReader (onEvent: (event: EngineEvent) => void): EngineEventReader {
  const decoder = new StringDecoder('utf8')
  const parser = createParser({ onEvent: message => { onEvent(parseEngineEvent(message.data, message.event)) } })
  return { feed: data => { parser.feed(decoder.write(Buffer.from(data.buffer, data.byteOffset, data.byteLength))) } }
}

/**
 * @param data - data of one event
 * @param name - event name, if any
 * @returns the parsed event
 */
export function parseEngineEvent (data: string, name?: string): EngineEvent {
  if (data === END_MARK) return { data, chunk: undefined, tokenText: undefined, isEnd: true, error: undefined }
  const chunk = parseChunk(data)
  const isError = name === 'error' || chunk?.error != null
  return { data, chunk, tokenText: chunk === undefined ? undefined : textOf(chunk), isEnd: false, error: isError ? data : undefined }
}

function parseChunk (data: string): CompletionChunk | undefined {
  try {
    const parsed: unknown = JSON.parse(data)
    return typeof parsed === 'object' && parsed !== null ? parsed : undefined
  } catch {
    return undefined
  }
}

function textOf (chunk: CompletionChunk): string | undefined {
  const choice = chunk.choices?.[0]
  const text = choice?.text ?? choice?.delta?.content ?? undefined
  return text === '' ? undefined : text
}
