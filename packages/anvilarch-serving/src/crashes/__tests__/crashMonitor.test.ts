import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import type { EventLog } from '../../telemetry/events'
import { createServingMetrics } from '../../telemetry/metrics'
import { type CrashMonitor, createCrashMonitor } from '../crashMonitor'
import type { RequestIdentity } from '../fingerprint'
import { type ConnectResult, createLossProber, PROBE_DELAY_MS } from '../lossProber'
import { createSuspectTable, CRASH_CORRELATION_MS, type SuspectRecord } from '../suspectTable'

let clock: FakeClock
let monitor: CrashMonitor
let published: SuspectRecord[]
let cleared: string[]
let claims: SuspectRecord[]
/** Results of connections to endpoints by address; no response from others. */
let connectResults: Map<string, ConnectResult>

beforeEach(() => {
  clock = createFakeClock(100_000)
  published = []
  cleared = []
  claims = []
  connectResults = new Map()
  const suspects = createSuspectTable(clock, clock.nowMs)
  monitor = createCrashMonitor({
    clock,
    metrics: createServingMetrics(),
    log: SILENT_LOGGER as EventLog,
    connect: async address => connectResults.get(address) ?? 'unknown',
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
  monitor.onConnectionLost(requestWith(`text ${index}`, ...parts), { startId: `e${index}`, address: `a${index}` })
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

describe('a request whose connection was lost', () => {
  const REQUEST = requestWith('text')

  async function loseConnections (result: ConnectResult | undefined): Promise<void> {
    for (const index of [1, 2, 3]) {
      if (result !== undefined) connectResults.set(`a${index}`, result)
      monitor.onConnectionLost(REQUEST, { startId: `e${index}`, address: `a${index}` })
      await clock.advanceAsync(PROBE_DELAY_MS)
    }
  }

  // Guards against a request that goes on to crash endpoints in a quiet hour, in which nothing else shows that they are gone.
  it('is quarantined if its endpoints refuse connections afterwards', async () => {
    await loseConnections('refused')
    expect(monitor.admit(REQUEST)).toBe('quarantined')
    expect(published.at(-1)?.crashedStarts).toEqual(['e1', 'e2', 'e3'])
  })

  it('is quarantined if the entries of its endpoints end after three heartbeats', async () => {
    await loseConnections('unknown')
    clock.advance(4000)
    for (const index of [1, 2, 3]) monitor.onEndpointLost(`e${index}`)
    expect(monitor.admit(REQUEST)).toBe('quarantined')
  })

  it('is not blamed if its endpoints still accept connections, even if they are lost later', async () => {
    await loseConnections('connected')
    clock.advance(1000)
    for (const index of [1, 2, 3]) monitor.onEndpointLost(`e${index}`)
    expect(monitor.admit(REQUEST)).toBe('admitted')
    expect(published).toEqual([])
  })

  it('is not blamed for a loss of its endpoint that comes much later', async () => {
    await loseConnections('unknown')
    clock.advance(CRASH_CORRELATION_MS)
    for (const index of [1, 2, 3]) monitor.onEndpointLost(`e${index}`)
    expect(monitor.admit(REQUEST)).toBe('admitted')
  })

  // Guards against a lookup of many callers that is refused for minutes because it was in progress at three crashes.
  it('is no suspect any more once an endpoint has completed it', async () => {
    for (const index of [1, 2]) crash(index)
    const lookup = requestWith('text 1')
    monitor.onCompleted(lookup)
    expect(cleared).toHaveLength(1)
    for (const index of [3, 4]) {
      monitor.onConnectionLost(lookup, { startId: `e${index}`, address: `a${index}` })
      monitor.onEndpointLost(`e${index}`)
    }
    expect(monitor.admit(lookup)).toBe('admitted')
  })
})

describe('the connection after a loss', () => {
  it('is made once for all requests that were lost together', async () => {
    let connections = 0
    const prober = createLossProber({
      clock,
      log: SILENT_LOGGER as EventLog,
      connect: async () => {
        connections++
        return 'refused'
      },
      onResult: () => {}
    })
    for (let index = 0; index < 6; index++) prober.onConnectionLost({ startId: 'e1', address: 'a1' })
    await clock.advanceAsync(PROBE_DELAY_MS)
    expect(connections).toBe(1)
  })

  it('is made again if another connection is lost meanwhile', async () => {
    const results: ConnectResult[] = ['connected', 'refused']
    const reported: ConnectResult[] = []
    const connect = async (): Promise<ConnectResult> => {
      if (results.length === 2) prober.onConnectionLost({ startId: 'e1', address: 'a1' })
      return results.shift() ?? 'unknown'
    }
    const prober = createLossProber({ clock, log: SILENT_LOGGER as EventLog, connect, onResult: (_endpoint, result) => reported.push(result) })
    prober.onConnectionLost({ startId: 'e1', address: 'a1' })
    await clock.advanceAsync(2 * PROBE_DELAY_MS)
    expect(reported).toEqual(['refused'])
  })
})
