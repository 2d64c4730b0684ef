/** The stream API of an engine: resumes and cancels streams. */
import { type Clock, sleep } from 'anvilarch-utils'
import type { EndpointCall } from '../../attempts/types'
import type { EndpointConnections } from './connections'
import { requestJson } from './httpExchange'

/** Identifies a stream and its engine. */
export interface StreamHandle {
  connections: EndpointConnections
  clock: Clock
  basePath: string
  attemptId: string
  idleTimeoutMs: number
}

const MAX_CANCEL_TRIES = 3
/** Wait before another cancellation: a request aborted right after its send may reach the engine after the cancellation. */
const LATE_REQUEST_WAIT_MS = 50

/**
 * @param attemptId - identifies the stream
 * @param offsetTokens - number of tokens of the response that need not be sent again
 * @returns the call that resumes the stream
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
 * Cancels a stream at the engine, which frees its slot. An abandoned attempt would otherwise continue at the engine and
 * make it slower than its agent's count of running attempts explains.
 *
 * @param handle - the stream
 * @param mayBeUnknown - the engine may not have received the request yet, so that a 404 is retried
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
