import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import type { Endpoint } from '../../model/types'
import { createVersionHistory, SETTLING_MS, type VersionHistory } from '../versionHistory'

const RETENTION_MS = 10_000

let clock: FakeClock
let history: VersionHistory

beforeEach(() => {
  clock = createFakeClock(1000)
  history = createVersionHistory(clock, () => RETENTION_MS)
})

function endpoint (softwareVersion: string): Endpoint {
  return { id: 'e', bornAtMs: undefined, startId: 'e', service: 's', address: 'a', failureDomain: 'a', softwareVersion, slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1 }
}

describe('recent versions', () => {
  it('include a version that is no longer listed until the retention is over', () => {
    history.onListed(endpoint('v1'), true)
    history.onListed(endpoint('v2'), false)
    history.onUnlisted(endpoint('v1'))
    expect(history.recent('s')).toEqual(['v1', 'v2'])
    expect(history.listed('s')).toEqual(['v2'])
    clock.advance(RETENTION_MS + 1)
    expect(history.recent('s')).toEqual(['v2'])
  })

  it('include a version as long as one of its endpoints is listed', () => {
    for (const version of ['v1', 'v1', 'v2']) history.onListed(endpoint(version), true)
    history.onUnlisted(endpoint('v1'))
    clock.advance(RETENTION_MS + 1)
    expect(history.recent('s')).toEqual(['v1', 'v2'])
  })
})

describe('a new version', () => {
  it('is settled only after all gateways have had time to list it', () => {
    history.onListed(endpoint('v1'), true)
    history.onListed(endpoint('v2'), false)
    expect([history.isSettled('s', 'v1'), history.isSettled('s', 'v2')]).toEqual([true, false])
    expect(history.settlesInMs('s')).toBe(SETTLING_MS)
    clock.advance(SETTLING_MS)
    expect(history.isSettled('s', 'v2')).toBe(true)
    expect(history.settlesInMs('s')).toBe(0)
  })

  it('is reported to listeners when it is first listed and when its last endpoint is gone', () => {
    const changes: string[] = []
    history.onChange(service => { changes.push(`${service}: ${history.listed(service).join()}`) })
    for (const version of ['v1', 'v2', 'v2']) history.onListed(endpoint(version), true)
    for (const version of ['v2', 'v2']) history.onUnlisted(endpoint(version))
    expect(changes).toEqual(['s: v1', 's: v1,v2', 's: v1'])
  })
})
