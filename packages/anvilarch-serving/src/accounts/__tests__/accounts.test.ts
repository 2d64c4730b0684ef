import { createFakeClock } from 'anvilarch-utils'
import type { Configuration } from '../../model/types'
import { type AccountDirectory, buildAccountDirectory, digestKey } from '../accountDirectory'
import { createCallerAuthenticator } from '../callerAuthenticator'
import { identifyCaller, isStillAuthorized } from '../identifyCaller'
import type { ListedAccount } from '../types'

const noTurn = async (): Promise<void> => {}

function listed (name: string, keys: string[], change: Partial<ListedAccount> = {}): ListedAccount {
  return { name, keys, priority: undefined, requestsPerSecond: 0, burstRequests: 0, ...change }
}

function configurationWith (accounts: AccountDirectory | undefined, version = 1): Configuration {
  return { version, routes: [], services: new Map(), limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, accounts }
}

describe('an account directory', () => {
  it('finds the account of each of its keys, by digest', async () => {
    const directory = await buildAccountDirectory([listed('a', ['k1', 'k2']), listed('b', ['k3'])], noTurn)
    expect(['k1', 'k2', 'k3', 'k4'].map(key => directory.byDigest(digestKey(key))?.name)).toEqual(['a', 'a', 'b', undefined])
    expect(directory.byName('b')?.name).toBe('b')
    expect(directory).toMatchObject({ accountCount: 2, keyCount: 3 })
    expect(JSON.stringify([...directory.all()])).not.toContain('k1')
  })

  it('gives a key that two accounts list to neither, and names both', async () => {
    const directory = await buildAccountDirectory([listed('a', ['k', 'k1']), listed('b', ['k']), listed('c', ['k2', 'k2'])], noTurn)
    expect(directory.byDigest(digestKey('k'))).toBeUndefined()
    expect(directory.byDigest(digestKey('k1'))?.name).toBe('a')
    expect(directory.byDigest(digestKey('k2'))?.name).toBe('c')
    expect([...directory.ambiguous].sort()).toEqual(['a', 'b'])
  })

  it('ranks accounts by steps of priority; those without one are as urgent as any', async () => {
    const directory = await buildAccountDirectory([listed('a', [], { priority: 7 }), listed('b', [], { priority: 2 }), listed('c', [])], noTurn)
    expect(['a', 'b', 'c'].map(name => directory.byName(name)?.priorityRank)).toEqual([1, 0, 0])
  })

  // Guards against requests that wait until tens of thousands of keys are hashed.
  it('lets other work have its turn while it is built', async () => {
    let turns = 0
    const many = Array.from({ length: 5000 }, (_, index) => listed(`a${index}`, [`${index}-1`, `${index}-2`]))
    await buildAccountDirectory(many, async () => { turns++ })
    expect(turns).toBeGreaterThanOrEqual(30)
  })
})

describe('identifyCaller', () => {
  it('knows a caller by its key alone, and lets anybody in on public routes', async () => {
    const configuration = configurationWith(await buildAccountDirectory([listed('a', ['k1'])], noTurn))
    const key = (text: string): { credential: 'key', key: string } => ({ credential: 'key', key: text })
    const verdicts = [
      identifyCaller(configuration, key('k1'), () => ({ isPublic: false })),
      identifyCaller(configuration, key('K1'), () => ({ isPublic: false })),
      identifyCaller(configuration, key('k1'), () => ({ isPublic: true })),
      identifyCaller(configuration, { credential: 'none' }, () => ({ isPublic: true })),
      identifyCaller(configuration, { credential: 'malformed' }, () => undefined),
      identifyCaller(configuration, key('k'.repeat(5000)), () => undefined),
      identifyCaller(configurationWith(undefined), key('k1'), () => undefined)
    ]
    expect(verdicts.map(({ caller }) => caller)).toEqual(['account', 'unknown', 'account', 'anonymous', 'unknown', 'unknown', 'unchecked'])
  })

  it('starts nothing more for a key that is gone or another account\'s', async () => {
    const before = configurationWith(await buildAccountDirectory([listed('a', ['k1'])], noTurn))
    const caller = identifyCaller(before, { credential: 'key', key: 'k1' }, () => undefined)
    if (caller.caller === 'unknown') throw new Error('the key is known')
    const moved = configurationWith(await buildAccountDirectory([listed('b', ['k1'])], noTurn))
    const gone = configurationWith(await buildAccountDirectory([listed('a', ['k2'])], noTurn))
    expect([before, moved, gone, undefined].map(configuration => isStillAuthorized(configuration, caller))).toEqual([true, false, false, true])
  })
})

describe('a caller check', () => {
  const question = { credential: { credential: 'key', key: 'new' } as const, routeIn: () => undefined }

  it('asks the store before it refuses a key, and once in a second only', async () => {
    const clock = createFakeClock()
    const current = configurationWith(await buildAccountDirectory([], noTurn))
    let asked = 0
    const check = createCallerAuthenticator({ clock, configuration: { current: () => current }, refresh: async () => { asked++; return true } })
    for (let index = 0; index < 20; index++) expect((await check.authenticate(question)).caller).toBe('unknown')
    expect(asked).toBe(1)
    clock.advance(1000)
    await check.authenticate(question)
    expect(asked).toBe(2)
  })

  it('knows a key that the store\'s newer version has', async () => {
    let current = configurationWith(await buildAccountDirectory([], noTurn))
    const newer = configurationWith(await buildAccountDirectory([listed('a', ['new'])], noTurn), 2)
    const check = createCallerAuthenticator({ clock: createFakeClock(), configuration: { current: () => current }, refresh: async () => { current = newer; return true } })
    expect(await check.authenticate(question)).toMatchObject({ caller: 'account', account: { name: 'a' } })
  })

  // Guards against callers who wait for a store that is silent, and against a final answer that may be false.
  it('does not wait long for a silent store, and then says that it is not certain', async () => {
    const clock = createFakeClock()
    const current = configurationWith(await buildAccountDirectory([], noTurn))
    const check = createCallerAuthenticator({ clock, configuration: { current: () => current }, refresh: () => new Promise(() => {}) })
    const verdict = check.authenticate(question)
    await clock.advanceAsync(400)
    expect((await verdict).caller).toBe('unconfirmed')
  })
})
