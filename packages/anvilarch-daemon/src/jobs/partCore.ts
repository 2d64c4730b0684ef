/**
 * The commits of one leased part: state and event in, next state and commands out.
 *
 * One commit is under way at a time. Its content never changes: it is sent again under the same id until its outcome is
 * known, so a lost reply is settled and never guessed at. Each try at other content takes a new segment number, because
 * an object name must stand for one content only.
 */
import { invariant } from 'anvilarch-utils'
import { type FinishedItem, segmentRefs, withSegments } from './segments'
import { isPartDone, type PartRow, type SegmentRef } from './rows'

/** Why a holder is through with a part. `broken`: an invariant did not hold, so it stops where it stands. */
export type PartEnd = 'finished' | 'job_ended' | 'taken_over' | 'released' | 'broken'

/** A commit under way. */
export interface PendingCommit {
  kind: 'segment' | 'release'
  commitId: string
  /** Row of the part as it is to be. */
  row: PartRow
  items: FinishedItem[]
  segment: number
  segments: SegmentRef[]
  /** A row must not name an object that is not there, so objects are written first. */
  stage: 'writing' | 'committing'
}

/** What a holder knows of its part. */
export interface PartState {
  holder: string
  row: PartRow
  version: number
  jobVersion: number
  pending?: PendingCommit
  nextSegment: number
  /** The lease lapsed on the holder's own clock; nothing new is committed until the rows were read again. */
  isLeaseUncertain: boolean
  releaseRequested: boolean
  end?: PartEnd
}

/** The rows of job and part as the table has them. */
export interface CurrentRows {
  /** Null when the row is absent. */
  part: { version: number, row: PartRow } | null
  job: { version: number, active: boolean }
}

/**
 * What happens to a part. `commitId` is a fresh id, used only when a new commit is made; `sentId` names the commit that
 * was answered, since the reply to an earlier one may come late.
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

/** What the holder is to do. */
export type PartCommand =
  | { type: 'write_objects', pending: PendingCommit }
  | { type: 'commit', pending: PendingCommit, partVersion: number, jobVersion: number }
  | { type: 'reread' }
  /** The results of these items are in the table; their lines can be let go. */
  | { type: 'settled', items: FinishedItem[] }
  | { type: 'ended', end: PartEnd }

/** Next state and what to do. */
export interface PartStep {
  state: PartState
  commands: PartCommand[]
}

/**
 * @param holder - instance that leased the part
 * @param row - as committed by the claim
 * @param version - of the part row
 * @param jobVersion - of the job row
 * @returns state of a part that was just leased
 */
export function claimedPart (holder: string, row: PartRow, version: number, jobVersion: number): PartState {
  invariant(row.holder === holder, 'claim_names_holder', () => `claimed for "${row.holder}" by "${holder}"`)
  return { holder, row, version, jobVersion, nextSegment: 0, isLeaseUncertain: false, releaseRequested: false }
}

/**
 * @param state - of the part
 * @param event - what happened
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

/** The commit under way took effect. */
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

/** The rows were read, because a commit met a conflict or because the lease had lapsed. */
function resolve (state: PartState, rows: CurrentRows, commitId: string, isRejected: boolean): PartStep {
  const { part } = rows
  if (part !== null) {
    invariant(part.row.epoch >= state.row.epoch, 'part_epoch_grows', () => `epoch ${state.row.epoch} became ${part.row.epoch}`)
  }
  // Whether the pending commit took effect is looked at first: its results are in the table also when the job has ended since.
  if (part !== null && isPendingIn(state, part.row)) return settle(state, part.version)
  if (!rows.job.active) return endPart(state, 'job_ended')
  if (part === null || part.row.epoch !== state.row.epoch || part.row.holder !== state.holder) return endPart(state, 'taken_over')
  invariant(part.version === state.version, 'part_has_one_writer', () => `version ${state.version} became ${part.version} under one epoch`)
  return resend(state, rows.job.version, commitId, isRejected)
}

/** A commit that was refused, or whose condition no longer holds, can't take effect any more: a new id is needed. */
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
