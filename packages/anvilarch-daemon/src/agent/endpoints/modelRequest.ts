/** Builds requests to an engine: always streamed, so that an unresponsive engine is detected. */
import type { EndpointCall } from '../../attempts/types'

/** Output after which a generation continues. */
export interface Continuation {
  tokens: number
  text: string
}

/** A request that can be sent to an engine. */
export interface ModelRequest {
  isChat: boolean
  wantsUsage: boolean
  /** The caller's own continuation. */
  initial: Continuation
  /** @returns the call that continues after the output produced so far */
  call: (produced: Continuation) => EndpointCall
}

type JsonObject = Record<string, unknown>

/**
 * @param call - the call sent by the gateway
 * @returns the request, or undefined if its body is not a JSON object
 */
export function parseModelRequest (call: EndpointCall): ModelRequest | undefined {
  const body = parseObject(Buffer.from(call.body).toString('utf8'))
  if (body === undefined) return undefined
  const streamOptions = isObject(body.stream_options) ? body.stream_options : {}
  const initial = parseContinuation(body.continuation)
  return {
    isChat: call.path.includes('/chat/'),
    wantsUsage: streamOptions.include_usage === true,
    initial,
    call: produced => {
      const tokens = initial.tokens + produced.tokens
      const sent = {
        ...body,
        stream: true,
        stream_options: { ...streamOptions, include_usage: true },
        ...(tokens > 0 ? { continuation: { tokens, text: initial.text + produced.text } } : {})
      }
      return { ...call, body: Buffer.from(JSON.stringify(sent)) }
    }
  }
}

function parseContinuation (value: unknown): Continuation {
  if (!isObject(value)) return { tokens: 0, text: '' }
  return {
    tokens: typeof value.tokens === 'number' ? value.tokens : 0,
    text: typeof value.text === 'string' ? value.text : ''
  }
}

function parseObject (text: string): JsonObject | undefined {
  try {
    const parsed: unknown = JSON.parse(text)
    return isObject(parsed) ? parsed : undefined
  } catch {
    return undefined
  }
}

function isObject (value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
