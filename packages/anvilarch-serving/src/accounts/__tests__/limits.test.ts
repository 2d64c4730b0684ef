import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import type { PeerMessage } from '../../endpoints/peerMessages'
import type { MemberRecord } from '../../jobs/types'
import type { EventLog } from '../../telemetry/events'
import { createMeter, grantPermits } from '../limits/accountMeter'
import { createAccountMeters } from '../limits/accountMeters'
import { initialBucket, grantLimits, type LimitBounds, toleranceOf } from '../limits/limitBounds'
import { selectMeterGateways, eligibleMeterGateways, SETTLING_MS } from '../limits/meterGateways'
import { createPermitClient, PERMIT_TIMEOUT_MS } from '../limits/permitClient'
import { createRateLimiter, type Permit, type RateLimiter } from '../limits/rateLimiter'
import type { Caller, ClientAccount } from '../types'

const BOUNDS: LimitBounds = { windowMs: 5000, overrunShare: 0.1, slackRequests: 20 }
const ACCOUNT: ClientAccount = { name: 'a', priorityRank: 0, requestsPerSecond: 10, burstRequests: 4 }
const CALLER: Caller = { caller: 'account', account: ACCOUNT, keyDigest: '' }
const OTHER = { ip: '10.0.0.2', port: 7000 }

function member (name: string, change: Partial<MemberRecord> = {}): MemberRecord {
  return { name, role: 'gateway', incarnation: 'i', peerAddress: `${name}:1`, failureDomain: 'a', aliveUntilMs: 100_000, knownSinceMs: 0, ...change }
}

describe('a meter', () => {
  it('grants the burst and then the rate, and says when there is room behind those who wait', () => {
    const limits = { perSecond: 10, burst: 4 }
    let meter = createMeter({ tokens: 4, updatedMs: 0 })
    const take = (wanted: number, nowMs: number): [number, number] => {
      const next = grantPermits(meter, wanted, limits, nowMs)
      meter = next.meter
      return [next.grant.granted, next.grant.retryAfterMs]
    }
    expect(take(6, 0)).toEqual([4, 300])
    expect(take(1, 100)).toEqual([1, 0])
    expect(take(2, 100)).toEqual([0, 400])
    expect(take(20, 1100)).toEqual([4, 1700])
  })
})

describe('what may be granted while the usual way is closed', () => {
  it.each([[1, 5, 5], [29, 48, 48], [340, 5, 100], [88, 0.5, 1]])('stays within the tolerance, all granters and two restarts of the home together (%p gateways)', (gateways, requestsPerSecond, burstRequests) => {
    const account = { ...ACCOUNT, requestsPerSecond, burstRequests }
    const deputy = grantLimits(account, BOUNDS, 'deputy', gateways)
    const self = grantLimits(account, BOUNDS, 'self', gateways)
    const home = grantLimits(account, BOUNDS, 'home', gateways)
    const started = initialBucket(account, BOUNDS, home, 0).tokens
    const beyond = home.burst + home.perSecond * 5 - (requestsPerSecond * 5 + burstRequests) + 2 * started
    const meanwhile = deputy.burst + deputy.perSecond * 5 + gateways * self.perSecond * 5
    expect(beyond + meanwhile).toBeLessThan(toleranceOf(account, BOUNDS))
  })
})

describe('homes of meters', () => {
  it('are gateways that are alive and known to all; before there are any, all that are alive', () => {
    const members = [member('g1'), member('g2', { knownSinceMs: 50_000 }), member('g3', { aliveUntilMs: 1 }), member('x', { role: 'agent' })]
    expect(eligibleMeterGateways(members, 50_000 + SETTLING_MS - 1).map(({ name }) => name)).toEqual(['g1'])
    expect(eligibleMeterGateways(members, 50_000 + SETTLING_MS).map(({ name }) => name)).toEqual(['g1', 'g2'])
    expect(eligibleMeterGateways(members.slice(1, 2), 50_000).map(({ name }) => name)).toEqual(['g2'])
  })

  it('move for the accounts of a lost gateway only', () => {
    const places = Array.from({ length: 10 }, (_, index) => member(`g${index}`))
    const names = Array.from({ length: 200 }, (_, index) => `a${index}`)
    const moved = names.filter(name => selectMeterGateways(places, name)[0].name !== selectMeterGateways(places.slice(1), name)[0].name)
    for (const name of moved) expect(selectMeterGateways(places, name)[0].name).toBe('g0')
    for (const name of moved) expect(selectMeterGateways(places, name)[1].name).toBe(selectMeterGateways(places.slice(1), name)[0].name)
  })
})

describe('a gateway that asks another for permits', () => {
  interface Setup {
    clock: FakeClock
    limits: RateLimiter
    sent: PeerMessage[]
    answer: (granted: number, retryAfterMs?: number, toIndex?: number) => void
  }

  function setUp (homeNames: readonly string[]): Setup {
    const clock = createFakeClock()
    const sent: PeerMessage[] = []
    const asker = createPermitClient({ clock, send: message => sent.push(message), configurationVersion: () => 1 })
    const meters = createAccountMeters({ clock, bounds: BOUNDS, account: name => name === 'a' ? ACCOUNT : undefined, gatewayCount: () => 10 })
    const homes = homeNames.map(name => ({ name, peerAddress: `${OTHER.ip}:${OTHER.port}` }))
    const limits = createRateLimiter({ clock, log: SILENT_LOGGER as EventLog, ownName: 'own', meters, permitClient: asker, meterGatewaysOf: () => homes })
    const questions = (): Array<PeerMessage & { message: 'permit_request' }> => sent.filter(message => message.message === 'permit_request')
    const answer = (granted: number, retryAfterMs = 0, index = questions().length - 1): void =>
      asker.onResponse({ message: 'permit_response', correlationId: questions()[index].correlationId, granted, retryAfterMs, configurationVersion: 1 }, OTHER)
    return { clock, limits, sent, answer }
  }

  it('asks for all that wait at once, and hands out what it is granted in order', async () => {
    const { limits, sent, answer, clock } = setUp(['other'])
    const asked = Array.from({ length: 4 }, () => limits.acquire(CALLER))
    answer(1)
    await clock.advanceAsync(0)
    expect(sent.map(message => message.message === 'permit_request' && message.wanted)).toEqual([1, 3])
    answer(2, 250)
    const permits = await Promise.all(asked)
    expect(permits.map(permit => permit.granted)).toEqual([true, true, true, false])
    expect(permits[3]).toMatchObject({ retryAfterMs: 250 })
  })

  it('asks no question for an account that has no limit, or for none', async () => {
    const { limits, sent } = setUp(['other'])
    const unlimited: Caller = { caller: 'account', account: { ...ACCOUNT, requestsPerSecond: 0 }, keyDigest: '' }
    for (const caller of [unlimited, { caller: 'unchecked' }, { caller: 'anonymous' }] as Caller[]) expect((await limits.acquire(caller)).granted).toBe(true)
    expect(sent).toEqual([])
  })

  it('turns a flood away without a question for each request', async () => {
    const { clock, limits, sent, answer } = setUp(['other'])
    const first = limits.acquire(CALLER)
    answer(0, 1000)
    expect((await first).granted).toBe(false)
    for (let index = 0; index < 50; index++) expect((await limits.acquire(CALLER)).granted).toBe(false)
    expect(sent).toHaveLength(1)
    clock.advance(50)
    const later = limits.acquire(CALLER)
    answer(1)
    expect((await later).granted).toBe(true)
  })

  // Guards against requests that wait for a gateway that is lost, and against an account without any permit meanwhile.
  it('goes to the deputy and then to its own small part while others are silent', async () => {
    const { clock, limits, sent } = setUp(['home', 'deputy'])
    const asked: Array<Promise<Permit>> = [limits.acquire(CALLER)]
    await clock.advanceAsync(PERMIT_TIMEOUT_MS)
    expect(sent.map(message => message.message === 'permit_request' && message.granter)).toEqual(['home', 'deputy'])
    await clock.advanceAsync(PERMIT_TIMEOUT_MS)
    expect((await asked[0]).granted).toBe(true)
    // Both share an address here: two silences in a row, and it is passed over.
    asked.push(limits.acquire(CALLER))
    await clock.advanceAsync(250)
    expect(await asked[1]).toMatchObject({ granted: false, granter: 'self', retryAfterMs: 500 })
    // Long after the start, nobody waits for homes that are lost.
    await clock.advanceAsync(10_000)
    const first = limits.acquire(CALLER)
    await clock.advanceAsync(2 * PERMIT_TIMEOUT_MS)
    expect((await first).granted).toBe(false)
    await clock.advanceAsync(60)
    const askedAtMs = clock.nowMs()
    const late = limits.acquire(CALLER)
    await clock.advanceAsync(0)
    expect(await late).toMatchObject({ granted: false, granter: 'self' })
    expect(clock.nowMs()).toBe(askedAtMs)
  })

  // Guards against permits that nobody uses since their answer came after the patience was over.
  it('gives back what comes too late, and what has not run', async () => {
    const { clock, limits, sent, answer } = setUp(['home'])
    const late = limits.acquire(CALLER)
    await clock.advanceAsync(PERMIT_TIMEOUT_MS)
    await late
    answer(1, 0, 0)
    expect(sent.at(-1)).toMatchObject({ message: 'permit_refund', accountName: 'a', granter: 'home', count: 1 })
    const again = limits.acquire(CALLER)
    answer(1)
    const permit = await again
    if (permit.granted) permit.refund()
    expect(sent.filter(message => message.message === 'permit_refund')).toHaveLength(2)
  })

  it('takes no answer from another address than the one it has asked', async () => {
    const clock = createFakeClock()
    const asker = createPermitClient({ clock, send: () => {}, configurationVersion: () => 1 })
    const asked = asker.request(OTHER, { accountName: 'a', granter: 'home', wanted: 1 })
    asker.onResponse({ message: 'permit_response', correlationId: 1, granted: 1, retryAfterMs: 0, configurationVersion: 1 }, { ip: '10.0.0.3', port: 7000 })
    await clock.advanceAsync(PERMIT_TIMEOUT_MS)
    expect(await asked).toBeUndefined()
  })
})

describe('meters of a gateway', () => {
  it('are kept for accounts of the configuration only, and forgotten with them', () => {
    const meters = createAccountMeters({ clock: createFakeClock(), bounds: BOUNDS, account: name => name === 'a' ? ACCOUNT : undefined, gatewayCount: () => 1 })
    expect(meters.grant('a', 'home', 2)).toEqual({ granted: 2, retryAfterMs: 0 })
    expect(meters.grant('nobody', 'home', 1)).toBeUndefined()
    expect(meters.size()).toBe(1)
    meters.retain(() => false)
    expect(meters.size()).toBe(0)
  })
})
