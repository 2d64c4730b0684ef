/** The platform in memory, with switches for outages and lost replies. Each step can be put off by the test. */
import type { Commit, CommitResult, PlatformPorts, Row } from 'anvilarch-protocol'
import { AnvilarchError } from 'anvilarch-utils'

/** What a test may do to the platform. */
export interface FakePlatform extends PlatformPorts {
  rows: Map<string, Row>
  objects: PlatformPorts['objects'] & { stored: Map<string, Uint8Array> }
  /** Refuses every call at once. */
  outage: boolean
  /** Asked for each reply: true loses it after the effect. */
  dropsResponse: () => boolean
  /** Awaited before each effect and before each reply, so that a test can order them. */
  step: (name: string) => Promise<void>
  /** Every commit that took effect, in order. */
  committed: Commit[]
}

/** @returns an empty platform without faults */
export function createFakePlatform (): FakePlatform {
  const rows = new Map<string, Row>()
  const stored = new Map<string, Uint8Array>()
  const outcomes = new Map<string, CommitResult>()

  const call = async <Answer>(operation: string, effect: () => Answer): Promise<Answer> => {
    await fake.step(`${operation}.effect`)
    if (fake.outage) throw new AnvilarchError('outage', { code: 'platform_unavailable', step: `platform.${operation}`, ran: 'not_run' })
    const answer = effect()
    await fake.step(`${operation}.reply`)
    if (fake.dropsResponse()) throw new AnvilarchError('reply lost', { code: 'platform_unavailable', step: `platform.${operation}`, ran: 'unknown' })
    return answer
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
