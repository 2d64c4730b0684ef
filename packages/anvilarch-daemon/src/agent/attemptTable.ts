/**
 * The state of all attempt ids at this agent. Start messages, resumptions and cancellations may arrive late, twice or in
 * any order. The table handles each so that an id runs at most once, and so that `barred` is reported only for an id that
 * has never run here and never will. Pure, apart from updating the state in place.
 */
import type { AttemptOutcome } from 'anvilarch-protocol'
import { invariant } from 'anvilarch-utils'

/** State of one id. `barred`: it never runs here. */
export type AttemptEntry =
  | { state: 'barred', untilMs: number }
  | LiveEntry
  | EndedEntry

/** An attempt that is queued or running. */
export interface LiveEntry {
  state: 'queued' | 'running'
  deadlineMs: number
  /** Whether to stop it when nothing reads it. False for non-idempotent calls, whose effects can't be undone. */
  stopsUnread: boolean
  readers: number
  unreadSinceMs: number
}

/** An attempt that has ended. `discarded`: it ran, but its output has been discarded. */
export interface EndedEntry {
  state: 'ended' | 'discarded'
  outcome: AttemptOutcome
  totalBytes: number
  endedAtMs: number
  deadlineMs: number
  readers: number
  /** A reader has received the final frame. */
  delivered: boolean
  untilMs: number
}

/** An event that concerns an attempt id. */
export type AttemptTableEvent =
  | { kind: 'deliver', nowMs: number, id: string, incarnation: string }
  /** Response to `consider`: the attempt was admitted. */
  | { kind: 'accepted', nowMs: number, id: string, deadlineMs: number, stopsUnread: boolean }
  /** Response to `consider`: the attempt was refused and never runs here. */
  | { kind: 'refused', nowMs: number, id: string }
  | { kind: 'started', nowMs: number, id: string }
  | { kind: 'ended', nowMs: number, id: string, outcome: AttemptOutcome, totalBytes: number }
  | { kind: 'resume', nowMs: number, id: string, incarnation: string }
  | { kind: 'cancel', nowMs: number, id: string }
  | { kind: 'readerOpened', nowMs: number, id: string }
  | { kind: 'readerClosed', nowMs: number, id: string, delivered: boolean }
  | { kind: 'tick', nowMs: number }

/** A command for the agent to execute or to respond with. */
export type AttemptTableCommand =
  /** The id is new: decide on admission, and report it to the table synchronously by `accepted` or `refused`. */
  | { kind: 'decideAdmission', id: string }
  /** Attach a reader to the known attempt. */
  | { kind: 'attach', id: string }
  /** The attempt ran here, but its output has been discarded. */
  | { kind: 'outputDiscarded', id: string }
  | { kind: 'refuse', id: string, reason: 'barred' | 'wrong_incarnation' }
  | { kind: 'cancelResponse', id: string, outcome: 'barred' | 'cancelled' | 'finished' | 'unknown' }
  | { kind: 'stop', id: string, reason: 'cancelled' | 'unread' }
  | { kind: 'discardOutput', id: string }

/** Retention times and limits of the table. */
export interface AttemptTableOptions {
  incarnation: string
  attemptRetentionMs: number
  barRetentionMs: number
  readerGraceMs: number
  maxTombstones: number
  maxRetainedBytes: number
}

/** State of the table. */
export interface AttemptTableState {
  options: AttemptTableOptions
  entries: Map<string, AttemptEntry>
  retainedBytes: number
  /** Number of entries without output: barred or discarded. */
  tombstones: number
  liveCount: number
  nextSweepMs: number
}

/** Next state and the commands to execute. */
export interface AttemptTableStep {
  state: AttemptTableState
  commands: AttemptTableCommand[]
}

/** Maximum time between two sweeps of the table; less if a retention time is short. */
const MAX_SWEEP_INTERVAL_MS = 5000
/** Sweeps within the shortest of the retention and grace times. */
const SWEEPS_PER_RETENTION = 4

/**
 * @param options - retention times and limits
 * @returns a table without ids
 */
export function createAttemptTable (options: AttemptTableOptions): AttemptTableState {
  return { options, entries: new Map(), retainedBytes: 0, tombstones: 0, liveCount: 0, nextSweepMs: 0 }
}

type Handler<Kind extends AttemptTableEvent['kind']> = (state: AttemptTableState, event: Extract<AttemptTableEvent, { kind: Kind }>) => AttemptTableCommand[]

const HANDLERS: { [Kind in AttemptTableEvent['kind']]: Handler<Kind> } = {
  deliver: (state, event) => {
    if (event.incarnation !== state.options.incarnation) return [refuse(event.id, 'wrong_incarnation')]
    const entry = state.entries.get(event.id)
    if (entry !== undefined) return [commandForKnown(event.id, entry)]
    return hasTombstoneCapacity(state) ? [{ kind: 'decideAdmission', id: event.id }] : [refuse(event.id, 'wrong_incarnation')]
  },
  resume: (state, event) => {
    if (event.incarnation !== state.options.incarnation) return [refuse(event.id, 'wrong_incarnation')]
    const entry = state.entries.get(event.id)
    if (entry !== undefined) return [commandForKnown(event.id, entry)]
    return [refuse(event.id, barId(state, event.id, event.nowMs) ? 'barred' : 'wrong_incarnation')]
  },
  cancel: onCancel,
  accepted: (state, event) => {
    invariant(!state.entries.has(event.id), 'attempt_accepted_once', () => `"${event.id}" is known already`)
    state.liveCount++
    state.entries.set(event.id, { state: 'queued', deadlineMs: event.deadlineMs, stopsUnread: event.stopsUnread, readers: 0, unreadSinceMs: event.nowMs })
    return []
  },
  refused: (state, event) => {
    invariant(!state.entries.has(event.id), 'refused_attempt_unknown', () => `"${event.id}" is known already`)
    barId(state, event.id, event.nowMs)
    return []
  },
  started: (state, event) => {
    const entry = state.entries.get(event.id)
    invariant(entry?.state !== 'barred', 'barred_never_starts', () => `"${event.id}" was barred`)
    invariant(entry?.state === 'queued', 'attempt_runs_once', () => `"${event.id}" is ${entry?.state ?? 'unknown'}`)
    entry.state = 'running'
    return []
  },
  ended: onEnded,
  readerOpened: (state, event) => {
    const entry = state.entries.get(event.id)
    if (entry !== undefined && entry.state !== 'barred') entry.readers++
    return []
  },
  readerClosed: onReaderClosed,
  tick: onTick
}

/**
 * @param state - the table; updated in place
 * @param event - the event to apply
 * @returns the table and the commands to execute
 */
export function attemptTableStep (state: AttemptTableState, event: AttemptTableEvent): AttemptTableStep {
  const handle = HANDLERS[event.kind] as Handler<typeof event.kind>
  const commands = handle(state, event as never)
  return { state, commands }
}

function isLive (entry: AttemptEntry): entry is LiveEntry {
  return entry.state === 'queued' || entry.state === 'running'
}

function refuse (id: string, reason: 'barred' | 'wrong_incarnation'): AttemptTableCommand {
  return { kind: 'refuse', id, reason }
}

function commandForKnown (id: string, entry: AttemptEntry): AttemptTableCommand {
  if (entry.state === 'barred') return refuse(id, 'barred')
  return entry.state === 'discarded' ? { kind: 'outputDiscarded', id } : { kind: 'attach', id }
}

function hasTombstoneCapacity (state: AttemptTableState): boolean {
  return state.tombstones < state.options.maxTombstones
}

// At the limit of tombstones, an id can't be prevented from starting later, so that it must not be reported as not run.
// The peer then gets the same response as from an agent that was restarted.
function barId (state: AttemptTableState, id: string, nowMs: number): boolean {
  if (!hasTombstoneCapacity(state)) return false
  state.entries.set(id, { state: 'barred', untilMs: nowMs + state.options.barRetentionMs })
  state.tombstones++
  return true
}

function onCancel (state: AttemptTableState, event: Extract<AttemptTableEvent, { kind: 'cancel' }>): AttemptTableCommand[] {
  const { id } = event
  const entry = state.entries.get(id)
  if (entry === undefined) {
    return [{ kind: 'cancelResponse', id, outcome: barId(state, id, event.nowMs) ? 'barred' : 'unknown' }]
  }
  if (entry.state === 'barred') return [{ kind: 'cancelResponse', id, outcome: 'barred' }]
  if (isLive(entry)) {
    return [{ kind: 'stop', id, reason: 'cancelled' }, { kind: 'cancelResponse', id, outcome: 'cancelled' }]
  }
  return [{ kind: 'cancelResponse', id, outcome: 'finished' }]
}

function onEnded (state: AttemptTableState, event: Extract<AttemptTableEvent, { kind: 'ended' }>): AttemptTableCommand[] {
  const entry = state.entries.get(event.id)
  invariant(entry?.state === 'queued' || entry?.state === 'running', 'attempt_ends_once', () => `"${event.id}" is ${entry?.state ?? 'unknown'}`)
  state.liveCount--
  state.retainedBytes += event.totalBytes
  // Reinserted, so that ended entries are in the order in which they ended.
  state.entries.delete(event.id)
  state.entries.set(event.id, {
    state: 'ended',
    outcome: event.outcome,
    totalBytes: event.totalBytes,
    endedAtMs: event.nowMs,
    deadlineMs: entry.deadlineMs,
    readers: entry.readers,
    delivered: false,
    untilMs: event.nowMs + state.options.attemptRetentionMs
  })
  return state.retainedBytes > state.options.maxRetainedBytes ? discardOldestOutputs(state, event.nowMs, event.id) : []
}

function discardOldestOutputs (state: AttemptTableState, nowMs: number, exceptId: string): AttemptTableCommand[] {
  const commands: AttemptTableCommand[] = []
  for (const [id, entry] of state.entries) {
    if (state.retainedBytes <= state.options.maxRetainedBytes) break
    if (entry.state === 'ended' && entry.readers === 0 && id !== exceptId) commands.push(discardOutput(state, id, entry, nowMs))
  }
  return commands
}

// Keeps the id until no resumption can arrive any more. Without the entry, a resumption would be refused as `barred`, and
// the gateway would report to its caller that the attempt did not run.
function discardOutput (state: AttemptTableState, id: string, entry: EndedEntry, nowMs: number): AttemptTableCommand {
  state.retainedBytes -= entry.totalBytes
  state.tombstones++
  entry.state = 'discarded'
  entry.untilMs = Math.max(nowMs, entry.deadlineMs) + state.options.barRetentionMs
  return { kind: 'discardOutput', id }
}

function onReaderClosed (state: AttemptTableState, event: Extract<AttemptTableEvent, { kind: 'readerClosed' }>): AttemptTableCommand[] {
  const entry = state.entries.get(event.id)
  if (entry === undefined || entry.state === 'barred') return []
  entry.readers--
  invariant(entry.readers >= 0, 'readers_not_negative', () => `"${event.id}" has ${entry.readers} readers`)
  if (isLive(entry)) entry.unreadSinceMs = event.nowMs
  else entry.delivered ||= event.delivered
  return []
}

function onTick (state: AttemptTableState, event: Extract<AttemptTableEvent, { kind: 'tick' }>): AttemptTableCommand[] {
  if (event.nowMs < state.nextSweepMs) return []
  const { options } = state
  const shortestMs = Math.min(options.attemptRetentionMs, options.barRetentionMs, options.readerGraceMs)
  state.nextSweepMs = event.nowMs + Math.min(MAX_SWEEP_INTERVAL_MS, shortestMs / SWEEPS_PER_RETENTION)
  const commands: AttemptTableCommand[] = []
  for (const [id, entry] of state.entries) sweepEntry(state, id, entry, event.nowMs, commands)
  return commands
}

function sweepEntry (state: AttemptTableState, id: string, entry: AttemptEntry, nowMs: number, commands: AttemptTableCommand[]): void {
  if (isLive(entry)) {
    const isUnread = entry.readers === 0 && nowMs - entry.unreadSinceMs >= state.options.readerGraceMs
    if (isUnread && entry.stopsUnread) commands.push({ kind: 'stop', id, reason: 'unread' })
    return
  }
  if (entry.untilMs > nowMs) return
  if (entry.state === 'ended') {
    if (entry.readers === 0) commands.push(discardOutput(state, id, entry, nowMs))
    return
  }
  state.entries.delete(id)
  state.tombstones--
}
