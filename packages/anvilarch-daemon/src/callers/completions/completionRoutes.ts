/** The completion routes of the OpenAI-style API. */
import { abortResponse } from 'anvilarch-utils'
import type { WorkResult } from '../../attempts/types'
import { errorBody } from '../http/errorResponse'
import { createResponseSink } from '../http/responseSink'
import { toCallerHeaders } from '../http/forwardedHeaders'
import { parseJsonObject, readBody } from '../http/readBody'
import { checkWorkClass } from '../http/requestHeaders'
import type { CallerContext, Route } from '../types'
import type { RouteDeps } from '../routeDeps'
import { requireConfiguration } from '../requireConfiguration'
import { checkCompletion, type CompletionKind } from './completionInput'
import { COMPLETION_PATHS, completionRequest } from './completionRequest'

/**
 * @param parts - dependencies of the routes
 * @returns the routes
 */
export function createCompletionRoutes (parts: RouteDeps): Route[] {
  return (['chat', 'text'] as const).map(kind => ({
    method: 'POST' as const,
    path: COMPLETION_PATHS[kind],
    handle: async (context: CallerContext) => { await complete(parts, kind, context) }
  }))
}

async function complete (parts: RouteDeps, kind: CompletionKind, context: CallerContext): Promise<void> {
  const { document } = requireConfiguration(parts.context)
  checkWorkClass(context.request.headers)
  const body = parseJsonObject(await readBody(context, document.limits.maxBodyBytes, context.drain.unreadRejected))
  const input = checkCompletion(kind, body, document)
  const request = completionRequest(kind, body, input, {
    requestId: context.requestId,
    caller: context.caller,
    deadlineMs: context.deadlineMs ?? parts.context.clock.nowMs() + input.spec.timeoutMs
  })
  context.drain.check(request.deadlineMs)
  if (input.stream) await sendStream(parts, context, sink => parts.runner.run(request, { sink, signal: context.signal }))
  else sendComplete(context, await parts.runner.run(request, { signal: context.signal }))
}

function sendComplete ({ response }: CallerContext, result: WorkResult): void {
  if (result.outcome === 'failed') throw result.error
  response.writeHead(result.status, { ...toCallerHeaders(result.headers), 'content-length': result.body.length })
  response.end(result.body)
}

/**
 * A stream that fails ends with an error event and without its end mark, so that a client detects that it is incomplete.
 * Responses of other types cannot contain such an event and are aborted.
 */
async function sendStream (parts: RouteDeps, context: CallerContext, run: (sink: ReturnType<typeof createResponseSink>) => Promise<WorkResult>): Promise<void> {
  const { response, requestId } = context
  const sink = createResponseSink(response, { clock: parts.context.clock, stallMs: parts.options.stallMs })
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
