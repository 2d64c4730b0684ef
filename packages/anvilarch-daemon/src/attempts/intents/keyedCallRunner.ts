/** Runs calls at most once per key of their caller, however often and through whichever gateway they are sent. */
import { LRUCache } from 'lru-cache'
import { ROW_KEYS, type Row } from 'anvilarch-protocol'
import { AnvilarchError, sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../../context'
import type { WorkResult } from '../types'
import { createCommitGroup } from './commitGroup'
import { DEFAULT_OPTIONS, type EntryOutcome } from './groupCommit'
import { decideFromRow } from './intentDecision'
import { parseIntentRow, recordedEnd } from './intentRows'
import { createOrphanSettler, DEFAULT_OPTIONS as DEFAULT_ORPHANS } from './orphans'
import type { KeyedCallRunner, IntentRow, KeyedCall, KeyedResult } from './types'

/** Retry-After value while the table does not respond. */
const TABLE_RETRY_AFTER_MS = 2_000

/** Maximum number of intents of other gateways whose first read is recorded. */
const MAX_REMEMBERED_INTENTS = 10_000

/** Interval and maximum number of tries to record the end of a call, and maximum number of waiting writes. */
const RECORD_RETRY_MS = 1_000
const MAX_RECORD_TRIES = 600
const MAX_WAITING_WRITES = 10_000

/** Maximum wait for a key to be freed before `not_run` is reported, since the caller may then send the call again at once. */
const MAX_FREE_KEY_WAIT_MS = 500

/**
 * @param context - table, clock and names
 * @returns a runner without calls in progress
 */
export function createKeyedCallRunner (context: Pick<DaemonContext, 'clock' | 'logger' | 'platform' | 'incarnation' | 'settings'>): KeyedCallRunner {
  const { clock, logger, incarnation } = context
  const { table } = context.platform
  const group = createCommitGroup({ ...DEFAULT_OPTIONS, clock, table, idPrefix: `intents-${incarnation}`, maxWaiting: MAX_WAITING_WRITES })
  const orphans = createOrphanSettler({ ...DEFAULT_ORPHANS, clock, table })
  const firstReadMsById = new LRUCache<string, number>({ max: MAX_REMEMBERED_INTENTS })
  const pendingRecords = new Set<Promise<void>>()
  let intentCount = 0
  group.onOrphan(commit => { orphans.add(commit) })

  const record = async (key: string, version: number, row: IntentRow, result: WorkResult): Promise<void> => {
    const end = recordedEnd(result)
    const value = end === undefined ? null : JSON.stringify({ ...row, end })
    for (let tries = 0; tries < MAX_RECORD_TRIES; tries++) {
      const settled = await group.write({ key, version, value })
      if (settled.outcome !== 'unsettled') return
      await sleep(clock, RECORD_RETRY_MS)
    }
    logger.warn('the end of a keyed call could not be recorded', { key, requestId: row.requestId })
  }

  const runNew = async (key: string, version: number, row: IntentRow, execute: () => Promise<WorkResult>): Promise<KeyedResult> => {
    const result = await execute()
    const recorded = record(key, version, row, result).finally(() => { pendingRecords.delete(recorded) })
    pendingRecords.add(recorded)
    if (recordedEnd(result) === undefined) await Promise.race([recorded, sleep(clock, MAX_FREE_KEY_WAIT_MS)])
    return { kind: 'ran', result }
  }

  const resultFromRow = (row: Row, call: KeyedCall): KeyedResult => {
    const intent = parseIntentRow(row.value)
    if (intent === undefined) return refuseUnreadable(call)
    const nowMs = clock.nowMs()
    const firstReadMs = firstReadMsById.get(intent.intentId) ?? nowMs
    firstReadMsById.set(intent.intentId, firstReadMs)
    return decideFromRow(intent, call, nowMs - firstReadMs)
  }

  const onIntentWritten = async (settled: EntryOutcome, key: string, row: IntentRow, call: KeyedCall, execute: () => Promise<WorkResult>): Promise<KeyedResult> => {
    switch (settled.outcome) {
      case 'committed': return await runNew(key, settled.version, row, execute)
      case 'conflict': return settled.row === undefined ? refuseUnavailable() : resultFromRow(settled.row, call)
      case 'unsettled': return refuseUnavailable()
    }
  }

  return {
    run: async (call, execute) => {
      const key = ROW_KEYS.intent(call.caller, encodeURIComponent(call.key))
      const row: IntentRow = {
        callHash: call.callHash,
        requestId: call.requestId,
        gateway: context.settings.name,
        intentId: `${incarnation}-${intentCount++}`,
        timeoutMs: call.timeoutMs,
        writtenAtMs: clock.wallMs()
      }
      const settled = await group.write({ key, version: 0, value: JSON.stringify(row) })
      return await onIntentWritten(settled, key, row, call, execute)
    },
    idle: async () => {
      await Promise.all(pendingRecords)
      await orphans.idle()
    }
  }
}

function refuseUnavailable (): KeyedResult {
  const error = new AnvilarchError('the table service does not answer, so that the Idempotency-Key could not be recorded; the call was not sent', {
    code: 'platform_unavailable', step: 'intents.record', peer: 'table', retryAfterMs: TABLE_RETRY_AFTER_MS
  })
  return { kind: 'refused', error }
}

function refuseUnreadable (call: KeyedCall): KeyedResult {
  const error = new AnvilarchError(`the record of Idempotency-Key "${call.key}" can't be read by this gateway`, {
    code: 'outcome_unknown', step: 'intents.read', ran: 'unknown'
  })
  return { kind: 'refused', error }
}
