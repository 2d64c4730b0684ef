/**
 * Keeps account of a request's attempts apart from the machine that decides on them, so that a fault of the machine is
 * noticed before a caller is told something untrue.
 */
import { invariant, type RunStatus } from 'anvilarch-utils'
import type { AttemptState, RequestEvent } from './machine/types'

/** Account of one request. */
export interface AttemptLedger {
  sent: (attempt: AttemptState, idempotent: boolean) => void
  /** An event of the present attempt, before the machine has seen it. */
  event: (event: RequestEvent, attempt: AttemptState) => void
  /** Bytes go to the caller. */
  output: (attempt: AttemptState, sizeBytes: number) => void
  ended: (ran: RunStatus) => void
}

/** What is known of one attempt. */
interface Account {
  /** Proved not to have run. */
  refuted: boolean
  passedBytes: number
}

/**
 * @param requestId - named in violations
 * @returns an empty account
 */
export function createAttemptLedger (requestId: string): AttemptLedger {
  const accounts = new Map<string, Account>()

  const openAttempts = (): string[] => [...accounts].filter(([, account]) => !account.refuted).map(([id]) => id)

  return {
    sent: (attempt, idempotent) => {
      invariant(idempotent || openAttempts().length === 0, 'non_idempotent_sent_once',
        () => `request ${requestId} may have run as ${openAttempts().join()} and would be sent again`)
      accounts.set(attempt.attemptId, { refuted: false, passedBytes: 0 })
    },
    event: (event, attempt) => {
      const account = accounts.get(attempt.attemptId)
      if (account !== undefined && refutes(event, attempt)) account.refuted = true
    },
    output: (attempt, sizeBytes) => {
      const account = accounts.get(attempt.attemptId)
      if (account === undefined) return
      account.passedBytes += sizeBytes
      invariant(account.passedBytes === attempt.receivedBytes, 'answer_contiguous',
        () => `request ${requestId} passed ${account.passedBytes} bytes on of ${attempt.receivedBytes} read`)
    },
    ended: ran => {
      invariant(ran !== 'not_run' || openAttempts().length === 0, 'not_run_is_proved',
        () => `request ${requestId} would be reported not_run while ${openAttempts().join()} may have run`)
    }
  }
}

/** A start that was refused or never left, an attempt that was barred unseen, and one that its agent says never began. */
function refutes (event: RequestEvent, attempt: AttemptState): boolean {
  const unseen = !attempt.headSeen && attempt.receivedBytes === 0
  switch (event.kind) {
    case 'refused': return unseen && !attempt.accepted && (!attempt.resuming || event.reason === 'barred')
    case 'stream_ended': return event.neverSent && !attempt.resuming
    case 'final': return unseen && event.final.ran === 'not_run'
    default: return false
  }
}
