/** Takes what a run brings: output to the attempt's buffer, times to admission, events to the time line. */
import type { AdmissionEvent } from '../admission'
import type { DaemonContext } from '../context'
import type { RunSink } from './endpoints/types'
import type { LiveAttempt } from './liveAttempt'

/** Times of one run. */
export interface RunTimes {
  startedMs: number
  firstTokenMs: number | undefined
  /** Undefined after a pause, so that the pause is not taken for a time between tokens. */
  lastTokenMs: number | undefined
}

/** Where the times go. */
export interface RunSinkOptions {
  endpoint: string
  /** A plain service has no tokens; the head of its answer counts as the first one. */
  isPlain: boolean
  step: (event: AdmissionEvent) => void
}

/**
 * @param context - shared parts of the daemon
 * @param attempt - the attempt that runs
 * @param times - of this run; changed in place
 * @param options - where the times go
 * @returns the sink
 */
export function createRunSink (context: DaemonContext, attempt: LiveAttempt, times: RunTimes, options: RunSinkOptions): RunSink {
  const { clock, metrics, timeline } = context
  const ids = { requestId: attempt.requestId, attemptId: attempt.id }

  const recordFirstToken = (nowMs: number): void => {
    times.firstTokenMs = nowMs
    timeline.record('attempts.first_token', { ...ids, detail: { endpoint: options.endpoint, sinceStartMs: Math.round(nowMs - times.startedMs) } })
    metrics.firstTokenSeconds.observe({ class: attempt.workClass, service: attempt.service }, (nowMs - attempt.arrivedMs) / 1000)
    options.step({ kind: 'firstToken', nowMs, id: attempt.id, sinceStartMs: nowMs - times.startedMs })
  }

  return {
    onHead: (status, headers) => {
      if (attempt.end !== undefined) return
      attempt.head = { status, headers }
      if (options.isPlain) {
        recordFirstToken(clock.nowMs())
        options.step({ kind: 'decoding', nowMs: clock.nowMs(), id: attempt.id })
      }
      for (const listener of attempt.listeners) listener.onOutput()
    },
    onOutput: data => {
      if (attempt.end !== undefined) return true
      if (!attempt.output.append(data)) return false
      for (const listener of attempt.listeners) listener.onOutput()
      return true
    },
    onToken: () => {
      const nowMs = clock.nowMs()
      if (times.firstTokenMs === undefined) recordFirstToken(nowMs)
      if (times.lastTokenMs === undefined) options.step({ kind: 'decoding', nowMs, id: attempt.id })
      else options.step({ kind: 'interToken', nowMs, id: attempt.id, gapMs: nowMs - times.lastTokenMs })
      times.lastTokenMs = nowMs
    },
    onResumed: (reason, offsetTokens) => {
      times.lastTokenMs = undefined
      metrics.resumptions.inc({ class: attempt.workClass })
      timeline.record('attempts.resumed', { ...ids, detail: { endpoint: options.endpoint, reason, offsetTokens } })
    }
  }
}
