/** The completion routes of the OpenAI-style API. */
import { abortResponse } from 'anvilarch-utils'
import type { WorkResult } from '../../attempts/types'
import { errorBody } from '../http/errorResponse'
import { createAnswerSink } from '../http/answerSink'
import { toCaller } from '../http/forwardedHeaders'
import { parseJsonObject, readBody } from '../http/readBody'
import { checkWorkClass } from '../http/requestHeaders'
import type { CallerContext, Route } from '../types'
import type { FrontParts } from '../frontParts'
import { requireConfiguration } from '../requireConfiguration'
import { checkCompletion, type CompletionKind } from './completionInput'
import { COMPLETION_PATHS, completionRequest } from './completionRequest'

/**
 * @param parts - shared parts of the front
 * @returns the routes
 */
export function createCompletionRoutes (parts: FrontParts): Route[] {
  return (['chat', 'text'] as const).map(kind => ({
    method: 'POST' as const,
    path: COMPLETION_PATHS[kind],
    handle: async (context: CallerContext) => { await complete(parts, kind, context) }
  }))
}

async function complete (parts: FrontParts, kind: CompletionKind, context: CallerContext): Promise<void> {
  const { document } = requireConfiguration(parts.context)
  checkWorkClass(context.request.headers)
  const body = parseJsonObject(await readBody(context.request, document.limits.maxBodyBytes))
  const input = checkCompletion(kind, body, document)
  const request = completionRequest(kind, body, input, {
    requestId: context.requestId,
    caller: context.caller,
    deadlineMs: context.deadlineMs ?? parts.context.clock.nowMs() + input.spec.timeoutMs
  })
  if (input.stream) await answerStream(parts, context, sink => parts.runner.run(request, { sink, signal: context.signal }))
  else answerWhole(context, await parts.runner.run(request, { signal: context.signal }))
}

function answerWhole ({ response }: CallerContext, result: WorkResult): void {
  if (result.outcome === 'failed') throw result.error
  response.writeHead(result.status, { ...toCaller(result.headers), 'content-length': result.body.length })
  response.end(result.body)
}

/**
 * A stream that breaks off ends without its end mark and with an error event, so that a client sees it is not whole. An answer
 * of another kind has no place for that event.
 */
async function answerStream (parts: FrontParts, context: CallerContext, run: (sink: ReturnType<typeof createAnswerSink>) => Promise<WorkResult>): Promise<void> {
  const { response, requestId } = context
  const sink = createAnswerSink(response, { clock: parts.context.clock, stallMs: parts.options.stallMs })
  const result = await run(sink)
  if (result.outcome === 'failed') {
    if (!sink.started()) throw result.error
    if (!sink.isEvents()) {
      abortResponse(response)
      return
    }
    response.write(`data: ${JSON.stringify(errorBody(result.error, requestId))}\n\n`)
  }
  sink.flushHead()
  response.end()
}
