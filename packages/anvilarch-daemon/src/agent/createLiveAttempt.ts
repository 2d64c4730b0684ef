/** Creates the record of an attempt from its start message. */
import { Code, ConnectError } from '@connectrpc/connect'
import { type StartAttemptRequest, WORK_CLASSES, type WorkClass } from 'anvilarch-protocol'
import type { Headers, OutputMode } from '../attempts/types'
import type { DaemonContext } from '../context'
import type { LiveAttempt } from './liveAttempt'
import { createOutputBuffer } from './outputBuffer'

const OUTPUT_MODES: ReadonlySet<string> = new Set<OutputMode>(['stream', 'whole', 'raw'])

/**
 * @param context - shared components of the daemon
 * @param request - the message
 * @returns the attempt, not admitted yet
 * @throws ConnectError if the message has no call, or names an unknown work class or output mode
 */
export function createLiveAttempt (context: DaemonContext, request: StartAttemptRequest): LiveAttempt {
  const { call } = request
  if (!isWorkClass(request.workClass) || !OUTPUT_MODES.has(request.outputMode) || call === undefined) {
    throw new ConnectError('StartAttempt needs a call, a known work_class and a known output_mode', Code.InvalidArgument)
  }
  const nowMs = context.clock.nowMs()
  const spec = context.configuration.current()?.document.services[request.service]
  return {
    id: request.attemptId,
    requestId: request.requestId,
    fingerprint: request.fingerprint,
    workClass: request.workClass,
    service: request.service,
    endpoint: request.endpoint,
    model: spec?.kind === 'model' ? spec.model : '',
    idempotent: request.idempotent,
    isolated: request.isolated,
    soloFirstToken: request.soloFirstToken,
    outputMode: request.outputMode as OutputMode,
    call: { method: call.method, path: call.path, headers: toHeaders(call.headers), body: call.body },
    arrivedMs: nowMs,
    deadlineMs: nowMs + request.remainingMs,
    output: createOutputBuffer(context.settings.agent.maxOutputBytes),
    head: undefined,
    end: undefined,
    listeners: new Set()
  }
}

function isWorkClass (name: string): name is WorkClass {
  return (WORK_CLASSES as readonly string[]).includes(name)
}

function toHeaders (headers: Array<{ name: string, value: string }>): Headers {
  return Object.fromEntries(headers.map(header => [header.name.toLowerCase(), header.value]))
}
