/** An in-memory platform with simulated outages and lost responses. Tests can delay each step. */
import type { Commit, CommitResult, PlatformPorts, Row } from 'anvilarch-protocol'
import { AnvilarchError } from 'anvilarch-utils'

/** The platform with controls for tests. */
export interface FakePlatform extends PlatformPorts {
  rows: Map<string, Row>
  objects: PlatformPorts['objects'] & { stored: Map<string, Uint8Array> }
  /** Rejects all calls immediately. */
  outage: boolean
  /** Called for each response; true drops it after the call has taken effect. */
  dropsResponse: () => boolean
  /** Awaited before each effect and each response, so that a test can control their order. */
  step: (name: string) => Promise<void>
  /** Commits that took effect, in order. */
  committed: Commit[]
}

/** @returns an empty platform without faults */
export function createFakePlatform (): FakePlatform {
  const rows = new Map<string, Row>()
  const stored = new Map<string, Uint8Array>()
  const outcomes = new Map<string, CommitResult>()

  const call = async <Result>(operation: string, effect: () => Result): Promise<Result> => {
    await fake.step(`${operation}.effect`)
    if (fake.outage) throw new AnvilarchError('outage', { code: 'platform_unavailable', step: `platform.${operation}`, ran: 'not_run' })
    const result = effect()
    await fake.step(`${operation}.reply`)
    if (fake.dropsResponse()) throw new AnvilarchError('reply lost', { code: 'platform_unavailable', step: `platform.${operation}`, ran: 'unknown' })
    return result
  }

  const commitOnce = (commit: Commit): CommitResult => {
    const failed = commit.conditions.filter(condition => (rows.get(condition.key)?.version ?? 0) !== condition.version)
    if (failed.length > 0) {
      return { outcome: 'conflict', rows: failed.map(({ key }) => rows.get(key) ?? { key, version: 0, value: null }) }
    }
    const versions: Record<string, number> = {}
    for (const { key, value } of commit.writes) {
      const version = (rows.get(key)?.version ?? 0) + 1
      if (value === null) rows.delete(key)
      else rows.set(key, { key, version, value })
      versions[key] = version
    }
    fake.committed.push(commit)
    return { outcome: 'committed', versions }
  }

  const fake: FakePlatform = {
    rows,
    committed: [],
    outage: false,
    dropsResponse: () => false,
    step: async () => {},
    table: {
      read: async keys => await call('read', () => keys.map(key => rows.get(key) ?? null)),
      scan: async prefix => await call('scan', () => ({ rows: [...rows.values()].filter(row => row.key.startsWith(prefix)) })),
      commit: async commit => await call('commit', () => {
        const known = outcomes.get(commit.commitId) ?? commitOnce(commit)
        outcomes.set(commit.commitId, known)
        return known
      })
    },
    objects: {
      stored,
      putIfAbsent: async (name, body) => await call('put', () => {
        if (stored.has(name)) return 'exists' as const
        stored.set(name, body)
        return 'created' as const
      }),
      get: async name => await call('get', () => stored.get(name) ?? null),
      list: async prefix => await call('list', () => ({ names: [...stored.keys()].filter(name => name.startsWith(prefix)) })),
      remove: async name => { await call('remove', () => stored.delete(name)) }
    },
    hosts: { list: async () => await call('hosts', () => []) }
  }
  return fake
}
