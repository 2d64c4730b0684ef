/** Records the events of a request in the timeline and the metrics. */
import type { DaemonContext } from '../context'
import type { RequestCommand, RequestEvent, RequestState } from './machine/types'
import type { WorkRequest, WorkResult } from './types'

/** Records one request. */
export interface Recorder {
  received: () => void
  event: (event: RequestEvent, state: RequestState) => void
  command: (command: RequestCommand) => void
  /** Records that this process was paused while it should have read from the agent. */
  processPause: (lateMs: number) => void
  ended: (result: WorkResult) => void
}

type Detail = Record<string, string | number | boolean>

const MS_PER_SECOND = 1_000

/**
 * @param context - clock, timeline and metrics
 * @param request - the request
 * @returns its recorder
 */
export function createRecorder (context: DaemonContext, request: WorkRequest): Recorder {
  const { clock, timeline, metrics } = context
  const { requestId, workClass, service } = request
  const receivedMs = clock.nowMs()
  let awaitingFirstOutput = true

  const record = (event: string, detail: Detail = {}, attemptId?: string): void => {
    timeline.record(event, { requestId, attemptId, detail })
  }

  const recordFirstOutput = (): void => {
    if (!awaitingFirstOutput) return
    awaitingFirstOutput = false
    metrics.firstTokenSeconds.observe({ class: workClass, service }, (clock.nowMs() - receivedMs) / MS_PER_SECOND)
  }

  const onCommand: Partial<{ [Kind in RequestCommand['kind']]: (command: Extract<RequestCommand, { kind: Kind }>) => void }> = {
    start: ({ attempt }) => {
      record('routing.chosen', { endpoint: attempt.target.key })
      record('attempts.sent', { endpoint: attempt.target.key, isolated: attempt.isolated, soloFirstToken: attempt.soloFirstToken }, attempt.attemptId)
    },
    resume: ({ attempt, newConnection }) => {
      metrics.resumptions.inc({ class: workClass })
      record('attempts.resumed', { endpoint: attempt.target.key, offsetBytes: attempt.receivedBytes, newConnection }, attempt.attemptId)
    },
    output: recordFirstOutput,
    take_retry: ({ reason }) => {
      metrics.retries.inc({ class: workClass, reason })
      record('attempts.retried', { reason })
    }
  }

  return {
    received: () => { record('requests.received', { service, class: workClass, caller: request.caller }) },
    event: (event, state) => {
      if (event.kind !== 'refused' || state.attempt?.stream !== event.stream) return
      metrics.refusals.inc({ class: workClass, reason: event.reason })
      record('attempts.refused', { endpoint: state.attempt.target.key, reason: event.reason }, state.attempt.attemptId)
    },
    command: command => {
      const handler = onCommand[command.kind] as ((command: RequestCommand) => void) | undefined
      handler?.(command)
    },
    processPause: lateMs => {
      metrics.processPauses.inc()
      record('attempts.own_pause', { lateMs: Math.round(lateMs) })
    },
    ended: result => {
      const outcome = result.outcome === 'completed' ? 'completed' : result.error.code
      metrics.requestSeconds.observe({ class: workClass, service, outcome }, (clock.nowMs() - receivedMs) / MS_PER_SECOND)
      const detail: Detail = result.outcome === 'completed'
        ? { outcome, status: result.status, attempts: result.attempts }
        : { outcome, ran: result.error.ran, attempts: result.attempts }
      record('requests.ended', detail)
    }
  }
}
