/** An attempt that this agent has admitted, with its output and its readers. */
import type { AttemptOutcome, WorkClass } from 'anvilarch-protocol'
import type { RunStatus } from 'anvilarch-utils'
import type { EndpointCall, Headers, OutputMode } from '../attempts/types'
import type { OutputBuffer } from './outputBuffer'

/** The end of an attempt, as reported in its final frame. */
export interface AttemptEnd {
  outcome: AttemptOutcome
  ran: RunStatus
  detail: string
  retryAfterMs: number
  outputTokens: number
  wasAlone: boolean
  /** Another attempt is the likely cause of the crash that ended this one. */
  causeKnown?: boolean
}

/** Callbacks for a reader of an attempt. */
export interface AttemptListener {
  /** Output was appended; it may be coalesced with the next output. */
  onOutput: () => void
  /** The attempt ended. */
  onEnd: () => void
}

/** An attempt that is queued, running, or has ended and is still retained. */
export interface LiveAttempt {
  id: string
  requestId: string
  fingerprint: string
  workClass: WorkClass
  service: string
  endpoint: string
  /** Model of the service when the attempt was admitted; empty for a plain service. */
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
