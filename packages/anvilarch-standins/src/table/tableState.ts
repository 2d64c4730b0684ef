/** The state of the table service: rows in key order, and the outcome of each commit id, which makes commits idempotent. */
import type { Commit, CommitResult, Condition, Row, ScanPage } from 'anvilarch-protocol'

/** Rows and commit outcomes of one table. */
export interface TableState {
  rows: Map<string, Row>
  /** All keys, sorted, so that a scan reads only the keys of its prefix. */
  keys: string[]
  /** Version of the latest write. A single counter serves all rows, so that a row that is deleted and written again never repeats a version. */
  revision: number
  outcomes: Map<string, CommitResult>
  counts: { reads: number, scans: number, commits: number, conflicts: number, repeatedCommits: number }
}

/** Maximum number of stored commit outcomes; the oldest are evicted first. */
const MAX_OUTCOMES = 200_000

/** @returns an empty table */
export function createTableState (): TableState {
  return { rows: new Map(), keys: [], revision: 0, outcomes: new Map(), counts: { reads: 0, scans: 0, commits: 0, conflicts: 0, repeatedCommits: 0 } }
}

/**
 * @param state - the table
 * @param keys - keys to read
 * @returns the rows in the order of the keys, null for an absent one
 */
export function readRows (state: TableState, keys: string[]): Array<Row | null> {
  state.counts.reads++
  return keys.map(key => state.rows.get(key) ?? null)
}

/**
 * @param state - the table
 * @param prefix - only keys that start with it
 * @param options - key after which to continue, and the maximum number of rows
 * @returns one page in key order
 */
export function scanRows (state: TableState, prefix: string, options: { after?: string, limit: number }): ScanPage {
  state.counts.scans++
  const rows: Row[] = []
  const from = options.after !== undefined && options.after >= prefix ? indexAfter(state.keys, options.after) : indexAtOrAfter(state.keys, prefix)
  for (let index = from; index < state.keys.length; index++) {
    const key = state.keys[index]
    if (!key.startsWith(prefix)) break
    if (rows.length === options.limit) return { rows, next: rows[rows.length - 1].key }
    rows.push(state.rows.get(key) as Row)
  }
  return { rows }
}

/**
 * Applies a transaction, or returns its first outcome when the commit id was already processed.
 *
 * @param state - the table
 * @param commit - conditions and writes
 * @returns the outcome
 */
export function commitWrites (state: TableState, commit: Commit): CommitResult {
  const previous = state.outcomes.get(commit.commitId)
  if (previous !== undefined) {
    state.counts.repeatedCommits++
    return previous
  }
  const result = commit.conditions.every(condition => isConditionMet(state, condition)) ? applyWrites(state, commit) : describeConflict(state, commit)
  storeOutcome(state, commit.commitId, result)
  return result
}

function isConditionMet (state: TableState, condition: Condition): boolean {
  return (state.rows.get(condition.key)?.version ?? 0) === condition.version
}

function applyWrites (state: TableState, commit: Commit): CommitResult {
  state.counts.commits++
  const version = ++state.revision
  const versions: Record<string, number> = {}
  for (const write of commit.writes) {
    versions[write.key] = write.value === null ? 0 : version
    if (write.value === null) removeRow(state, write.key)
    else putRow(state, { key: write.key, version, value: write.value })
  }
  return { outcome: 'committed', versions }
}

/** Returns the rows of all conditions in their order, so that the rejected writer needs no further read. */
function describeConflict (state: TableState, commit: Commit): CommitResult {
  state.counts.conflicts++
  return {
    outcome: 'conflict',
    rows: commit.conditions.map(({ key }) => state.rows.get(key) ?? { key, version: 0, value: null })
  }
}

function storeOutcome (state: TableState, commitId: string, result: CommitResult): void {
  state.outcomes.set(commitId, result)
  if (state.outcomes.size <= MAX_OUTCOMES) return
  const oldest = state.outcomes.keys().next().value as string
  state.outcomes.delete(oldest)
}

function putRow (state: TableState, row: Row): void {
  if (!state.rows.has(row.key)) state.keys.splice(indexAtOrAfter(state.keys, row.key), 0, row.key)
  state.rows.set(row.key, row)
}

function removeRow (state: TableState, key: string): void {
  if (!state.rows.delete(key)) return
  state.keys.splice(indexAtOrAfter(state.keys, key), 1)
}

function indexAfter (keys: string[], key: string): number {
  const index = indexAtOrAfter(keys, key)
  return keys[index] === key ? index + 1 : index
}

function indexAtOrAfter (keys: string[], key: string): number {
  let low = 0
  let high = keys.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if (keys[middle] < key) low = middle + 1
    else high = middle
  }
  return low
}
