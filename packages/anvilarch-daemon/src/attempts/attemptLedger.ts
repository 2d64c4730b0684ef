/**
 * Records the attempts of a request independently of the state machine, so that a fault of the machine is detected before a
 * caller receives an untrue result.
 */
import { invariant, type RunStatus } from 'anvilarch-utils'
import type { AttemptState, RequestEvent } from './machine/types'

/** Record of the attempts of one request; checks its invariants. */
export interface AttemptLedger {
  sent: (attempt: AttemptState, idempotent: boolean) => void
  /** Records an event of the current attempt, before the machine handles it. */
  event: (event: RequestEvent, attempt: AttemptState) => void
  /** Records bytes that are forwarded to the caller. */
  output: (attempt: AttemptState, sizeBytes: number) => void
  ended: (ran: RunStatus) => void
}

/** Record of one attempt. */
interface LedgerEntry {
  /** Whether the attempt is proved not to have run. */
  isProvenNotRun: boolean
  passedBytes: number
}

/**
 * @param requestId - named in messages about violations
 * @returns an empty ledger
 */
export function createAttemptLedger (requestId: string): AttemptLedger {
  const entries = new Map<string, LedgerEntry>()

  const openAttempts = (): string[] => [...entries].filter(([, entry]) => !entry.isProvenNotRun).map(([id]) => id)

  return {
    sent: (attempt, idempotent) => {
      invariant(idempotent || openAttempts().length === 0, 'non_idempotent_sent_once',
        () => `request ${requestId} may have run as ${openAttempts().join()} and would be sent again`)
      entries.set(attempt.attemptId, { isProvenNotRun: false, passedBytes: 0 })
    },
    event: (event, attempt) => {
      const entry = entries.get(attempt.attemptId)
      if (entry !== undefined && provesNotRun(event, attempt)) entry.isProvenNotRun = true
    },
    output: (attempt, sizeBytes) => {
      const entry = entries.get(attempt.attemptId)
      if (entry === undefined) return
      entry.passedBytes += sizeBytes
      invariant(entry.passedBytes === attempt.receivedBytes, 'answer_contiguous',
        () => `request ${requestId} forwarded ${entry.passedBytes} bytes of ${attempt.receivedBytes} received`)
    },
    ended: ran => {
      invariant(ran !== 'not_run' || openAttempts().length === 0, 'not_run_is_proved',
        () => `request ${requestId} would be reported not_run while ${openAttempts().join()} may have run`)
    }
  }
}

/** True for a start that was refused or never sent, an attempt barred before any output, and one that its agent reports as not run. */
function provesNotRun (event: RequestEvent, attempt: AttemptState): boolean {
  const unseen = !attempt.headSeen && attempt.receivedBytes === 0
  switch (event.kind) {
    case 'refused': return unseen && !attempt.accepted && (!attempt.resuming || event.reason === 'barred')
    case 'stream_ended': return event.neverSent && !attempt.resuming
    case 'final': return unseen && event.final.ran === 'not_run'
    default: return false
  }
}
