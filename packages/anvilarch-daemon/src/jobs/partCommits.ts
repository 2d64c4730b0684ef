/** Executes the commands of the state machine in `partCore`: writes segments, commits and rereads rows. */
import { randomUUID } from 'node:crypto'
import { type CommitResult, OBJECT_NAMES, ROW_KEYS, type Row } from 'anvilarch-protocol'
import { sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import type { Heartbeat } from '../leases/types'
import { jobMetrics } from './jobMetrics'
import { type CurrentRows, type PartCommand, type PartEnd, type PartEvent, type PartState, type PendingCommit, stepPart } from './partCore'
import { type JobRow, parseRow, type PartRow, type SegmentRef } from './rows'
import type { FinishedItem } from './segments'

/** Options of `startPartCommits`. */
export interface PartCommitsOptions {
  context: DaemonContext
  heartbeat: Heartbeat
  jobId: string
  part: number
  /** State after the claim. */
  state: PartState
  /** `lapses()` of the heartbeat just before the part was claimed. */
  lapses: number
  /** Returns the result line of a finished item. */
  lineOf: (index: number) => Buffer
  onSettled: (items: FinishedItem[]) => void
  onEnded: (end: PartEnd) => void
}

/** The commits of one part. */
export interface PartCommits {
  /** Writes and commits finished items; has no effect unless `isIdle`. */
  flush: (items: FinishedItem[]) => void
  /** Whether a new flush would be accepted now. */
  isIdle: () => boolean
  /** Whether the holder may start items and commit: its lease is valid and its rows were read after the last lapse. */
  isLeaseConfirmed: () => boolean
  /** Checks whether the lease has lapsed since the rows were read. */
  checkLease: () => void
  jobEnded: () => void
  release: () => void
  row: () => PartRow
}

const FIRST_BACKOFF_MS = 250
const MAX_BACKOFF_MS = 4_000
const BACKOFF_JITTER = 0.3
/** Interval at which a holder without a valid lease checks it again. */
const LEASE_WAIT_MS = 200

/**
 * @param options - the claimed part and its callbacks
 * @returns the commits of the part
 */
export function startPartCommits (options: PartCommitsOptions): PartCommits {
  const { context, heartbeat, jobId, part } = options
  const { clock, platform, random } = context
  const metrics = jobMetrics(context.metrics)
  const partKey = ROW_KEYS.part(jobId, part)
  const jobKey = ROW_KEYS.job(jobId)
  let state = options.state
  let confirmedLapses = options.lapses
  /** Number of the latest write, commit or reread. An older operation stops when it finds that its number is outdated. */
  let latestOperation = 0

  const isLeaseConfirmed = (): boolean => heartbeat.holdsLease() && heartbeat.lapses() === confirmedLapses && !state.isLeaseUncertain

  const dispatch = (event: PartEvent): void => {
    const step = stepPart(state, event)
    state = step.state
    for (const command of step.commands) execute(command)
  }

  const execute = (command: PartCommand): void => {
    const handle = executors[command.type] as (command: PartCommand) => void
    handle(command)
  }

  const executors: { [Type in PartCommand['type']]: (command: Extract<PartCommand, { type: Type }>) => void } = {
    write_objects: command => { writeObjects(command.pending).catch(stopOnFault) },
    commit: command => { sendCommit(command).catch(stopOnFault) },
    reread: () => { rereadRows().catch(stopOnFault) },
    settled: command => {
      context.timeline.record('jobs.segment_committed', { jobId, detail: { part, epoch: state.row.epoch, items: command.items.length } })
      options.onSettled(command.items)
    },
    ended: command => { options.onEnded(command.end) }
  }

  /** Ends the part after an internal error. Errors of the platform are retried by `retryWhileCurrent` and do not get here. */
  const stopOnFault = (error: unknown): void => {
    context.logger.error('a part was stopped by an error', { jobId, part, error: String(error) })
    if (state.end !== undefined) return
    state = { ...state, end: 'broken', pending: undefined }
    options.onEnded('broken')
  }

  const isCurrent = (operationNumber: number): boolean => latestOperation === operationNumber && state.end === undefined

  /** Repeats an operation until it succeeds, or returns undefined once it is outdated. */
  const retryWhileCurrent = async <Value>(operationNumber: number, operation: () => Promise<Value>, needsLease: boolean): Promise<Value | undefined> => {
    let backoffMs = FIRST_BACKOFF_MS
    while (isCurrent(operationNumber)) {
      if (needsLease ? !isLeaseConfirmed() : !heartbeat.holdsLease()) {
        await sleep(clock, LEASE_WAIT_MS)
        continue
      }
      try {
        return await operation()
      } catch (error) {
        context.logger.debug('platform call of a part failed', { jobId, part, error: String(error) })
        await sleep(clock, random.jitter(backoffMs, BACKOFF_JITTER))
        backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS)
      }
    }
    return undefined
  }

  const writeSegment = async (pending: PendingCommit, ref: SegmentRef): Promise<void> => {
    const name = OBJECT_NAMES.result(jobId, part, ref.epoch, ref.segment, ref.kind)
    const lines = pending.items.filter(item => item.kind === ref.kind).map(item => options.lineOf(item.index))
    await platform.objects.putIfAbsent(name, Buffer.concat(lines))
  }

  const writeObjects = async (pending: PendingCommit): Promise<void> => {
    const operationNumber = ++latestOperation
    for (const ref of pending.segments) await retryWhileCurrent(operationNumber, async () => await writeSegment(pending, ref), true)
    if (latestOperation === operationNumber) dispatch({ type: 'objects_written' })
  }

  const sendCommit = async (command: Extract<PartCommand, { type: 'commit' }>): Promise<void> => {
    const operationNumber = ++latestOperation
    const { pending, partVersion, jobVersion } = command
    const conditions = [{ key: partKey, version: partVersion }]
    if (pending.kind === 'segment') conditions.push({ key: jobKey, version: jobVersion })
    const writes = [{ key: partKey, value: JSON.stringify(pending.row) }]
    const commit = { commitId: pending.commitId, conditions, writes }
    const result = await retryWhileCurrent(operationNumber, async () => await platform.table.commit(commit), true)
    if (result === undefined) return
    metrics.segments.inc({ outcome: result.outcome })
    await handleResult(pending.commitId, result)
  }

  const handleResult = async (sentId: string, result: CommitResult): Promise<void> => {
    if (result.outcome === 'committed') {
      dispatch({ type: 'committed', sentId, version: result.versions[partKey] })
      return
    }
    const rows = await readRows(latestOperation)
    if (rows !== undefined) dispatch({ type: 'conflict', sentId, rows, commitId: randomUUID() })
  }

  const readRows = async (operationNumber: number): Promise<CurrentRows | undefined> => {
    const rows = await retryWhileCurrent(operationNumber, async () => await platform.table.read([partKey, jobKey]), false)
    return rows === undefined ? undefined : toCurrentRows(rows)
  }

  const rereadRows = async (): Promise<void> => {
    const operationNumber = ++latestOperation
    for (let lapses = -1; lapses !== heartbeat.lapses();) {
      lapses = heartbeat.lapses()
      const rows = await readRows(operationNumber)
      if (rows === undefined) return
      confirmedLapses = lapses
      if (lapses === heartbeat.lapses()) dispatch({ type: 'reread', rows, commitId: randomUUID() })
    }
  }

  return {
    flush: items => { dispatch({ type: 'flush', items, commitId: randomUUID() }) },
    isIdle: () => state.pending === undefined && state.end === undefined && isLeaseConfirmed(),
    isLeaseConfirmed,
    checkLease: () => {
      if (heartbeat.lapses() !== confirmedLapses && !state.isLeaseUncertain) dispatch({ type: 'lapsed' })
    },
    jobEnded: () => { dispatch({ type: 'job_ended' }) },
    release: () => { dispatch({ type: 'release', commitId: randomUUID() }) },
    row: () => state.row
  }
}

function toCurrentRows ([part, job]: Array<Row | null>): CurrentRows {
  return {
    part: part === null ? null : { version: part.version, row: parseRow<PartRow>(part.value) },
    job: { version: job?.version ?? 0, active: job !== null && parseRow<JobRow>(job.value).state === 'in_progress' }
  }
}
