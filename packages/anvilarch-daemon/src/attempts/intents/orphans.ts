/**
 * Settles commits that were given up although they may have taken effect.
 *
 * Their callers received `not_run`, which is true. If the rows remained, a caller that sends such a call again would receive
 * the error that it is in progress, and later that its outcome is unknown.
 */
import type { TablePort } from 'anvilarch-protocol'
import { type Clock, sleep } from 'anvilarch-utils'
import { toCommit } from './commitGroup'
import type { Entry, GroupedCommit } from './groupCommit'

/** Settles orphaned commits one after another. */
export interface OrphanSettler {
  add: (commit: GroupedCommit) => void
  /** Resolves when no orphan is left. */
  idle: () => Promise<void>
  stop: () => void
}

/** Options of `createOrphanSettler`. */
export interface OrphanSettlerOptions {
  clock: Clock
  table: TablePort
  /** Maximum number of waiting orphans; the oldest is discarded when there are more. */
  maxOrphans: number
  retryDelayMs: number
}

/** Defaults. */
export const DEFAULT_OPTIONS = { maxOrphans: 1_000, retryDelayMs: 1_000 } as const

/**
 * @param options - table, clock and limits
 * @returns a settler without orphans
 */
export function createOrphanSettler (options: OrphanSettlerOptions): OrphanSettler {
  const { clock, table, retryDelayMs } = options
  const queue: GroupedCommit[] = []
  const stopping = new AbortController()
  let settling: Promise<void> | undefined

  const settleAll = async (): Promise<void> => {
    while (queue.length > 0 && !stopping.signal.aborted) {
      try {
        await settle(table, queue[0])
        queue.shift()
      } catch {
        await sleep(clock, retryDelayMs, stopping.signal)
      }
    }
    settling = undefined
  }

  return {
    add: commit => {
      queue.push(commit)
      if (queue.length > options.maxOrphans) queue.splice(1, 1)
      settling ??= settleAll()
    },
    idle: async () => { await settling },
    stop: () => { stopping.abort() }
  }
}

/** Determines the outcome by sending the commit id again, then removes the intents that the commit wrote; recorded ends stay. */
async function settle (table: TablePort, { commitId, entries }: GroupedCommit): Promise<void> {
  const result = await table.commit(toCommit(commitId, entries))
  if (result.outcome === 'conflict') return
  const intents = entries.filter(entry => entry.version === 0)
  const removals = intents.map((entry): Entry => ({ ...entry, version: result.versions[entry.key] ?? 0, value: null }))
  await Promise.all(removals.map(async entry => { await table.commit(toCommit(`${commitId}-undo-${entry.id}`, [entry])) }))
}
