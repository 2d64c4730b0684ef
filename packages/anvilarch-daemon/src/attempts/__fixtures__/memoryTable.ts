/** In-memory table service, with outages and lost replies to inject. */
import type { CommitResult, Row, TablePort } from 'anvilarch-protocol'
import { AnvilarchError } from 'anvilarch-utils'

export interface MemoryTable {
  port: TablePort
  rows: Map<string, Row>
  /** Ids of the commits that reached the table, including resends. */
  commits: string[]
  faults: { down: boolean, loseReplies: number }
}

export function createMemoryTable (): MemoryTable {
  const rows = new Map<string, Row>()
  const outcomes = new Map<string, CommitResult>()
  const commits: string[] = []
  const faults = { down: false, loseReplies: 0 }
  let version = 0

  const unavailable = (): AnvilarchError => new AnvilarchError('the table is down', { code: 'platform_unavailable', step: 'table.call' })
  const checkUp = async (): Promise<void> => {
    await Promise.resolve()
    if (faults.down) throw unavailable()
  }

  const port: TablePort = {
    read: async keys => {
      await checkUp()
      return keys.map(key => rows.get(key) ?? null)
    },
    scan: async (prefix, { after, limit }) => {
      await checkUp()
      const found = [...rows.values()].filter(row => row.key.startsWith(prefix) && (after === undefined || row.key > after)).sort((a, b) => a.key < b.key ? -1 : 1)
      return { rows: found.slice(0, limit), next: found.length > limit ? found[limit - 1].key : undefined }
    },
    commit: async ({ commitId, conditions, writes }) => {
      await checkUp()
      commits.push(commitId)
      const outcome = outcomes.get(commitId) ?? apply(conditions, writes)
      outcomes.set(commitId, outcome)
      if (faults.loseReplies > 0) {
        faults.loseReplies--
        throw unavailable()
      }
      return outcome
    }
  }

  const apply = (conditions: Array<{ key: string, version: number }>, writes: Array<{ key: string, value: string | null }>): CommitResult => {
    const failed = conditions.filter(({ key, version: expected }) => (rows.get(key)?.version ?? 0) !== expected)
    if (failed.length > 0) return { outcome: 'conflict', rows: failed.map(({ key }) => rows.get(key) ?? { key, version: 0, value: null }) }
    const versions: Record<string, number> = {}
    for (const { key, value } of writes) {
      if (value === null) rows.delete(key)
      else rows.set(key, { key, version: ++version, value })
      versions[key] = version
    }
    return { outcome: 'committed', versions }
  }

  return { port, rows, commits, faults }
}
