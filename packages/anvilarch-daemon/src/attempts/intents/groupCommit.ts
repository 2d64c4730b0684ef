/**
 * Pure state machine that batches the writes of many calls into few commits.
 *
 * The table accepts several hundred writes per second from all gateways together, so with one commit per call a few busy routes
 * would exhaust it. One commit is in progress at a time; entries that arrive meanwhile go into the next one.
 */
import type { CommitResult, Row } from 'anvilarch-protocol'

/** One conditional write. */
export interface Entry {
  id: number
  key: string
  /** Required version of the row; 0 for a missing row. */
  version: number
  value: string | null
}

/** Outcome of an entry. */
export type EntryOutcome =
  | { outcome: 'committed', version: number }
  | { outcome: 'conflict', row: Row | undefined }
  /** The table did not respond; the write may have taken effect, or may still do so. */
  | { outcome: 'unsettled' }

/** A commit in progress. */
export interface GroupedCommit {
  commitId: string
  entries: readonly Entry[]
  tries: number
}

/** State of the group. */
export interface GroupState {
  waiting: readonly Entry[]
  inProgress: GroupedCommit | undefined
  /** Earliest start of the next commit. */
  notBeforeMs: number
  /** Until when every write is reported as unsettled at once, because the table did not respond. */
  failFastUntilMs: number
  commitCount: number
}

/** Event of the group. */
export type GroupEvent =
  | { kind: 'add', entry: Entry }
  | { kind: 'wake' }
  | { kind: 'replied', commitId: string, result: CommitResult }
  | { kind: 'failed', commitId: string }

/** Command to the driver. */
export type GroupCommand =
  | { kind: 'send', commit: GroupedCommit, delayMs: number }
  | { kind: 'wake', delayMs: number }
  | { kind: 'settle', entry: Entry, settled: EntryOutcome }
  | { kind: 'orphan', commit: GroupedCommit }

/** Options of the group. */
export interface GroupOptions {
  /** Prefix that makes commit ids unique to this process. */
  idPrefix: string
  /** Minimum time between the starts of two commits. */
  intervalMs: number
  maxEntries: number
  /** Number of times that a commit is sent before its entries are given up. */
  maxTries: number
  /** Delay before a commit is sent again under the same id. */
  retryDelayMs: number
  /** Timeout of one send; a later reply to the same commit still counts. */
  tryTimeoutMs: number
  /** How long writes are reported as unsettled at once after the table did not respond. */
  failFastMs: number
}

/** Defaults: at most 40 commits per second, and no call waits longer than 1.7 s for an unavailable table. */
export const DEFAULT_OPTIONS: Omit<GroupOptions, 'idPrefix'> = { intervalMs: 25, maxEntries: 100, maxTries: 3, retryDelayMs: 100, tryTimeoutMs: 500, failFastMs: 1_000 }

/** Result of a step. */
export interface GroupStep {
  state: GroupState
  commands: GroupCommand[]
}

/** @returns the state of a group without entries */
export function createGroupState (): GroupState {
  return { waiting: [], inProgress: undefined, notBeforeMs: 0, failFastUntilMs: 0, commitCount: 0 }
}

/**
 * @param state - the group
 * @param event - the event to handle
 * @param nowMs - current time
 * @param options - limits
 * @returns the next state and the commands to execute
 */
export function stepGroup (state: GroupState, event: GroupEvent, nowMs: number, options: GroupOptions): GroupStep {
  switch (event.kind) {
    case 'add':
      if (nowMs < state.failFastUntilMs) return { state, commands: [{ kind: 'settle', entry: event.entry, settled: { outcome: 'unsettled' } }] }
      return startNext({ ...state, waiting: [...state.waiting, event.entry] }, nowMs, options)
    case 'wake':
      return startNext(state, nowMs, options)
    case 'replied':
      return state.inProgress?.commitId === event.commitId ? onReply(state, state.inProgress, event.result, nowMs, options) : { state, commands: [] }
    case 'failed':
      return state.inProgress?.commitId === event.commitId ? onFailure(state, state.inProgress, nowMs, options) : { state, commands: [] }
  }
}

function startNext (state: GroupState, nowMs: number, options: GroupOptions): GroupStep {
  if (state.inProgress !== undefined || state.waiting.length === 0) return { state, commands: [] }
  if (nowMs < state.notBeforeMs) return { state, commands: [{ kind: 'wake', delayMs: state.notBeforeMs - nowMs }] }
  const entries = firstOfEachKey(state.waiting, options.maxEntries)
  const commit: GroupedCommit = { commitId: `${options.idPrefix}-${state.commitCount}`, entries, tries: 1 }
  return {
    state: {
      ...state,
      waiting: state.waiting.filter(entry => !entries.includes(entry)),
      inProgress: commit,
      notBeforeMs: nowMs + options.intervalMs,
      commitCount: state.commitCount + 1
    },
    commands: [{ kind: 'send', commit, delayMs: 0 }]
  }
}

/** Two calls with the same key can't share a transaction: the second must find the row of the first. */
function firstOfEachKey (waiting: readonly Entry[], maxEntries: number): Entry[] {
  const chosen = new Map<string, Entry>()
  for (const entry of waiting) {
    if (chosen.size >= maxEntries) break
    if (!chosen.has(entry.key)) chosen.set(entry.key, entry)
  }
  return [...chosen.values()]
}

function onReply (state: GroupState, commit: GroupedCommit, result: CommitResult, nowMs: number, options: GroupOptions): GroupStep {
  if (result.outcome === 'committed') {
    const settled = commit.entries.map((entry): GroupCommand =>
      ({ kind: 'settle', entry, settled: { outcome: 'committed', version: result.versions[entry.key] ?? 0 } }))
    return withCommands(startNext({ ...state, inProgress: undefined }, nowMs, options), settled)
  }
  const currentRows = new Map(result.rows.map(row => [row.key, row]))
  const isConflicting = (entry: Entry): boolean => currentRows.has(entry.key) && currentRows.get(entry.key)?.version !== entry.version
  const conflicts = commit.entries.filter(isConflicting)
  const unaffected = commit.entries.filter(entry => !isConflicting(entry))
  // A conflict without a conflicting row would be retried forever.
  if (conflicts.length === 0) return giveUp(state, commit, nowMs, options)
  const settled = conflicts.map((entry): GroupCommand => ({ kind: 'settle', entry, settled: { outcome: 'conflict', row: rowOf(currentRows.get(entry.key)) } }))
  return withCommands(startNext({ ...state, inProgress: undefined, waiting: [...unaffected, ...state.waiting] }, nowMs, options), settled)
}

function rowOf (row: Row | { key: string, version: 0, value: null } | undefined): Row | undefined {
  return row === undefined || row.value === null ? undefined : row
}

/** After a lost reply it is unknown whether the write took effect; sending the same id again returns the first outcome. */
function onFailure (state: GroupState, commit: GroupedCommit, nowMs: number, options: GroupOptions): GroupStep {
  if (commit.tries < options.maxTries) {
    const again = { ...commit, tries: commit.tries + 1 }
    return { state: { ...state, inProgress: again }, commands: [{ kind: 'send', commit: again, delayMs: options.retryDelayMs }] }
  }
  return giveUp(state, commit, nowMs, options)
}

function giveUp (state: GroupState, commit: GroupedCommit, nowMs: number, options: GroupOptions): GroupStep {
  // Entries that wait for an unresponsive table are reported as unsettled at once too, instead of one commit after another.
  const settled = [...commit.entries, ...state.waiting].map((entry): GroupCommand => ({ kind: 'settle', entry, settled: { outcome: 'unsettled' } }))
  const next: GroupState = { ...state, inProgress: undefined, waiting: [], failFastUntilMs: nowMs + options.failFastMs }
  return { state: next, commands: [{ kind: 'orphan', commit }, ...settled] }
}

function withCommands (step: GroupStep, first: GroupCommand[]): GroupStep {
  return { state: step.state, commands: [...first, ...step.commands] }
}
