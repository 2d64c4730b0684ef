/** Formats the report of a soak. */
import Table from 'cli-table3'
import type { CheckCount } from '../checker/checkEvidence'
import { groupBy } from '../checker/callChecks'
import type { Evidence } from '../types'

const MAX_DETAIL = 400

/**
 * @param evidence - of a run
 * @param counts - of its checks
 * @param selected - kinds of faults selected for injection
 * @returns the report as text for a terminal
 */
export function formatReport (evidence: Evidence, counts: readonly CheckCount[], selected: readonly string[]): string {
  return [callTable(evidence), faultTable(evidence, selected), pauseLine(evidence), countTable(evidence, counts), ...examples(counts)].join('\n')
}

/**
 * @param evidence - of a run
 * @param selected - kinds of faults selected for injection
 * @returns those that were never injected
 */
export function notInjected (evidence: Evidence, selected: readonly string[]): string[] {
  const injected = new Set(evidence.faults.map(fault => fault.fault))
  return selected.filter(name => !injected.has(name))
}

function callTable (evidence: Evidence): string {
  const table = createTable(['calls', 'sent', 'whole', 'refused', 'failed', 'broken', 'gone', 'codes'])
  for (const [kind, calls] of groupBy(evidence.calls, call => call.kind)) {
    const countOutcome = (name: string): number => calls.filter(call => call.told === name).length
    table.push([kind, calls.length, countOutcome('whole'), countOutcome('refused'), countOutcome('failed'), countOutcome('broken'), countOutcome('gone'), codesOf(calls)])
  }
  const jobs = evidence.submissions.length
  const items = evidence.submissions.reduce((sum, submission) => sum + submission.items.length, 0)
  const shown = evidence.submissions.reduce((sum, submission) => sum + submission.lines.length, 0)
  const accepted = evidence.applies.filter(apply => apply.status === 200).length
  return `${table.toString()}\n${jobs} jobs with ${items} items, ${shown} results shown; ${evidence.applies.length} applies, ${accepted} accepted; ${evidence.executions.length} executions`
}

function codesOf (calls: Evidence['calls']): string {
  const codes = groupBy(calls.filter(call => call.code !== ''), call => `${call.code}${call.ran === '' ? '' : `/${call.ran}`}`)
  return [...codes].map(([code, group]) => `${code} ${group.length}`).join('\n')
}

function faultTable (evidence: Evidence, selected: readonly string[]): string {
  const table = createTable(['fault', 'injected'])
  const injected = groupBy(evidence.faults, fault => fault.fault)
  for (const name of selected) table.push([name, injected.get(name)?.length ?? 'not injected'])
  return table.toString()
}

function pauseLine (evidence: Evidence): string {
  const daemons = [...groupBy(evidence.pauses, ({ daemon }) => daemon)]
  const counts = daemons.map(([daemon, readings]) => `${daemon} ${readings.reduce((sum, { count }) => sum + count, 0)}`)
  return `process pauses of daemons while they waited for a peer: ${counts.length === 0 ? 'none' : counts.join(', ')}`
}

function countTable (evidence: Evidence, counts: readonly CheckCount[]): string {
  const table = createTable(['must be 0', 'count', 'trials', 'faults injected'])
  for (const { name, count, trials } of counts) table.push([name, count, trials, evidence.faults.length])
  return table.toString()
}

function examples (counts: readonly CheckCount[]): string[] {
  return counts.filter(({ count }) => count > 0).flatMap(({ name, examples }) => [`${name}:`, ...examples.map(example => `  ${example.slice(0, MAX_DETAIL)}`)])
}

function createTable (head: string[]): InstanceType<typeof Table> {
  return new Table({ head, style: { head: [], border: [] } })
}
