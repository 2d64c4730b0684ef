/** Handles calls with an idempotency key, which run at most once. */
import type { KeyedResult } from '../../attempts/intents/types'
import type { WorkRequest } from '../../attempts/types'
import { toCallerHeaders } from '../http/forwardedHeaders'
import type { RouteDeps } from '../routeDeps'
import type { CallerContext } from '../types'

/** Response header that marks a replayed response. */
const REPLAYED_HEADER = 'idempotent-replayed'

/**
 * The call continues if its caller disconnects: its outcome is recorded and returned to a retry with the same key.
 *
 * @param parts - dependencies of the routes
 * @param context - the request of the caller
 * @param work - the call
 * @param key - its idempotency key
 */
export async function handleKeyedCall (parts: RouteDeps, context: CallerContext, work: WorkRequest, key: string): Promise<void> {
  const call = {
    caller: work.caller,
    key,
    requestId: work.requestId,
    callHash: work.fingerprint,
    timeoutMs: Math.ceil(work.deadlineMs - parts.context.clock.nowMs())
  }
  sendResult(context, await parts.intents.run(call, async () => await parts.runner.run(work)))
}

function sendResult ({ response }: CallerContext, keyed: KeyedResult): void {
  if (keyed.kind === 'refused') throw keyed.error
  if (keyed.kind === 'ran' && keyed.result.outcome === 'failed') throw keyed.result.error
  const completed = keyed.kind === 'ran' ? keyed.result as Extract<typeof keyed.result, { outcome: 'completed' }> : keyed
  if (keyed.kind === 'replayed') response.setHeader(REPLAYED_HEADER, 'true')
  response.writeHead(completed.status, { ...toCallerHeaders(completed.headers), 'content-length': completed.body.length })
  response.end(completed.body)
}
