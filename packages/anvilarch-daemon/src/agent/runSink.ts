/** Receives the results of a run: output for the attempt's buffer, latencies for admission, events for the timeline. */
import type { AdmissionEvent } from '../admission'
import type { DaemonContext } from '../context'
import type { RunSink } from './endpoints/types'
import type { LiveAttempt } from './liveAttempt'

/** Timestamps of one run. */
export interface RunTimes {
  startedMs: number
  firstTokenMs: number | undefined
  /** Undefined after an interruption, which must not be measured as inter-token latency. */
  lastTokenMs: number | undefined
}

/** Options of `createRunSink`. */
export interface RunSinkOptions {
  endpoint: string
  /** A plain service has no tokens; the head of its response counts as the first token. */
  isPlain: boolean
  step: (event: AdmissionEvent) => void
}

/**
 * @param context - shared components of the daemon
 * @param attempt - the running attempt
 * @param times - timestamps of this run; updated in place
 * @param options - the endpoint, and its admission
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
