/** An in-memory metadata store on a fake clock, whose responses may be lost and whose writes may be applied late. */
import type { FakeClock } from 'anvilarch-utils'
import { Err, Ok } from 'ts-results'
import { createWorkTable, type WorkTable } from '../../jobs/workTable'
import { CLAIM_TABLE, JOB_TABLE, MEMBER_TABLE } from '../../jobs/jobRows'
import type { Reservation } from '../../jobs/quota'
import type { JobRecord, MemberRecord } from '../../jobs/types'
import type { MetadataStore, RowChange, RowKey, StoredRow, Transaction, TransactionOutcome } from '../../store/types'
import type { ProcessClock } from './processClock'

/**
 * Outcome of a call. `unanswered`: applied, without a response. `late`: applied seconds later, without a response. `lost`: neither
 * applied nor answered.
 */
export type CallOutcome = 'done' | 'refused' | 'unanswered' | 'late' | 'lost'

/** The in-memory store. */
export interface MemoryStore {
  client: MetadataStore
  rows: () => StoredRow[]
  row: (key: RowKey) => StoredRow | undefined
  object: (name: string) => Buffer | undefined
  putObject: (name: string, bytes: Buffer) => void
  put: (key: RowKey, record: JobRecord | MemberRecord | Reservation[]) => void
  /** Tables of the transactions that got no response, without repetition. */
  unansweredTables: Set<string>
  /** @returns a local copy of the work that receives each change after the lag */
  replicate: (process: Pick<ProcessClock, 'whenRunning'>, lagMs: number) => WorkReplica
}

/** A local copy of the work. */
export interface WorkReplica {
  work: WorkTable
  /** The copy receives no changes for this long; the store no longer has those that it missed, so the copy is listed again. */
  loseHistory: (durationMs: number) => void
}

const RESPONSE_DELAY_MS = 20

/** Limit of the value of a row. */
export const MAX_ROW_BYTES = 65_536

/** Timeout of a call without a response. */
const TIMEOUT_MS = 1000

/** Longer than the timeout, so that the caller may have written again by then. */
const LATE_MS = 2500

/**
 * @param clock - clock of the test
 * @param nextOutcome - called once for each write and each read of a row
 * @returns a store without rows
 */
export function createMemoryStore (clock: FakeClock, nextOutcome: () => CallOutcome): MemoryStore {
  const rows = new Map<string, StoredRow>()
  const objects = new Map<string, Buffer>()
  const subscribers: Array<(change: RowChange) => void> = []
  const changes: RowChange[] = []
  const unansweredTables = new Set<string>()
  let version = 0
  const idOf = (key: RowKey): string => `${key.table}|${key.partition}|${key.key}`
  const rowOf = (key: RowKey): StoredRow | undefined => rows.get(idOf(key))
  const publish = (change: RowChange): void => {
    changes.push(change)
    subscribers.forEach(subscriber => subscriber(change))
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
      publish({ change: 'put', row })
    }
    for (const key of removes) if (rows.delete(idOf(key))) publish({ change: 'removed', key, version })
    return { outcome: 'committed', version }
  }

  const commit = async (transaction: Transaction): Promise<TransactionOutcome> => {
    const callOutcome = nextOutcome()
    await after(RESPONSE_DELAY_MS)
    if (transaction.puts.some(put => put.value.length > MAX_ROW_BYTES)) return { outcome: 'refused', reason: 'row too large' }
    if (callOutcome === 'done') {
      const outcome = apply(transaction)
      await after(RESPONSE_DELAY_MS)
      return outcome
    }
    if (callOutcome === 'refused') return { outcome: 'refused', reason: 'busy' }
    for (const row of [...transaction.puts, ...transaction.removes]) unansweredTables.add(row.table)
    if (callOutcome === 'unanswered') apply(transaction)
    if (callOutcome === 'late') clock.after(LATE_MS, () => { apply(transaction) })
    await after(TIMEOUT_MS)
    return { outcome: 'unknown', reason: 'timeout' }
  }

  const put: MemoryStore['put'] = (key, record) => {
    apply({ conditions: [], puts: [{ ...key, value: Buffer.from(JSON.stringify(record)) }], removes: [] })
  }

  const client: MetadataStore = {
    commit,
    readRows: async ({ table, partition, from = '', to = '\uffff' }) => {
      const callOutcome = nextOutcome()
      await after(RESPONSE_DELAY_MS)
      if (callOutcome !== 'done') return Err({ reason: 'busy' })
      const found = [...rows.values()].filter(row => row.table === table && row.partition === partition && row.key >= from && row.key < to)
      return Ok({ rows: found, version })
    },
    readFeed: async () => Err({ reason: 'not served here' }),
    writeObject: async (name, bytes) => {
      const callOutcome = nextOutcome()
      await after(RESPONSE_DELAY_MS)
      if (callOutcome === 'refused') return 'refused'
      if (callOutcome === 'lost' || callOutcome === 'late') return 'unknown'
      const exists = objects.has(name)
      if (!exists) objects.set(name, bytes)
      return callOutcome === 'unanswered' ? 'unknown' : exists ? 'exists' : 'stored'
    },
    readObject: async name => {
      await after(RESPONSE_DELAY_MS)
      return Ok(objects.get(name))
    },
    removeObject: async name => {
      const callOutcome = nextOutcome()
      await after(RESPONSE_DELAY_MS)
      if (callOutcome === 'done' || callOutcome === 'unanswered') objects.delete(name)
      return callOutcome === 'done'
    },
    storeNowMs: () => clock.nowMs(),
    lastFailureMs: () => undefined,
    lastOutageMs: () => 0,
    answerAgeMs: () => 0
  }

  const rowsOf = (table: string): StoredRow[] => [...rows.values()].filter(row => row.table === table)

  const replicate = (process: Pick<ProcessClock, 'whenRunning'>, lagMs: number): WorkReplica => {
    const work = createWorkTable()
    const listeners = new Map([[JOB_TABLE, work.listeners.jobs], [CLAIM_TABLE, work.listeners.claims]])
    let isHistoryLost = false
    const listMembers = (): void => work.listeners.members.onListing(rowsOf(MEMBER_TABLE), version)
    const afterLag = (action: () => void): void => { clock.after(lagMs, () => process.whenRunning(action)) }
    const receive = (change: RowChange): void => {
      listeners.get(change.change === 'put' ? change.row.table : change.key.table)?.onChange(change)
      listMembers()
    }
    for (const row of rows.values()) listeners.get(row.table)?.onChange({ change: 'put', row })
    listMembers()
    subscribers.push(change => { if (!isHistoryLost) afterLag(() => receive(change)) })
    /** The rows are read some time after the version from which the changes are sent again. */
    const relist = (): void => {
      const sinceVersion = version
      clock.after(RESPONSE_DELAY_MS, () => {
        isHistoryLost = false
        for (const [table, listener] of listeners) {
          const listed = rowsOf(table)
          afterLag(() => listener.onListing(listed, sinceVersion))
        }
        for (const change of changes.filter(change => versionOf(change) > sinceVersion)) afterLag(() => receive(change))
      })
    }
    return {
      work,
      loseHistory: durationMs => {
        isHistoryLost = true
        clock.after(durationMs, relist)
      }
    }
  }

  return { client, unansweredTables, rows: () => [...rows.values()], row: rowOf, object: name => objects.get(name), putObject: (name, bytes) => { objects.set(name, bytes) }, put, replicate }
}

function versionOf (change: RowChange): number {
  return change.change === 'put' ? change.row.version : change.version
}
