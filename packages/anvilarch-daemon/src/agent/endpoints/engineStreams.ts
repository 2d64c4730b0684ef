/** The engine's own handles on a stream: attach to it again, and cancel it. */
import { type Clock, sleep } from 'anvilarch-utils'
import type { EndpointCall } from '../../attempts/types'
import type { EndpointConnections } from './connections'
import { requestJson } from './httpExchange'

/** Which stream, and how to reach its engine. */
export interface StreamHandle {
  connections: EndpointConnections
  clock: Clock
  basePath: string
  attemptId: string
  idleTimeoutMs: number
}

const MAX_CANCEL_TRIES = 3
/** A request that was cut off right after it was sent may reach the engine after the cancellation. */
const LATE_REQUEST_WAIT_MS = 50

/**
 * @param attemptId - names the stream
 * @param offsetTokens - tokens of the whole answer that need not be sent again
 * @returns the call that attaches to the stream, or goes on with it
 */
export function resumeCall (attemptId: string, offsetTokens: number): EndpointCall {
  return {
    method: 'POST',
    path: streamPath(attemptId, 'resume'),
    headers: { 'content-type': 'application/json' },
    body: Buffer.from(JSON.stringify({ offsetTokens }))
  }
}

/**
 * Frees the slot of a stream. Without this an attempt that was given up would go on at the engine, which would show as
 * an engine slower than its agent's count of running attempts explains.
 *
 * @param handle - the stream
 * @param mayBeUnknown - the engine may not have the request yet, so that 404 is asked about once more
 */
export async function cancelStream (handle: StreamHandle, mayBeUnknown: boolean): Promise<void> {
  const { connections, clock } = handle
  const path = handle.basePath + streamPath(handle.attemptId, 'cancel')
  for (let tries = 0; tries < MAX_CANCEL_TRIES; tries++) {
    const response = await requestJson(connections.pool('control'), { method: 'POST', path, body: {} }, { clock, timeoutMs: handle.idleTimeoutMs })
    if ('failed' in response) {
      if (response.failed.kind === 'error' && response.failed.code === 'ECONNREFUSED') return
      connections.replacePool('control')
      continue
    }
    if (response.status !== 404 || !mayBeUnknown) return
    await sleep(clock, LATE_REQUEST_WAIT_MS)
  }
}

function streamPath (attemptId: string, action: 'resume' | 'cancel'): string {
  return `/v1/streams/${encodeURIComponent(attemptId)}/${action}`
}
