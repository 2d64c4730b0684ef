/** Metadata store on a fake clock whose responses may be lost or held back on their way, and read long after they were made. */
import { type Clock, type FakeClock, momentNow, type Random } from 'anvilarch-utils'
import { Err, Ok, type Result } from 'ts-results'
import { createResponseTimes } from '../../store/responseTimes'
import type { FeedRead, MetadataStore, RowChange, RowKey, RowsRead, StoredRow, StoreFailure, TransactionOutcome } from '../../store/types'

/** Link of a gateway to the store, and whether its process runs. */
export interface StoreLink {
  isConnected: () => boolean
  /** Calls the function at once, or as soon as the link is connected again. */
  whenConnected: (run: () => void) => void
  /** Calls the function at once, or as soon as the process runs again. */
  whenRunning: (run: () => void) => void
}

/** Store with rows in any table. */
export interface OriginStore {
  /** @returns the values that a row has had since a time, the one that it had then included */
  valuesSince: (key: RowKey, sinceMs: number) => Buffer[]
  put: (key: RowKey, value: Buffer) => void
  remove: (key: RowKey) => void
  /** @returns a client of a gateway */
  connect: (clock: Clock, link: StoreLink) => MetadataStore
  /** Sets the share of writes that are refused. */
  setWriteFailureShare: (share: number) => void
  costs: { storeWrites: number, storeReads: number }
}

const CALL_TIMEOUT_MS = 1500
const MAX_LEG_MS = 4

/** Share of the responses that are held back while the link works, as after lost packets, and for how long at most. */
const HELD_SHARE = 0.01
const MAX_HELD_MS = 3000

/** Share of the responses that arrive after a cut of the link; the others are lost. */
const KEPT_SHARE = 0.5

/** A process that was paused at the end of a timeout first reads what has arrived. */
const LATE_CHECK_MS = 100

interface Change extends RowKey {
  version: number
}

/** Options of `createOriginStore`. */
export interface OriginStoreOptions {
  clock: FakeClock
  /** Delays and losses. */
  random: Random
  /** Table of whose rows all values are kept. */
  keptTable: string
}

/**
 * @param options - clock and delays
 * @returns a store without rows
 */
export function createOriginStore (options: OriginStoreOptions): OriginStore {
  const { clock, random } = options
  const rows = new Map<string, StoredRow>()
  const changes: Change[] = []
  const former = new Map<string, Array<{ value: Buffer, writtenAtMs: number }>>()
  const openFeeds = new Set<() => void>()
  const costs = { storeWrites: 0, storeReads: 0 }
  let version = 0
  let writeFailureShare = 0

  const idOf = ({ table, partition, key }: RowKey): string => `${table}/${partition}/${key}`

  const record = (key: RowKey, row: StoredRow | undefined): void => {
    if (row === undefined) rows.delete(idOf(key))
    else rows.set(idOf(key), row)
    changes.push({ ...key, version })
    for (const check of [...openFeeds]) check()
  }

  const put = ({ table, partition, key }: RowKey, value: Buffer): void => {
    version++
    if (table === options.keptTable) former.set(idOf({ table, partition, key }), [...former.get(idOf({ table, partition, key })) ?? [], { value, writtenAtMs: clock.nowMs() }])
    record({ table, partition, key }, { table, partition, key, value, version })
  }

  const remove = ({ table, partition, key }: RowKey): void => {
    if (!rows.has(idOf({ table, partition, key }))) return
    version++
    record({ table, partition, key }, undefined)
  }

  /** @returns the last change of each row, so that a row that was written and removed has no content any more */
  const changesAfter = (table: string, afterVersion: number): RowChange[] => {
    const lastOf = new Map<string, Change>()
    for (let index = changes.length - 1; index >= 0 && changes[index].version > afterVersion; index--) {
      const change = changes[index]
      if (change.table === table && !lastOf.has(idOf(change))) lastOf.set(idOf(change), change)
    }
    return [...lastOf.values()].reverse().map(change => {
      const row = rows.get(idOf(change))
      return row === undefined ? { change: 'removed', key: change, version: change.version } : { change: 'put', row }
    })
  }

  const legMs = (): number => random.between(1, MAX_LEG_MS)

  /** Sends a call. `serve` gets a function that sends the response, and returns one that ends a call without response. */
  const send = async <Value>(link: StoreLink, timeoutMs: number, failed: Value, serve: (respond: (value: Value) => void) => void): Promise<Value> => await new Promise(resolve => {
    const deliver = (value: Value): void => {
      clock.after(random.next() < HELD_SHARE ? random.between(0, MAX_HELD_MS) : legMs(), () => {
        if (link.isConnected()) link.whenRunning(() => resolve(value))
        else if (random.next() < KEPT_SHARE) link.whenConnected(() => link.whenRunning(() => resolve(value)))
      })
    }
    clock.after(legMs(), () => { if (link.isConnected()) serve(deliver) })
    clock.after(timeoutMs, () => {
      const dueMs = clock.nowMs()
      link.whenRunning(() => { clock.after(clock.nowMs() > dueMs ? LATE_CHECK_MS : 0, () => resolve(failed)) })
    })
  })

  const waitForChange = (table: string, afterVersion: number, waitMs: number, onReady: () => void): void => {
    const end = (): void => {
      openFeeds.delete(check)
      timer.cancel()
      onReady()
    }
    const check = (): void => { if (changesAfter(table, afterVersion).length > 0) end() }
    const timer = clock.after(waitMs, end)
    openFeeds.add(check)
    check()
  }

  const apply = ({ conditions, puts }: Parameters<MetadataStore['commit']>[0]): TransactionOutcome => {
    if (conditions.some(condition => (rows.get(idOf(condition))?.version ?? 0) !== condition.version)) {
      return { outcome: 'conflict', rows: conditions.flatMap(condition => rows.get(idOf(condition)) ?? []) }
    }
    for (const row of puts) put(row, row.value)
    return { outcome: 'committed', version }
  }

  const connect = (ownClock: Clock, link: StoreLink): MetadataStore => {
    const times = createResponseTimes()
    type Timed<Value> = Value & { storeMs: number }

    /** Adds to a response when it was made, as the client of the store does. */
    const timed = async <Value extends object>(read: () => Promise<Result<Timed<Value>, StoreFailure>>): Promise<Result<Value, StoreFailure>> => {
      const sentAt = momentNow(ownClock)
      const result = await read()
      if (result.err) return result
      return Ok({ ...result.val, madeAt: times.madeAt({ storeMs: result.val.storeMs, sentAt, readAt: momentNow(ownClock) }) })
    }

    const failure = Err({ reason: 'timeout' })
    return {
      callTimeoutMs: CALL_TIMEOUT_MS,
      storeNowMs: () => clock.nowMs(),
      readRows: async ({ table, partition, from, to }) => {
        costs.storeReads++
        const isInRange = (row: StoredRow): boolean => row.table === table && row.partition === partition && (from === undefined || row.key >= from) && (to === undefined || row.key < to)
        return await timed<RowsRead>(async () => await send<Result<Timed<RowsRead>, StoreFailure>>(link, CALL_TIMEOUT_MS, failure, respond => {
          respond(Ok({ rows: [...rows.values()].filter(isInRange), version, storeMs: clock.nowMs() }))
        }))
      },
      readFeed: async (table, afterVersion, waitMs) => await timed<FeedRead>(async () => await send<Result<Timed<FeedRead>, StoreFailure>>(link, waitMs + CALL_TIMEOUT_MS, failure, respond => {
        waitForChange(table, afterVersion, waitMs, () => {
          respond(Ok({ outcome: 'changes', changes: changesAfter(table, afterVersion), version, storeMs: clock.nowMs() }))
        })
      })),
      commit: async transaction => {
        costs.storeWrites++
        const isRefused = random.next() < writeFailureShare
        return await send<TransactionOutcome>(link, CALL_TIMEOUT_MS, { outcome: 'unknown', reason: 'timeout' }, respond => {
          respond(isRefused ? { outcome: 'refused', reason: 'over_rate' } : apply(transaction))
        })
      }
    } as Partial<MetadataStore> as MetadataStore
  }

  const valuesSince: OriginStore['valuesSince'] = (key, sinceMs) => {
    const values = former.get(idOf(key)) ?? []
    return values.filter((_, index) => (values[index + 1]?.writtenAtMs ?? Infinity) >= sinceMs).map(({ value }) => value)
  }

  return { valuesSince, put, remove, connect, setWriteFailureShare: share => { writeFailureShare = share }, costs }
}
