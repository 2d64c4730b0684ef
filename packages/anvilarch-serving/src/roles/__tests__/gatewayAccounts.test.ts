import { createFakeClock, createRandom, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import * as fc from 'fast-check'
import { selectMeterGateways, SETTLING_MS } from '../../accounts/limits/meterGateways'
import type { Caller, ClientAccount } from '../../accounts/types'
import type { MemberRecord } from '../../jobs/types'
import { createServingMetrics } from '../../telemetry/metrics'
import { createGatewayAccounts, type GatewayAccounts } from '../gatewayAccounts'

const BOUNDS = { windowMs: 5000, overrunShare: 0.1, slackRequests: 20 }
const ACCOUNT: ClientAccount = { name: 'hot', priorityRank: 0, requestsPerSecond: 20, burstRequests: 20 }
const CALLER: Caller = { caller: 'account', account: ACCOUNT, keyDigest: '' }
const ALLOWED = (ACCOUNT.requestsPerSecond * 5 + ACCOUNT.burstRequests) * (1 + BOUNDS.overrunShare) + BOUNDS.slackRequests

const LISTING_INTERVAL_MS = 10_000
const HEARTBEAT_INTERVAL_MS = 10_000
const ALIVE_MS = 30_000
const STEP_MS = 5

/** When and how a gateway of a fleet lives. Times in milliseconds. */
interface GatewayPlan {
  startsAtMs: number
  /** Time at which the process ends without a word. */
  endsAtMs?: number
  /** How far the gateway's estimate is behind the store's clock. */
  lagMs: number
  /** Time of its first listing of the others after its start. */
  listingPhaseMs: number
  /** The host is suspended at this time, for `suspendedMs`. */
  suspendedAtMs?: number
  suspendedMs?: number
}

interface FleetGateway {
  plan: GatewayPlan
  name: string
  accounts: GatewayAccounts
  /** Time during which the monotonic clock of the host has stood still. */
  suspended: { lostMs: number }
}

interface Fleet {
  clock: FakeClock
  live: () => FleetGateway[]
  run: (untilMs: number, requestsPerSecond: number) => Promise<void>
  grantedAtMs: number[]
}

function createFleet (plans: readonly GatewayPlan[], seed = 1): Fleet {
  const clock = createFakeClock(0)
  const random = createRandom(seed)
  const rows = new Map<string, MemberRecord>()
  const running = new Map<string, FleetGateway>()
  const grantedAtMs: number[] = []
  const isSuspended = ({ suspendedAtMs = Infinity, suspendedMs = 0 }: GatewayPlan): boolean => clock.nowMs() >= suspendedAtMs && clock.nowMs() < suspendedAtMs + suspendedMs

  const start = (plan: GatewayPlan, index: number): void => {
    const name = `gateway-${index}`
    let listed: MemberRecord[] = []
    let answeredAtMs = clock.nowMs()
    const suspended = { lostMs: 0 }
    let lostMsAtReading = 0
    const gatewayClock = { ...clock, nowMs: () => clock.nowMs() - suspended.lostMs, wallMs: () => clock.nowMs() }
    const accounts = createGatewayAccounts({
      context: {
        settings: { name, limitBounds: BOUNDS, failsClosed: false },
        clock: gatewayClock,
        log: SILENT_LOGGER,
        metrics: createServingMetrics(),
        // Readings of the store's clock that are older than a suspension are behind by its length.
        store: { storeNowMs: () => clock.nowMs() - plan.lagMs - (suspended.lostMs - lostMsAtReading), answerAgeMs: () => gatewayClock.nowMs() - answeredAtMs }
      } as never,
      view: {
        configuration: { current: () => ({ version: 1, accounts: { byName: (account: string) => account === ACCOUNT.name ? ACCOUNT : undefined } }), onChange: () => {} },
        work: { members: () => listed.map(record => ({ record, version: 1 })) }
      } as never,
      send: (message, to) => {
        clock.after(random.between(1, 3), () => {
          const receiver = running.get(to.ip)
          if (receiver !== undefined && !isSuspended(receiver.plan)) receiver.accounts.onMessage(message, { ip: name, port: 1 })
        })
      }
    })
    const gateway: FleetGateway = { plan, name, accounts, suspended }
    const list = (): void => {
      listed = [...rows.values()]
      answeredAtMs = gatewayClock.nowMs()
      lostMsAtReading = suspended.lostMs
    }
    running.set(name, gateway)
    const heartbeat = (): void => {
      if (running.get(name) !== gateway) return
      const knownSinceMs = rows.get(name)?.knownSinceMs ?? clock.nowMs() - plan.lagMs
      rows.set(name, { name, role: 'gateway', incarnation: 'i', peerAddress: `${name}:1`, failureDomain: 'a', aliveUntilMs: clock.nowMs() + ALIVE_MS, knownSinceMs })
      listed = [...listed.filter(member => member.name !== name), rows.get(name) as MemberRecord]
      clock.after(HEARTBEAT_INTERVAL_MS, heartbeat)
    }
    const poll = (): void => {
      if (running.get(name) !== gateway) return
      list()
      clock.after(LISTING_INTERVAL_MS, poll)
    }
    heartbeat()
    list()
    clock.after(plan.listingPhaseMs, poll)
  }

  const step = async (): Promise<void> => {
    for (const [index, plan] of plans.entries()) {
      if (plan.startsAtMs === clock.nowMs()) start(plan, index)
      if (plan.endsAtMs === clock.nowMs()) running.delete(`gateway-${index}`)
    }
    for (const gateway of running.values()) if (isSuspended(gateway.plan)) gateway.suspended.lostMs += STEP_MS
    await clock.advanceAsync(STEP_MS)
  }

  const live = (): FleetGateway[] => [...running.values()].filter(({ plan }) => !isSuspended(plan))
  return {
    clock,
    live,
    grantedAtMs,
    run: async (untilMs, requestsPerSecond) => {
      let dueMs = clock.nowMs()
      while (clock.nowMs() < untilMs) {
        if (requestsPerSecond === 0) dueMs = untilMs
        for (; dueMs <= clock.nowMs(); dueMs += 1000 / requestsPerSecond) {
          const gateways = live()
          const gateway = gateways[Math.floor(random.next() * gateways.length)]
          gateway?.accounts.limits.acquire(CALLER).then(permit => { if (permit.granted) grantedAtMs.push(clock.nowMs()) }, () => {})
        }
        await step()
      }
    }
  }
}

function mostInWindow (grantedAtMs: readonly number[]): number {
  return Math.max(0, ...grantedAtMs.map(fromMs => grantedAtMs.filter(atMs => atMs >= fromMs && atMs <= fromMs + BOUNDS.windowMs).length))
}

/** @returns index of the first added gateway that becomes the home of the account's meter */
function indexOfNewHome (count: number): number {
  const names = (length: number): Array<{ name: string, peerAddress: string }> => Array.from({ length }, (_, index) => ({ name: `gateway-${index}`, peerAddress: '' }))
  for (let index = count; ; index++) if (selectMeterGateways(names(index + 1), ACCOUNT.name)[0].name === `gateway-${index}`) return index
}

describe('the limit of an account', () => {
  // Guards against two gateways that act as the home of a meter while gateways are added.
  it.each([1, 2, 3])('holds while an added gateway becomes the home of its meter (seed %p)', async seed => {
    const random = createRandom(seed)
    const homeIndex = indexOfNewHome(12)
    const plan = (startsAtMs: number): GatewayPlan => ({ startsAtMs, lagMs: random.between(0, 5), listingPhaseMs: random.between(0, LISTING_INTERVAL_MS) })
    const fleet = createFleet(Array.from({ length: homeIndex + 1 }, (_, index) => plan(index < homeIndex ? 0 : 40_000)), seed)
    await fleet.run(40_000 + SETTLING_MS - 1500, 12)
    const grantedBefore = fleet.grantedAtMs.length
    await fleet.run(40_000 + SETTLING_MS + 5000, 90)
    expect(mostInWindow(fleet.grantedAtMs)).toBeLessThanOrEqual(ALLOWED)
    expect(fleet.grantedAtMs.length - grantedBefore).toBeGreaterThan(6.5 * ACCOUNT.requestsPerSecond * 0.9)
  })

  // Guards against a home that goes on after a suspension, while its clock does not know that another gateway has taken its place.
  it('holds while the home is suspended until another gateway has taken its place', async () => {
    const homeIndex = indexOfNewHome(3)
    const names = Array.from({ length: homeIndex }, (_, index) => ({ name: `gateway-${index}`, peerAddress: '' }))
    const formerHome = selectMeterGateways(names, ACCOUNT.name)[0].name
    const plans = Array.from({ length: homeIndex + 1 }, (_, index): GatewayPlan => ({
      startsAtMs: index < homeIndex ? 0 : 40_000,
      lagMs: 0,
      listingPhaseMs: 1000,
      ...`gateway-${index}` === formerHome ? { suspendedAtMs: 40_000 + SETTLING_MS - 3000, suspendedMs: 3500 } : {}
    }))
    const fleet = createFleet(plans)
    await fleet.run(40_000 + SETTLING_MS - 3000, 5)
    await fleet.run(40_000 + SETTLING_MS + 5000, 90)
    expect(mostInWindow(fleet.grantedAtMs)).toBeLessThanOrEqual(ALLOWED)
  })

  it('holds whenever gateways are added, lost and suspended', async () => {
    const at = (fromMs: number, toMs: number): fc.Arbitrary<number> => fc.integer({ min: fromMs / 100, max: toMs / 100 }).map(value => value * 100)
    const clocks = { lagMs: fc.nat(10), listingPhaseMs: fc.nat(9999) }
    const first = fc.record({ startsAtMs: at(0, 500), ...clocks })
    const added = fc.record({ startsAtMs: at(20_000, 26_000), ...clocks })
    const suspended = fc.record({ suspendedAtMs: at(33_000, 43_000), suspendedMs: fc.integer({ min: 10, max: 40 }).map(value => value * 100) })
    const lost = fc.record({ endsAtMs: at(34_000, 44_000) })
    const plans = fc.tuple(fc.array(first, { minLength: 3, maxLength: 6 }), fc.array(added, { minLength: 1, maxLength: 4 }), fc.option(suspended), fc.option(lost), fc.nat(100))
    await fc.assert(fc.asyncProperty(plans, async ([firsts, addeds, suspension, loss, seed]) => {
      const all: GatewayPlan[] = [...firsts, ...addeds]
      const fleet = createFleet(all.map((plan, index) => ({ ...plan, ...index === 0 ? suspension : {}, ...index === 1 ? loss : {} })), seed)
      await fleet.run(34_000, 0)
      await fleet.run(46_000, 90)
      expect(mostInWindow(fleet.grantedAtMs)).toBeLessThanOrEqual(ALLOWED)
    }), { numRuns: 12, seed: 7 })
  })
})
