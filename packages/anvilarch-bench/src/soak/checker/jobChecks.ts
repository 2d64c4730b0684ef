/** Checks of jobs: each item of an accepted job has exactly one correct result, and a cancelled job stops. */
import type { Evidence, SubmissionRecord } from '../types'
import { jobOfExecution } from './executionIndex'
import type { Check, Finding } from './types'

/** A gateway detects the cancellation of a part that it leases by polling; items may start until then. */
export const CANCEL_BOUND_MS = 10_000

const STOP_DELAYING_FAULTS = /^(table|platform|pause_gateway|outage)/

export const JOB_CHECKS: Check[] = [
  { name: 'items lost', run: evidence => checkItems(evidence, lostItems) },
  { name: 'items doubled', run: evidence => checkItems(evidence, duplicatedItems) },
  { name: 'items shown wrong', run: evidence => checkItems(evidence, wrongItems) },
  { name: 'items that can be done shown as failed', run: evidence => checkItems(evidence, validItemsFailed) },
  { name: 'submissions that became two jobs', run: duplicateJobs },
  { name: 'same key with another body accepted', run: otherBodyAccepted },
  { name: 'jobs run that nobody was told of', run: unknownJobs },
  { name: 'results that grew after a cancellation', run: resultsGrownAfterCancel },
  { name: 'items started long after a cancellation', run: itemsStartedAfterCancel }
]

/** A job that was accepted and not cancelled must finish with results for all of its items. */
function mustComplete (submission: SubmissionRecord): boolean {
  return submission.cancelledAtMs === undefined && acceptedIds(submission).size > 0
}

function acceptedIds (submission: SubmissionRecord): Set<string> {
  return new Set(submission.answers.flatMap(response => response.jobId ?? []))
}

function checkItems (evidence: Evidence, find: (submission: SubmissionRecord) => string[]): Finding {
  const accepted = evidence.submissions.filter(submission => acceptedIds(submission).size > 0)
  return {
    trials: accepted.reduce((sum, submission) => sum + submission.items.length, 0),
    wrong: accepted.flatMap(submission => find(submission).map(detail => `${submission.name} (${[...acceptedIds(submission)].join(', ')}): ${detail}`))
  }
}

function lostItems (submission: SubmissionRecord): string[] {
  if (!mustComplete(submission)) return []
  const reason = submission.readError === '' ? `job ${submission.endState ?? 'never seen'}` : submission.readError
  const shown = new Set(submission.lines.map(line => line.customId))
  return submission.items.filter(item => !shown.has(item.customId)).map(item => `${item.customId} has no result; ${reason}`)
}

function duplicatedItems (submission: SubmissionRecord): string[] {
  const seen = new Set<string>()
  return submission.lines.flatMap(line => {
    if (!seen.has(line.customId)) {
      seen.add(line.customId)
      return []
    }
    return [`${line.customId} is shown again, in the ${line.kind} file`]
  })
}

function wrongItems (submission: SubmissionRecord): string[] {
  const items = new Map(submission.items.map(item => [item.customId, item]))
  return submission.lines.flatMap(line => {
    const item = items.get(line.customId)
    if (item === undefined) return [`${line.customId} was never sent`]
    if (line.kind === 'output' && line.text !== item.expected) return [`${line.customId} shows ${JSON.stringify(line.text?.slice(0, 60))}`]
    return []
  })
}

function validItemsFailed (submission: SubmissionRecord): string[] {
  const valid = new Set(submission.items.filter(item => item.expected !== undefined).map(item => item.customId))
  return submission.lines
    .filter(line => line.kind === 'error' && valid.has(line.customId))
    .map(line => `${line.customId} failed as ${line.code ?? 'unnamed'}`)
}

/** After a cancellation the same content creates a new job, so only responses to requests sent before it count. */
function duplicateJobs (evidence: Evidence): Finding {
  const resent = evidence.submissions.filter(submission => submission.answers.length > 1)
  const wrong = resent.flatMap(submission => {
    const before = submission.answers.filter(response => submission.cancelledAtMs === undefined || response.sentAtMs < submission.cancelledAtMs)
    const ids = new Set(before.flatMap(response => response.jobId ?? []))
    return ids.size > 1 ? [`${submission.name} became ${[...ids].join(', ')}`] : []
  })
  return { trials: resent.length, wrong }
}

function otherBodyAccepted (evidence: Evidence): Finding {
  const responses = evidence.submissions.flatMap(submission => submission.otherBodyAnswers.map(response => ({ submission, response })))
  const wrong = responses.filter(({ response }) => response.told === 'whole')
  return { trials: responses.length, wrong: wrong.map(({ submission, response }) => `${submission.name} at ${response.gateway}: ${response.jobId ?? response.status}`) }
}

/**
 * A submission whose response was lost may have created a job whose id its client never received. Every other job that runs
 * must be known, else its submission was reported as `not_run`, or the job runs twice.
 */
function unknownJobs (evidence: Evidence): Finding {
  const known = new Set(evidence.submissions.flatMap(submission => [...acceptedIds(submission)]))
  const withUnknownOutcome = evidence.submissions.filter(submission => acceptedIds(submission).size === 0 && submission.answers.some(answer => answer.ran !== 'not_run')).length
  const ran = new Set(evidence.executions.flatMap(execution => jobOfExecution(execution) ?? []))
  const unknown = [...ran].filter(jobId => !known.has(jobId))
  const wrong = unknown.length > withUnknownOutcome ? unknown.map(jobId => `${jobId} ran; ${withUnknownOutcome} submissions have an unknown outcome`) : []
  return { trials: evidence.submissions.length, wrong }
}

function resultsGrownAfterCancel (evidence: Evidence): Finding {
  const cancelled = evidence.submissions.filter(submission => submission.cancelledAtMs !== undefined)
  const wrong = cancelled.flatMap(submission => {
    const [first, ...later] = submission.shownAfterCancel
    const grown = later.find(count => count.items !== first.items)
    return grown === undefined ? [] : [`${submission.name} showed ${first.items} items at ${first.atMs} and ${grown.items} at ${grown.atMs}`]
  })
  return { trials: cancelled.length, wrong }
}

/** Skips cancellations with a fault soon after that keeps gateways from reading the table, because it may delay the stop. */
function itemsStartedAfterCancel (evidence: Evidence): Finding {
  const cancelled = new Map<string, number>()
  for (const submission of evidence.submissions) {
    const { cancelledAtMs } = submission
    if (cancelledAtMs === undefined || evidence.faults.some(fault => STOP_DELAYING_FAULTS.test(fault.fault) && overlaps(fault, cancelledAtMs, cancelledAtMs + CANCEL_BOUND_MS))) continue
    for (const id of acceptedIds(submission)) cancelled.set(id, cancelledAtMs)
  }
  const wrong = evidence.executions.flatMap(execution => {
    const cancelledAtMs = cancelled.get(jobOfExecution(execution) ?? '')
    if (cancelledAtMs === undefined || execution.startedAtMs <= cancelledAtMs + CANCEL_BOUND_MS) return []
    return [`${execution.requestId} started ${execution.startedAtMs - cancelledAtMs} ms after the cancellation`]
  })
  return { trials: cancelled.size, wrong }
}

function overlaps (fault: { injectedAtMs: number, healedAtMs: number }, fromMs: number, untilMs: number): boolean {
  return fault.injectedAtMs <= untilMs && fault.healedAtMs >= fromMs
}
