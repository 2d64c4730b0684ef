import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import type { EventLog } from '../../telemetry/events'
import { type CrashMonitor, createCrashMonitor } from '../crashMonitor'
import type { RequestIdentity } from '../fingerprint'
import { createSuspectTable, type SuspectRecord } from '../suspectTable'

let clock: FakeClock
let monitor: CrashMonitor
let published: SuspectRecord[]
let cleared: string[]
let claims: SuspectRecord[]

beforeEach(() => {
  clock = createFakeClock(100_000)
  published = []
  cleared = []
  claims = []
  const suspects = createSuspectTable(clock, clock.nowMs)
  monitor = createCrashMonitor({
    log: SILENT_LOGGER as EventLog,
    suspects,
    storeNowMs: clock.nowMs,
    shared: {
      publish: records => { published.push(...records) },
      claimTrial: async record => {
        claims.push(record)
        suspects.merge({ ...record, trials: (record.trials ?? 0) + 1 })
        return true
      },
      clear: async record => { cleared.push(record.fingerprint) }
    }
  })
})

function requestWith (text: string, ...sharedParts: string[]): RequestIdentity {
  return { method: 'POST', host: 'h', path: '/', body: Buffer.from(text), sharedParts }
}

function crash (index: number, ...parts: string[]): void {
  monitor.onConnectionLost(requestWith(`text ${index}`, ...parts), `e${index}`)
  monitor.onEndpointLost(`e${index}`)
}

describe('requests with a prompt part that crashes endpoints', () => {
  beforeEach(() => { for (const index of [1, 2, 3]) crash(index, 'bad') })

  it('are refused, however much else of them differs', () => {
    expect(monitor.admit(requestWith('new text', 'other', 'bad'))).toBe('quarantined')
    expect(monitor.admit(requestWith('new text', 'other'))).toBe('admitted')
  })

  // Guards against parts that stay refused after the engines have been mended, or that were never at fault.
  it('are tried again after growing delays, one at a time', async () => {
    const request = requestWith('new text', 'bad')
    clock.advance(5000)
    expect(monitor.admit(request)).toBe('trial_due')
    expect(await monitor.claimTrial(request)).toBe(true)
    expect(monitor.admit(request)).toBe('quarantined')
    clock.advance(15_000)
    expect(monitor.admit(request)).toBe('trial_due')
    expect(claims).toHaveLength(1)
  })

  // Guards against trials that show nothing and use up those of a sound part.
  it('are not tried while two of their parts are quarantined', () => {
    for (const index of [4, 5, 6]) crash(index, 'other')
    clock.advance(5000)
    expect(monitor.admit(requestWith('new text', 'bad', 'other'))).toBe('quarantined')
    expect(monitor.admit(requestWith('new text', 'other'))).toBe('trial_due')
  })

  it('are admitted again once an endpoint has completed one', () => {
    monitor.onCompleted(requestWith('new text', 'bad'))
    expect(cleared).toEqual(['part:bad'])
    expect(monitor.admit(requestWith('another text', 'bad'))).toBe('admitted')
  })
})

describe('a request that has lost its endpoint', () => {
  it('is not sent to another one after two crashes with one of its parts', () => {
    crash(1, 'bad')
    expect(monitor.mayRunAgain(requestWith('text 1', 'bad'), true)).toBe(true)
    crash(2, 'bad')
    expect(monitor.mayRunAgain(requestWith('text 2', 'bad'), true)).toBe(false)
    expect(monitor.mayRunAgain(requestWith('text 2', 'sound'), true)).toBe(true)
  })

  // Guards against the refusal of a request that a full endpoint has not run, because a part of it was in progress at two crashes.
  it('is sent to another one if none has run it, unless its part is quarantined', () => {
    for (const index of [1, 2]) crash(index, 'part')
    expect(monitor.mayRunAgain(requestWith('text 2', 'part'), false)).toBe(true)
    crash(3, 'part')
    expect(monitor.mayRunAgain(requestWith('text 3', 'part'), false)).toBe(false)
  })
})
