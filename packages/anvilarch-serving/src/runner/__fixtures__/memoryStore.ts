/** A metadata store in memory, on a fake clock, whose answers may be lost and whose writes may come late. */
import type { FakeClock } from 'anvilarch-utils'
import { Err, Ok } from 'ts-results'
import { createWorkTable, type WorkTable } from '../../jobs/workTable'
import { CLAIM_TABLE, JOB_TABLE, MEMBER_TABLE, encodeRecord } from '../../jobs/jobRows'
import type { JobRecord, MemberRecord } from '../../jobs/types'
import type { MetadataStore, RowChange, RowKey, StoredRow, Transaction, TransactionOutcome } from '../../store/types'
import type { ProcessClock } from './processClock'

/**
 * What becomes of a call. `unanswered`: done, without an answer. `late`: the same, seconds after it. `lost`: neither done nor
 * answered.
 */
export type CallOutcome = 'done' | 'refused' | 'unanswered' | 'late' | 'lost'

/** The store. */
export interface MemoryStore {
  client: MetadataStore
  rows: () => StoredRow[]
  row: (key: RowKey) => StoredRow | undefined
  object: (name: string) => Buffer | undefined
  putObject: (name: string, bytes: Buffer) => void
  put: (key: RowKey, record: JobRecord | MemberRecord) => void
  /** @returns a copy of the work that hears of each change after the lag */
  replicate: (process: Pick<ProcessClock, 'whenRunning'>, lagMs: number) => WorkReplica
}

/** A copy of the work. */
export interface WorkReplica {
  work: WorkTable
  /** The copy hears of no change for so long; then the store has forgotten what it missed, and the copy is listed anew. */
  loseHistory: (durationMs: number) => void
}

const ANSWER_MS = 20

/** A call without an answer is given up after this. */
const TIMEOUT_MS = 1000

/** Later than that, so that the caller may have written anew by then. */
const LATE_MS = 2500

/**
 * @param clock - of the test
 * @param nextFate - asked once for each write and each read of a row
 * @returns a store without rows
 */
export function createMemoryStore (clock: FakeClock, nextFate: () => CallOutcome): MemoryStore {
  const rows = new Map<string, StoredRow>()
  const objects = new Map<string, Buffer>()
  const followers: Array<(change: RowChange) => void> = []
  const changes: RowChange[] = []
  let version = 0
  const idOf = (key: RowKey): string => `${key.table}|${key.partition}|${key.key}`
  const rowOf = (key: RowKey): StoredRow | undefined => rows.get(idOf(key))
  const tell = (change: RowChange): void => {
    changes.push(change)
    followers.forEach(follower => follower(change))
  }
  const after = async (delayMs: number): Promise<void> => await new Promise(resolve => { clock.after(delayMs, resolve) })

  const apply = ({ conditions, puts, removes }: Transaction): TransactionOutcome => {
    if (conditions.some(condition => (rowOf(condition)?.version ?? 0) !== condition.version)) {
      return { outcome: 'conflict', rows: conditions.map(rowOf).filter(row => row !== undefined) }
    }
    version++
    for (const put of puts) {
      const row = { ...put, version }
      rows.set(idOf(put), row)
      tell({ change: 'put', row })
    }
    for (const key of removes) if (rows.delete(idOf(key))) tell({ change: 'removed', key, version })
    return { outcome: 'committed', version }
  }

  const commit = async (transaction: Transaction): Promise<TransactionOutcome> => {
    const fate = nextFate()
    await after(ANSWER_MS)
    if (fate === 'done') {
      const outcome = apply(transaction)
      await after(ANSWER_MS)
      return outcome
    }
    if (fate === 'refused') return { outcome: 'refused', reason: 'busy' }
    if (fate === 'unanswered') apply(transaction)
    if (fate === 'late') clock.after(LATE_MS, () => { apply(transaction) })
    await after(TIMEOUT_MS)
    return { outcome: 'unknown', reason: 'timeout' }
  }

  const put = (key: RowKey, record: JobRecord | MemberRecord): void => {
    apply({ conditions: [], puts: [encodeRecord(key, record)], removes: [] })
  }

  const client: MetadataStore = {
    commit,
    readRows: async ({ table, partition, from = '', to = '\uffff' }) => {
      const fate = nextFate()
      await after(ANSWER_MS)
      if (fate !== 'done') return Err({ reason: 'busy' })
      const found = [...rows.values()].filter(row => row.table === table && row.partition === partition && row.key >= from && row.key < to)
      return Ok({ rows: found, version })
    },
    readFeed: async () => Err({ reason: 'not served here' }),
    writeObject: async (name, bytes) => {
      const fate = nextFate()
      await after(ANSWER_MS)
      if (fate === 'refused') return 'refused'
      if (fate === 'lost' || fate === 'late') return 'unknown'
      const exists = objects.has(name)
      if (!exists) objects.set(name, bytes)
      return fate === 'unanswered' ? 'unknown' : exists ? 'exists' : 'stored'
    },
    readObject: async name => {
      await after(ANSWER_MS)
      return Ok(objects.get(name))
    },
    removeObject: async name => objects.delete(name),
    storeNowMs: () => clock.nowMs(),
    lastFailureMs: () => undefined,
    lastOutageMs: () => 0,
    lastSuccessMs: () => clock.nowMs()
  }

  const rowsOf = (table: string): StoredRow[] => [...rows.values()].filter(row => row.table === table)

  const follow = (process: Pick<ProcessClock, 'whenRunning'>, lagMs: number): WorkReplica => {
    const work = createWorkTable()
    const listeners = new Map([[JOB_TABLE, work.listeners.jobs], [CLAIM_TABLE, work.listeners.claims]])
    let isLost = false
    const listMembers = (): void => work.listeners.members.onListing(rowsOf(MEMBER_TABLE), version)
    const later = (action: () => void): void => { clock.after(lagMs, () => process.whenRunning(action)) }
    const hear = (change: RowChange): void => {
      listeners.get(change.change === 'put' ? change.row.table : change.key.table)?.onChange(change)
      listMembers()
    }
    for (const row of rows.values()) listeners.get(row.table)?.onChange({ change: 'put', row })
    listMembers()
    followers.push(change => { if (!isLost) later(() => hear(change)) })
    /** The rows are read some time after the version from which the changes are told again. */
    const list = (): void => {
      const sinceVersion = version
      clock.after(ANSWER_MS, () => {
        isLost = false
        for (const [table, listener] of listeners) {
          const listed = rowsOf(table)
          later(() => listener.onListing(listed, sinceVersion))
        }
        for (const change of changes.filter(change => versionOf(change) > sinceVersion)) later(() => hear(change))
      })
    }
    return {
      work,
      loseHistory: durationMs => {
        isLost = true
        clock.after(durationMs, list)
      }
    }
  }

  return { client, rows: () => [...rows.values()], row: rowOf, object: name => objects.get(name), putObject: (name, bytes) => { objects.set(name, bytes) }, put, replicate: follow }
}

function versionOf (change: RowChange): number {
  return change.change === 'put' ? change.row.version : change.version
}
