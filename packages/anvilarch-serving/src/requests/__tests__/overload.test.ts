import type { Endpoint } from '../../model/types'
import type { EndpointLoad } from '../../endpoints/loadTable'
import { shareOfUse } from '../../accounts/share'
import { checkOverload, type OverloadInput } from '../overload'

const ENDPOINTS: Endpoint[] = ['e1', 'e2'].map(id => ({ id, startId: id, bornAtMs: undefined, service: 's', address: 'a', failureDomain: 'a', softwareVersion: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1 }))

function input (online: number, change: Partial<OverloadInput> = {}): OverloadInput {
  const load: EndpointLoad = { online, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: 0 }
  return { candidates: ENDPOINTS, loadOf: () => load, holdMs: 700, latencyObjectiveMs: 300, gapObjectiveMs: 250, remainingMs: 5000, routeTimeoutMs: 5000, priorityRank: 0, shareOfUse: () => 1, slotCount: () => 16, random: () => 0, ...change }
}

describe('checkOverload', () => {
  it('accepts a request if there is a free slot or a short queue', () => {
    expect(checkOverload(input(7)).refused).toBe(false)
    expect(checkOverload(input(9)).refused).toBe(false)
  })

  it('refuses a request that would miss its objective in the queue, with a Retry-After', () => {
    const overload = checkOverload(input(12))
    expect(overload).toMatchObject({ refused: true, reason: 'wait_too_long' })
    expect(overload.refused && overload.retryAfterMs).toBeLessThanOrEqual(5000 / 3)
    expect(overload.refused && overload.retryAfterMs).toBeGreaterThan(800)
  })

  // Guards against urgent accounts waiting behind less urgent ones at full endpoints.
  it('refuses the less urgent accounts first as the queue grows', () => {
    const refusedFrom = (priorityRank: number): number => {
      for (let online = 0; online < 40; online++) if (checkOverload(input(online, { priorityRank, holdMs: 100 })).refused) return online
      return Infinity
    }
    const [urgent, less, least] = [0, 1, 2].map(refusedFrom)
    expect(less).toBeLessThan(urgent)
    expect(least).toBeLessThan(less)
  })

  // Guards against accounts that ask for their usual and wait behind one that asks for six times as much.
  it('refuses an account earlier the further it is above its share, and none while a slot is free', () => {
    const refusedFrom = (usedPerSecond: number): number => {
      const share = (capacityPerSecond: number): number => shareOfUse({ usedPerSecond, limitPerSecond: 50, allLimitsPerSecond: 200, capacityPerSecond })
      for (let online = 0; online < 40; online++) if (checkOverload(input(online, { shareOfUse: share, holdMs: 100 })).refused) return online
      return Infinity
    }
    // 16 slots of 100 ms complete 160 requests a second, of which 40 are the share of this account.
    const [within, double, sixfold] = [40, 80, 240].map(refusedFrom)
    expect(within).toBe(refusedFrom(0))
    expect(double).toBeLessThan(within)
    expect(sixfold).toBeLessThan(double)
    expect(sixfold).toBeGreaterThanOrEqual(ENDPOINTS[0].slots)
    expect(checkOverload(input(9, { shareOfUse: () => 0.1, holdMs: 400 }))).toMatchObject({ refused: true, reason: 'above_share' })
  })

  it('does not refuse a request a second time for a long wait', () => {
    expect(checkOverload(input(12, { remainingMs: 3500 })).refused).toBe(false)
  })

  it('refuses a request that would miss its deadline', () => {
    expect(checkOverload(input(60, { remainingMs: 1000 }))).toMatchObject({ refused: true, reason: 'no_time' })
  })

  it('refuses nothing until the hold time is known', () => {
    expect(checkOverload(input(60, { holdMs: undefined })).refused).toBe(false)
  })

  it('uses the shortest wait among endpoints that are not suspected', () => {
    const loads: Record<string, EndpointLoad> = {
      e1: { online: 0, batchRunning: 0, ownInProgress: 0, suspected: true, ageMs: 0 },
      e2: { online: 12, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: 0 }
    }
    expect(checkOverload(input(0, { loadOf: ({ id }) => loads[id] })).refused).toBe(true)
  })

  // Guards against streams that are kept for a slow endpoint and end late, or not before their deadline.
  it('does not count a free slot of an endpoint whose pace makes streams late', () => {
    const loads: Record<string, EndpointLoad> = {
      e1: { online: 0, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: 0, eventIntervalMs: 200 },
      e2: { online: 12, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: 0, eventIntervalMs: 20 }
    }
    expect(checkOverload(input(0, { loadOf: ({ id }) => loads[id] })).refused).toBe(true)
    loads.e2 = { ...loads.e2, online: 8 }
    expect(checkOverload(input(0, { loadOf: ({ id }) => loads[id] })).refused).toBe(false)
  })

  // Guards against every request of a burst beyond the capacity being late although most of them could be on time.
  it('keeps more requests of a burst on time than a queue without refusals', () => {
    const served = (refuses: boolean): number => playBurst(refuses).filter(waitMs => waitMs <= 300).length
    expect(playBurst(false)).toHaveLength(168)
    expect(served(false)).toBe(120)
    expect(served(true)).toBe(168)
  })
})

/** @returns the waits of the accepted requests of a burst of 70 a second at 40 slots */
function playBurst (refuses: boolean): number[] {
  const slotCount = 40
  const holdMs = 700
  const freeAtMs: number[] = Array.from({ length: slotCount }, () => 0)
  const waits: number[] = []
  const burst = Array.from({ length: 168 }, (_, index) => ({ atMs: index * 1000 / 70, remainingMs: 5000 }))
  const pending = [...burst]
  while (pending.length > 0) {
    pending.sort((a, b) => a.atMs - b.atMs)
    const request = pending[0]
    pending.shift()
    freeAtMs.sort((a, b) => a - b)
    const waitMs = Math.max(0, freeAtMs[0] - request.atMs)
    const taken = freeAtMs.filter(atMs => atMs > request.atMs).length
    const waiting = taken < slotCount ? 0 : Math.round(waitMs / holdMs * slotCount)
    const online = taken + waiting
    const endpoint: Endpoint = { ...ENDPOINTS[0], slots: slotCount }
    const overload = checkOverload(input(online, { candidates: [endpoint], remainingMs: request.remainingMs }))
    if (refuses && overload.refused) {
      pending.push({ atMs: request.atMs + overload.retryAfterMs, remainingMs: request.remainingMs - overload.retryAfterMs })
      continue
    }
    freeAtMs[0] = request.atMs + waitMs + holdMs
    waits.push(waitMs)
  }
  return waits
}
