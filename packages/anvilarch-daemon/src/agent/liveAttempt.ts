/** An attempt that this agent took in, with its output and its readers. */
import type { AttemptOutcome, WorkClass } from 'anvilarch-protocol'
import type { RunStatus } from 'anvilarch-utils'
import type { EndpointCall, Headers, OutputMode } from '../attempts/types'
import type { OutputBuffer } from './outputBuffer'

/** How an attempt ended, as its final frame says. */
export interface AttemptEnd {
  outcome: AttemptOutcome
  ran: RunStatus
  detail: string
  retryAfterMs: number
  outputTokens: number
  wasAlone: boolean
  /** Another attempt is the likelier cause of the crash that ended this one. */
  causeKnown?: boolean
}

/** Told when there is more to read. */
export interface AttemptListener {
  /** Output came; it may be joined with what comes next. */
  onOutput: () => void
  /** The attempt ended. */
  onEnd: () => void
}

/** An attempt that waits, runs, or ended a while ago. */
export interface LiveAttempt {
  id: string
  requestId: string
  fingerprint: string
  workClass: WorkClass
  service: string
  endpoint: string
  /** Model that the service ran when the attempt was taken in; empty for a plain service. */
  model: string
  idempotent: boolean
  isolated: boolean
  soloFirstToken: boolean
  outputMode: OutputMode
  call: EndpointCall
  arrivedMs: number
  deadlineMs: number
  output: OutputBuffer
  head: { status: number, headers: Headers } | undefined
  end: AttemptEnd | undefined
  listeners: Set<AttemptListener>
}
