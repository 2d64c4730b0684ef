/** An in-memory table and object store with the semantics of the platform ports. */
import type { Commit, CommitResult, Row, ScanPage } from 'anvilarch-protocol'

/** Called for each commit that takes effect. */
export type CommitListener = (commit: Commit, rows: ReadonlyMap<string, Row>) => void

/** Table and object store, without faults. */
export interface MemoryStore {
  rows: Map<string, Row>
  objects: Map<string, Uint8Array>
  counts: { reads: number, scans: number, commits: number, conflicts: number, puts: number, gets: number }
  read: (keys: string[]) => Array<Row | null>
  scan: (prefix: string, options: { after?: string, limit: number }) => ScanPage
  commit: (commit: Commit) => CommitResult
  putIfAbsent: (name: string, body: Uint8Array) => 'created' | 'exists'
  list: (prefix: string, options: { after?: string, limit: number }) => { names: string[], next?: string }
}

/**
 * @param onCommit - called for each commit before its writes are applied
 * @returns an empty store
 */
export function createMemoryStore (onCommit: CommitListener = () => {}): MemoryStore {
  const rows = new Map<string, Row>()
  const objects = new Map<string, Uint8Array>()
  const outcomes = new Map<string, CommitResult>()
  const counts = { reads: 0, scans: 0, commits: 0, conflicts: 0, puts: 0, gets: 0 }
  let revision = 0

  const apply = (commit: Commit): CommitResult => {
    const areConditionsMet = commit.conditions.every(({ key, version }) => (rows.get(key)?.version ?? 0) === version)
    if (!areConditionsMet) {
      counts.conflicts++
      return { outcome: 'conflict', rows: commit.conditions.map(({ key }) => rows.get(key) ?? { key, version: 0, value: null }) }
    }
    onCommit(commit, rows)
    counts.commits++
    revision++
    const versions: Record<string, number> = {}
    for (const { key, value } of commit.writes) {
      versions[key] = value === null ? 0 : revision
      if (value === null) rows.delete(key)
      else rows.set(key, { key, version: revision, value })
    }
    return { outcome: 'committed', versions }
  }

  return {
    rows,
    objects,
    counts,
    read: keys => {
      counts.reads++
      return keys.map(key => rows.get(key) ?? null)
    },
    scan: (prefix, options) => {
      counts.scans++
      const page = pageOf(rows.keys(), prefix, options)
      return { rows: page.names.map(key => rows.get(key) as Row), next: page.next }
    },
    commit: commit => {
      const result = outcomes.get(commit.commitId) ?? apply(commit)
      outcomes.set(commit.commitId, result)
      return structuredClone(result)
    },
    putIfAbsent: (name, body) => {
      counts.puts++
      if (objects.has(name)) return 'exists'
      objects.set(name, Uint8Array.from(body))
      return 'created'
    },
    list: (prefix, options) => pageOf(objects.keys(), prefix, options)
  }
}

function pageOf (keys: Iterable<string>, prefix: string, options: { after?: string, limit: number }): { names: string[], next?: string } {
  const after = options.after ?? ''
  const names = [...keys].filter(key => key.startsWith(prefix) && key > after).sort()
  const page = names.slice(0, options.limit)
  return names.length > page.length ? { names: page, next: page[page.length - 1] } : { names: page }
}
