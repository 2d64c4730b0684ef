/** Deletes intents after their retention, so that the table does not grow without limit. */
import { ROW_KEYS, type Row } from 'anvilarch-protocol'
import { type Clock, type LifecycleManager, type Random, sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../../context'
import { parseIntentRow } from './intentRows'

/** How long an intent is retained after its call was received. */
export const INTENT_RETENTION_MS = 24 * 3_600_000

/** Time between two pages; shorter after a page with rows to delete. */
const PAGE_INTERVAL_MS = 60_000
const BUSY_PAGE_INTERVAL_MS = 1_000
const PAGE_ROWS = 200
const INTERVAL_JITTER = 0.2

/** Prefix of all intent keys. */
const INTENT_PREFIX = ROW_KEYS.intent('', '').split('/')[0] + '/'

/** Position of a sweep. */
export interface SweepCursor {
  after: string | undefined
}

/**
 * Sweeps one page.
 *
 * @param context - table, clock and names
 * @param cursor - end of the previous page
 * @param commitId - id of the deleting commit
 * @returns the next cursor, and the number of deleted rows
 */
export async function sweepPage (context: Pick<DaemonContext, 'clock' | 'platform'>, cursor: SweepCursor, commitId: string): Promise<{ cursor: SweepCursor, deleted: number }> {
  const { table } = context.platform
  const page = await table.scan(INTENT_PREFIX, { after: cursor.after, limit: PAGE_ROWS })
  const expired = page.rows.filter(row => isExpired(row, context.clock))
  if (expired.length > 0) {
    // A row that changed meanwhile makes the whole commit a conflict; the next round finds the other rows again.
    await table.commit({
      commitId,
      conditions: expired.map(({ key, version }) => ({ key, version })),
      writes: expired.map(({ key }) => ({ key, value: null }))
    })
  }
  return { cursor: { after: page.next }, deleted: expired.length }
}

function isExpired (row: Row, clock: Clock): boolean {
  const intent = parseIntentRow(row.value)
  return intent !== undefined && clock.wallMs() - intent.writtenAtMs > INTENT_RETENTION_MS
}

/**
 * Sweeps page after page. Gateways start at random positions, so that they do not all delete the same rows.
 *
 * @param context - table, clock, random numbers and names
 * @param lifecycle - stops the sweep
 */
export async function startIntentSweep (context: DaemonContext, lifecycle: LifecycleManager): Promise<void> {
  const { clock, random, logger } = context
  let cursor: SweepCursor = { after: `${INTENT_PREFIX}${randomFirstCharacter(random)}` }
  let pages = 0

  const sweep = async (): Promise<void> => {
    let intervalMs = PAGE_INTERVAL_MS
    while (!lifecycle.signal.aborted) {
      await sleep(clock, random.jitter(intervalMs, INTERVAL_JITTER), lifecycle.signal)
      if (lifecycle.signal.aborted) return
      try {
        const result = await sweepPage(context, cursor, `intent-sweep-${context.incarnation}-${pages++}`)
        cursor = result.cursor
        intervalMs = result.deleted > 0 ? BUSY_PAGE_INTERVAL_MS : PAGE_INTERVAL_MS
      } catch (error) {
        logger.debug('a sweep of intents failed and is tried again later', { error: String(error) })
      }
    }
  }

  await lifecycle.start({ name: 'sweep of intents', start: () => { sweep().catch(() => {}) } })
}

/** The prefix is followed by a caller's name, so a letter or digit is a position among the keys. */
function randomFirstCharacter (random: Random): string {
  return random.pick([...'0123456789abcdefghijklmnopqrstuvwxyz'])
}
