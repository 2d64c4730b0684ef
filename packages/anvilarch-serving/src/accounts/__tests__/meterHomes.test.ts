import { createFakeClock } from 'anvilarch-utils'
import type { MemberRecord } from '../../jobs/types'
import { selectMeterGateways, SETTLING_MS } from '../limits/meterGateways'
import { createMeterHomes, type MeterHomes } from '../limits/meterHomes'

const STARTED_AT_MS = 1000
const ADDED_AT_MS = 50_000
const WINDOW_MS = 5000

function member (name: string, knownSinceMs: number): MemberRecord {
  return { name, role: 'gateway', incarnation: 'i', peerAddress: `${name}:1`, failureDomain: 'a', aliveUntilMs: 1e9, knownSinceMs }
}

/** An account whose home is the added gateway once it has settled, and `g1` before. */
const FIRST = [member('g0', STARTED_AT_MS), member('g1', STARTED_AT_MS + 300)]
const ALL = [...FIRST, member('added', ADDED_AT_MS)]
const ACCOUNT = Array.from({ length: 100 }, (_, index) => `a${index}`)
  .find(name => selectMeterGateways(ALL, name)[0].name === 'added' && selectMeterGateways(FIRST, name)[0].name === 'g1') ?? ''

function homesAt (storeNowMs: number, ownName: string, onChanged: () => void = () => {}): { homes: MeterHomes, advance: (ms: number) => void } {
  const clock = createFakeClock(storeNowMs)
  const homes = createMeterHomes({ clock, ownName, members: () => ALL, storeNowMs: clock.nowMs, storeAnsweredAtMs: clock.nowMs, onChanged })
  return { homes, advance: ms => clock.advance(ms) }
}

describe('the home of a meter', () => {
  it('changes at the time at which an added gateway has settled, at the former home and the new one', () => {
    const changes: string[] = []
    const former = homesAt(ADDED_AT_MS + SETTLING_MS - 1, 'g1', () => changes.push('g1'))
    const next = homesAt(ADDED_AT_MS + SETTLING_MS - 1, 'added')
    expect([former.homes.mayGrantAsHome(ACCOUNT), next.homes.mayGrantAsHome(ACCOUNT)]).toEqual([true, false])
    former.advance(1)
    next.advance(1)
    expect([former.homes.mayGrantAsHome(ACCOUNT), next.homes.mayGrantAsHome(ACCOUNT)]).toEqual([false, true])
    expect(former.homes.otherHome(ACCOUNT)?.name).toBe('added')
    expect(changes).toHaveLength(2)
  })

  // Guards against requests within the limit that are refused while gateways have not listed all others.
  it('may be any gateway while the fleet starts', () => {
    expect(homesAt(STARTED_AT_MS + SETTLING_MS - 1, 'g0').homes.mayGrantAsHome(ACCOUNT)).toBe(true)
    expect(homesAt(STARTED_AT_MS + SETTLING_MS, 'g0').homes.mayGrantAsHome(ACCOUNT)).toBe(false)
  })

  it('takes meters over for a window after it has settled, unless it belongs to the first start', () => {
    const takesOver = (ownName: string, sinceMs: number): boolean => homesAt(ADDED_AT_MS + SETTLING_MS + sinceMs, ownName).homes.isTakingOver(WINDOW_MS)
    expect([takesOver('added', -1), takesOver('added', 0), takesOver('added', WINDOW_MS), takesOver('g0', 0)]).toEqual([false, true, false, false])
  })
})
