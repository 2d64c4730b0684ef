/**
 * Pure state machine of the commits of one leased part: takes a state and an event, returns the next state and commands.
 *
 * At most one commit is in progress. Its content never changes: it is resent under the same id until its outcome is known,
 * so that a lost reply leaves no doubt whether it took effect. Other content gets a new segment number, because an object
 * name must always refer to the same content.
 */
import { invariant } from 'anvilarch-utils'
import { type FinishedItem, segmentRefs, withSegments } from './segments'
import { isPartDone, type PartRow, type SegmentRef } from './rows'

/** Why a holder no longer runs a part. `broken`: an internal error or a violated invariant, after which nothing more is committed. */
export type PartEnd = 'finished' | 'job_ended' | 'taken_over' | 'released' | 'broken'

/** A commit in progress. */
export interface PendingCommit {
  kind: 'segment' | 'release'
  commitId: string
  /** Row of the part after the commit. */
  row: PartRow
  items: FinishedItem[]
  segment: number
  segments: SegmentRef[]
  /** Objects are written before the row, since a row must not reference a missing object. */
  stage: 'writing' | 'committing'
}

/** State of a leased part at its holder. */
export interface PartState {
  holder: string
  row: PartRow
  version: number
  jobVersion: number
  pending?: PendingCommit
  nextSegment: number
  /** The lease has lapsed by the holder's own clock. Nothing new is committed until the rows have been read again. */
  isLeaseUncertain: boolean
  releaseRequested: boolean
  end?: PartEnd
}

/** The rows of job and part, as read from the table. */
export interface CurrentRows {
  /** Null when the row is absent. */
  part: { version: number, row: PartRow } | null
  job: { version: number, active: boolean }
}

/**
 * Events of a part. `commitId` is a new id, used only when the event leads to a new commit. `sentId` is the id of the commit
 * that the reply belongs to, since the reply to an earlier commit may arrive late.
 */
export type PartEvent =
  | { type: 'flush', items: FinishedItem[], commitId: string }
  | { type: 'objects_written' }
  | { type: 'committed', sentId: string, version: number }
  | { type: 'conflict', sentId: string, rows: CurrentRows, commitId: string }
  | { type: 'lapsed' }
  | { type: 'reread', rows: CurrentRows, commitId: string }
  | { type: 'job_ended' }
  | { type: 'release', commitId: string }

/** Commands to the holder. */
export type PartCommand =
  | { type: 'write_objects', pending: PendingCommit }
  | { type: 'commit', pending: PendingCommit, partVersion: number, jobVersion: number }
  | { type: 'reread' }
  /** The results of these items are committed; their buffered lines can be discarded. */
  | { type: 'settled', items: FinishedItem[] }
  | { type: 'ended', end: PartEnd }

/** Next state and the commands to execute. */
export interface PartStep {
  state: PartState
  commands: PartCommand[]
}

/**
 * @param holder - instance that claimed the part
 * @param row - part row as committed by the claim
 * @param version - version of the part row
 * @param jobVersion - version of the job row
 * @returns initial state of the claimed part
 */
export function claimedPart (holder: string, row: PartRow, version: number, jobVersion: number): PartState {
  invariant(row.holder === holder, 'claim_names_holder', () => `claimed for "${row.holder}" by "${holder}"`)
  return { holder, row, version, jobVersion, nextSegment: 0, isLeaseUncertain: false, releaseRequested: false }
}

/**
 * @param state - state of the part
 * @param event - event to apply
 * @returns next state and commands
 */
export function stepPart (state: PartState, event: PartEvent): PartStep {
  if (state.end !== undefined) return { state, commands: [] }
  const handle = HANDLERS[event.type] as (state: PartState, event: PartEvent) => PartStep
  return handle(state, event)
}

type Handlers = { [Type in PartEvent['type']]: (state: PartState, event: Extract<PartEvent, { type: Type }>) => PartStep }

const HANDLERS: Handlers = {
  flush: (state, event) => {
    if (state.pending !== undefined || state.isLeaseUncertain || event.items.length === 0) return { state, commands: [] }
    const pending = segmentCommit(state, event.items, event.commitId)
    return { state: { ...state, pending, nextSegment: state.nextSegment + 1 }, commands: [{ type: 'write_objects', pending }] }
  },
  objects_written: state => {
    if (state.pending?.stage !== 'writing') return { state, commands: [] }
    return sendCommit({ ...state, pending: { ...state.pending, stage: 'committing' } })
  },
  committed: (state, event) => {
    return event.sentId === state.pending?.commitId ? settle(state, event.version) : { state, commands: [] }
  },
  conflict: (state, event) => {
    return event.sentId === state.pending?.commitId ? resolve(state, event.rows, event.commitId, true) : { state, commands: [] }
  },
  lapsed: state => ({ state: { ...state, isLeaseUncertain: true }, commands: [{ type: 'reread' }] }),
  reread: (state, event) => resolve({ ...state, isLeaseUncertain: false }, event.rows, event.commitId, false),
  job_ended: state => endPart(state, 'job_ended'),
  release: (state, event) => {
    if (state.pending !== undefined || state.isLeaseUncertain) return { state: { ...state, releaseRequested: true }, commands: [] }
    return releaseCommit(state, event.commitId)
  }
}

function segmentCommit (state: PartState, items: FinishedItem[], commitId: string): PendingCommit {
  const segment = state.nextSegment
  const segments = segmentRefs(items, state.row.epoch, segment)
  const row = withSegments(state.row, items, segments)
  const holder = isPartDone(row) ? '' : state.holder
  return { kind: 'segment', commitId, row: { ...row, holder }, items, segment, segments, stage: 'writing' }
}

function releaseCommit (state: PartState, commitId: string): PartStep {
  const pending: PendingCommit = {
    kind: 'release', commitId, row: { ...state.row, holder: '' }, items: [], segment: -1, segments: [], stage: 'committing'
  }
  return sendCommit({ ...state, pending })
}

function sendCommit (state: PartState): PartStep {
  const { pending, version, jobVersion } = state
  if (pending === undefined) return { state, commands: [] }
  return { state, commands: [{ type: 'commit', pending, partVersion: version, jobVersion }] }
}

/** Applies the commit in progress, which took effect. */
function settle (state: PartState, version: number): PartStep {
  const { pending } = state
  if (pending === undefined) return { state, commands: [] }
  const next: PartState = { ...state, row: pending.row, version, pending: undefined }
  if (pending.kind === 'release') return endPart(next, 'released')
  const settled: PartCommand = { type: 'settled', items: pending.items }
  if (!isPartDone(pending.row)) return { state: next, commands: [settled] }
  const ended = endPart(next, 'finished')
  return { state: ended.state, commands: [settled, ...ended.commands] }
}

/** Compares the state with rows that were read after a conflict or after the lease had lapsed. */
function resolve (state: PartState, rows: CurrentRows, commitId: string, isRejected: boolean): PartStep {
  const { part } = rows
  if (part !== null) {
    invariant(part.row.epoch >= state.row.epoch, 'part_epoch_grows', () => `epoch ${state.row.epoch} became ${part.row.epoch}`)
  }
  // Checked first: a pending commit that took effect counts, even if the job has ended since.
  if (part !== null && isPendingIn(state, part.row)) return settle(state, part.version)
  if (!rows.job.active) return endPart(state, 'job_ended')
  if (part === null || part.row.epoch !== state.row.epoch || part.row.holder !== state.holder) return endPart(state, 'taken_over')
  invariant(part.version === state.version, 'part_has_one_writer', () => `version ${state.version} became ${part.version} under one epoch`)
  return resend(state, rows.job.version, commitId, isRejected)
}

/** Resends the pending commit. A rejected commit, or one with an outdated condition, can never take effect and gets a new id. */
function resend (state: PartState, jobVersion: number, commitId: string, isRejected: boolean): PartStep {
  const { pending } = state
  if (pending === undefined) return { state: { ...state, jobVersion }, commands: [] }
  const isNew = isRejected || jobVersion !== state.jobVersion
  const next: PartState = { ...state, jobVersion, pending: isNew ? { ...pending, commitId } : pending }
  if (pending.stage === 'committing') return sendCommit(next)
  return { state: next, commands: [{ type: 'write_objects', pending: next.pending ?? pending }] }
}

function isPendingIn (state: PartState, row: PartRow): boolean {
  const { pending } = state
  if (pending === undefined || row.epoch !== state.row.epoch) return false
  if (pending.kind === 'release') return row.holder === ''
  return row.segments.some(known => known.epoch === row.epoch && known.segment === pending.segment)
}

function endPart (state: PartState, end: PartEnd): PartStep {
  return { state: { ...state, end, pending: undefined }, commands: [{ type: 'ended', end }] }
}
