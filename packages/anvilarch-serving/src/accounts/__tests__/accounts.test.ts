import { createFakeClock } from 'anvilarch-utils'
import type { Configuration } from '../../model/types'
import { type AccountDirectory, buildAccountDirectory, digestKey } from '../accountDirectory'
import { createCallerAuthenticator } from '../callerAuthenticator'
import { identifyCaller, isStillAuthorized } from '../identifyCaller'
import type { ListedAccount } from '../types'

const noYield = async (): Promise<void> => {}

function listed (name: string, keys: string[], change: Partial<ListedAccount> = {}): ListedAccount {
  return { name, keys, priority: undefined, requestsPerSecond: 0, burstRequests: 0, ...change }
}

function configurationWith (accounts: AccountDirectory | undefined, version = 1): Configuration {
  return { version, routes: [], services: new Map(), limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, accounts }
}

describe('an account directory', () => {
  it('finds the account of each key by its digest', async () => {
    const directory = await buildAccountDirectory([listed('a', ['k1', 'k2']), listed('b', ['k3'])], noYield)
    expect(['k1', 'k2', 'k3', 'k4'].map(key => directory.byDigest(digestKey(key))?.name)).toEqual(['a', 'a', 'b', undefined])
    expect(directory.byName('b')?.name).toBe('b')
    expect(directory).toMatchObject({ accountCount: 2, keyCount: 3 })
    expect(JSON.stringify([...directory.all()])).not.toContain('k1')
  })

  it('assigns a key that two accounts list to neither, and names both', async () => {
    const directory = await buildAccountDirectory([listed('a', ['k', 'k1']), listed('b', ['k']), listed('c', ['k2', 'k2'])], noYield)
    expect(directory.byDigest(digestKey('k'))).toBeUndefined()
    expect(directory.byDigest(digestKey('k1'))?.name).toBe('a')
    expect(directory.byDigest(digestKey('k2'))?.name).toBe('c')
    expect([...directory.ambiguous].sort()).toEqual(['a', 'b'])
  })

  it('ranks accounts by their distinct priorities; an account without one gets the most urgent rank', async () => {
    const directory = await buildAccountDirectory([listed('a', [], { priority: 7 }), listed('b', [], { priority: 2 }), listed('c', [])], noYield)
    expect(['a', 'b', 'c'].map(name => directory.byName(name)?.priorityRank)).toEqual([1, 0, 0])
  })

  // Guards against requests that are delayed until tens of thousands of keys are hashed.
  it('yields to other work while it is built', async () => {
    let yields = 0
    const many = Array.from({ length: 5000 }, (_, index) => listed(`a${index}`, [`${index}-1`, `${index}-2`]))
    await buildAccountDirectory(many, async () => { yields++ })
    expect(yields).toBeGreaterThanOrEqual(30)
  })
})

describe('identifyCaller', () => {
  it('identifies a caller by its key alone, and accepts any caller on public routes', async () => {
    const configuration = configurationWith(await buildAccountDirectory([listed('a', ['k1'])], noYield))
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

  it('does not authorize further work for a key that was removed or moved to another account', async () => {
    const before = configurationWith(await buildAccountDirectory([listed('a', ['k1'])], noYield))
    const caller = identifyCaller(before, { credential: 'key', key: 'k1' }, () => undefined)
    if (caller.caller === 'unknown') throw new Error('expected the key to be known')
    const moved = configurationWith(await buildAccountDirectory([listed('b', ['k1'])], noYield))
    const removed = configurationWith(await buildAccountDirectory([listed('a', ['k2'])], noYield))
    expect([before, moved, removed, undefined].map(configuration => isStillAuthorized(configuration, caller))).toEqual([true, false, false, true])
  })
})

describe('a caller authenticator', () => {
  const request = { credential: { credential: 'key', key: 'new' } as const, routeIn: () => undefined }

  it('reads the store before it refuses a key, at most once per second', async () => {
    const clock = createFakeClock()
    const current = configurationWith(await buildAccountDirectory([], noYield))
    let refreshCount = 0
    const authenticator = createCallerAuthenticator({ clock, configuration: { current: () => current }, refresh: async () => { refreshCount++; return true } })
    for (let index = 0; index < 20; index++) expect((await authenticator.authenticate(request)).caller).toBe('unknown')
    expect(refreshCount).toBe(1)
    clock.advance(1000)
    await authenticator.authenticate(request)
    expect(refreshCount).toBe(2)
  })

  // Guards against a key that is refused by what the store said before the host was suspended.
  it('reads the store again after the host was suspended', async () => {
    const clock = createFakeClock()
    let suspendedMs = 0
    const current = configurationWith(await buildAccountDirectory([], noYield))
    let refreshCount = 0
    const suspendableClock = { ...clock, wallMs: () => clock.wallMs() + suspendedMs }
    const authenticator = createCallerAuthenticator({ clock: suspendableClock, configuration: { current: () => current }, refresh: async () => { refreshCount++; return true } })
    await authenticator.authenticate(request)
    suspendedMs = 20_000
    await authenticator.authenticate(request)
    expect(refreshCount).toBe(2)
  })

  it('accepts a key of a newer version in the store', async () => {
    let current = configurationWith(await buildAccountDirectory([], noYield))
    const newer = configurationWith(await buildAccountDirectory([listed('a', ['new'])], noYield), 2)
    const authenticator = createCallerAuthenticator({ clock: createFakeClock(), configuration: { current: () => current }, refresh: async () => { current = newer; return true } })
    expect(await authenticator.authenticate(request)).toMatchObject({ caller: 'account', account: { name: 'a' } })
  })

  // Guards against callers that wait for an unresponsive store, and against a permanent refusal that may be wrong.
  it('reports an unconfirmed caller when the store does not respond in time', async () => {
    const clock = createFakeClock()
    const current = configurationWith(await buildAccountDirectory([], noYield))
    const authenticator = createCallerAuthenticator({ clock, configuration: { current: () => current }, refresh: () => new Promise(() => {}) })
    const authenticating = authenticator.authenticate(request)
    await clock.advanceAsync(400)
    expect((await authenticating).caller).toBe('unconfirmed')
  })
})
