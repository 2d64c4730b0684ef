/** Converts the events of an engine into the output of an attempt, by output mode. */
import type { OutputMode } from '../../attempts/types'
import type { CompletionChunk, EngineEvent, Usage } from './engineEvents'
import { createAssembly } from './wholeBody'

/** Converts events into output bytes. */
export interface OutputFormatter {
  contentType: string
  /** @returns bytes to append, if any */
  onEvent: (event: EngineEvent) => Uint8Array | undefined
  /** @returns the last bytes, after the end mark */
  finish: (outputTokens: number) => Uint8Array | undefined
}

/** Properties of the request that affect its output. */
export interface FormatterOptions {
  /** The caller requested the usage event. */
  wantsUsage: boolean
  isChat: boolean
}

/** Creates the formatter for each output mode. */
export const OUTPUT_FORMATTERS: Record<OutputMode, (options: FormatterOptions) => OutputFormatter> = {
  stream: createStreamFormatter,
  raw: createStreamFormatter,
  whole: createWholeFormatter
}

function createStreamFormatter (options: FormatterOptions): OutputFormatter {
  let roleSent = false
  return {
    contentType: 'text/event-stream; charset=utf-8',
    onEvent: event => {
      if (event.chunk !== undefined) {
        if (isUsageOnly(event.chunk) && !options.wantsUsage) return undefined
        // A stream resumed over a new connection may start with the role again.
        if (isRoleOnly(event)) {
          if (roleSent) return undefined
          roleSent = true
        }
      }
      return Buffer.from(`data: ${event.data}\n\n`)
    },
    finish: () => undefined
  }
}

function createWholeFormatter (options: FormatterOptions): OutputFormatter {
  const assembly = createAssembly(options.isChat)
  return {
    contentType: 'application/json',
    onEvent: event => {
      if (event.chunk !== undefined) assembly.add(event.chunk)
      return undefined
    },
    finish: outputTokens => Buffer.from(JSON.stringify(assembly.body(outputTokens)))
  }
}

function isUsageOnly (chunk: CompletionChunk): chunk is CompletionChunk & { usage: Usage } {
  return chunk.usage != null && (chunk.choices === undefined || chunk.choices.length === 0)
}

function isRoleOnly (event: EngineEvent): boolean {
  const choice = event.chunk?.choices?.[0]
  return choice?.delta?.role !== undefined && event.tokenText === undefined && choice.finish_reason == null && choice.delta.tool_calls === undefined
}
