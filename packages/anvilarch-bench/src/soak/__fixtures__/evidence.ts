/** Builds evidence for tests of the checks: each record is valid unless a test adds a violation. */
import type { Execution } from 'anvilarch-standins'
import { emptyEvidence, type CallRecord, type Evidence, type ItemSpec, type JobResponse, type SubmissionRecord } from '../types'

export function call (changes: Partial<CallRecord> = {}): CallRecord {
  return {
    requestId: 'call-1',
    kind: 'chat',
    gateway: 'gateway-1',
    key: undefined,
    idempotent: true,
    sentAtMs: 1000,
    endedAtMs: 2000,
    told: 'whole',
    status: 200,
    code: '',
    ran: '',
    retryAfterMs: undefined,
    fault: undefined,
    detail: '',
    ...changes
  }
}

export function execution (changes: Partial<Execution> = {}): Execution {
  return { executionId: 'execution-1', requestId: 'call-1', attemptId: 'attempt-1', startedAtMs: 1100, endedAtMs: 1900, state: 'completed', endpoint: 'engine-1', incarnation: 'a', ...changes }
}

export function jobResponse (changes: Partial<JobResponse> = {}): JobResponse {
  return { gateway: 'gateway-1', sentAtMs: 1000, endedAtMs: 1100, told: 'whole', status: 200, code: '', ran: '', retryAfterMs: undefined, jobId: 'batch_1', ...changes }
}

/** A job of two items, both with the expected text as result. */
export function submission (changes: Partial<SubmissionRecord> = {}): SubmissionRecord {
  const items: ItemSpec[] = ['item-1', 'item-2'].map(customId => ({ customId, body: {}, expected: `text of ${customId}` }))
  return {
    name: 'job-1',
    items,
    answers: [jobResponse()],
    otherBodyAnswers: [],
    cancelledAtMs: undefined,
    shownAfterCancel: [],
    endState: 'completed',
    lines: items.map(item => ({ customId: item.customId, kind: 'output', text: item.expected, code: undefined })),
    readError: '',
    ...changes
  }
}

export function evidence (changes: Partial<Evidence> = {}): Evidence {
  return { ...emptyEvidence(), ...changes }
}
