import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import type { Endpoint } from '../../model/types'
import { PROBE_TIMEOUT_MS, createLoadProber, QUORUM_WAIT_MS, type LoadProber, MAX_CONSECUTIVE_TIMEOUTS, REPROBE_INTERVAL_MS } from '../loadProber'
import type { LoadReport, PeerMessage } from '../peerMessages'
import type { PeerAddress } from '../peerSocket'

const ENDPOINTS: Endpoint[] = ['e1', 'e2', 'e3'].map((id, index) => ({
  id, startId: id, bornAtMs: undefined, service: 's', address: `10.0.0.${index}:80`, failureDomain: 'a', softwareVersion: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1
}))

let clock: FakeClock
let prober: LoadProber
let sent: Array<{ correlationId: number, ip: string, port: number }>
let reports: LoadReport[]

beforeEach(() => {
  clock = createFakeClock(1000)
  sent = []
  reports = []
  const send = (message: PeerMessage, to: PeerAddress): void => {
    if (message.message === 'load_probe') sent.push({ correlationId: message.correlationId, ip: to.ip, port: to.port })
  }
  prober = createLoadProber({ clock, send, peerPort: 7, onReport: report => reports.push(report) })
})

function respond (index: number, from: PeerAddress = sent[index]): void {
  prober.onResponse({ message: 'load_response', correlationId: sent[index].correlationId, report: reportOf(index) }, from)
}

/** Responds to the probes of some endpoints in a round in which all were probed. */
function respondInRound (round: number, indexes: readonly number[]): void {
  for (const index of indexes) {
    const probe = sent[round * ENDPOINTS.length + index]
    prober.onResponse({ message: 'load_response', correlationId: probe.correlationId, report: reportOf(index) }, probe)
  }
}

function reportOf (index: number): LoadReport {
  return { startId: ENDPOINTS[index].startId, online: 0, batchRunning: 0, reachable: true }
}

/** @returns whether a round of probes has ended, once everything that is due has run */
async function isOver (probing: Promise<void>): Promise<boolean> {
  return await Promise.race([probing.then(() => true), new Promise<boolean>(resolve => setImmediate(() => resolve(false)))])
}

/** Probes all endpoints without a response until the timeout. */
async function probeUntilTimeout (): Promise<void> {
  const probing = prober.probe(ENDPOINTS)
  clock.advance(PROBE_TIMEOUT_MS)
  await probing
}

describe('createLoadProber', () => {
  it('ends a round as soon as all agents have responded', async () => {
    const probing = prober.probe(ENDPOINTS)
    expect(sent.map(({ ip }) => ip)).toEqual(['10.0.0.0', '10.0.0.1', '10.0.0.2'])
    respond(0)
    respond(1)
    expect(await isOver(probing)).toBe(false)
    respond(2)
    expect(await isOver(probing)).toBe(true)
    expect(reports).toHaveLength(3)
  })

  it('does not wait for a third response once two have arrived and some time has passed', async () => {
    const probing = prober.probe(ENDPOINTS)
    respond(0)
    respond(1)
    clock.advance(QUORUM_WAIT_MS)
    expect(await isOver(probing)).toBe(true)
  })

  // Guards against each request waiting for agents that do not respond.
  it('stops waiting for an agent after some timeouts in a row, and probes it again later', async () => {
    for (let round = 0; round < MAX_CONSECUTIVE_TIMEOUTS; round++) {
      const probing = prober.probe(ENDPOINTS)
      expect(await isOver(probing)).toBe(false)
      clock.advance(PROBE_TIMEOUT_MS)
      expect(await isOver(probing)).toBe(true)
    }
    expect(ENDPOINTS.some(endpoint => prober.isResponsive(endpoint))).toBe(false)
    const before = sent.length
    expect(await isOver(prober.probe(ENDPOINTS))).toBe(true)
    expect(sent.length).toBe(before)
    clock.advance(REPROBE_INTERVAL_MS + 1)
    expect(await isOver(prober.probe(ENDPOINTS))).toBe(true)
    expect(sent.length).toBe(before + 3)
    prober.onResponse({ message: 'load_response', correlationId: sent[before].correlationId, report: undefined }, sent[before])
    expect(prober.isResponsive(ENDPOINTS[0])).toBe(true)
  })

  it('accepts a response that arrives after the timeout', async () => {
    await probeUntilTimeout()
    respond(1)
    expect(reports).toHaveLength(1)
    expect(prober.isResponsive(ENDPOINTS[1])).toBe(true)
  })

  it('ignores responses without a probe and repeated responses', async () => {
    await probeUntilTimeout()
    respond(0)
    respond(0)
    prober.onResponse({ message: 'load_response', correlationId: 999, report: reportOf(1) }, sent[1])
    expect(reports).toHaveLength(1)
  })

  // Guards against treating healthy agents as unresponsive in a burst: their engines would seem busy or be skipped, and batch
  // items there would not be preempted.
  it('considers an agent responsive while several probes to it are pending', async () => {
    const rounds = [prober.probe(ENDPOINTS), prober.probe(ENDPOINTS), prober.probe(ENDPOINTS)]
    clock.advance(PROBE_TIMEOUT_MS / 2)
    expect(ENDPOINTS.every(endpoint => prober.isResponsive(endpoint))).toBe(true)
    expect(sent).toHaveLength(3 * ENDPOINTS.length)
    clock.advance(PROBE_TIMEOUT_MS / 2)
    await Promise.all(rounds)
    expect(ENDPOINTS.some(endpoint => prober.isResponsive(endpoint))).toBe(false)
  })

  it('counts a probe without a response even if the round ended early', async () => {
    for (let round = 0; round < MAX_CONSECUTIVE_TIMEOUTS; round++) {
      const probing = prober.probe(ENDPOINTS)
      respondInRound(round, [0, 1])
      clock.advance(QUORUM_WAIT_MS)
      await probing
      clock.advance(PROBE_TIMEOUT_MS)
    }
    expect(ENDPOINTS.map(endpoint => prober.isResponsive(endpoint))).toEqual([true, true, false])
  })

  // Guards against forged responses, which make a gateway consider an engine idle or unreachable.
  it('accepts a response only from the address that was probed', async () => {
    const probing = prober.probe(ENDPOINTS)
    respond(0, { ...sent[0], ip: '10.0.0.9' })
    respond(0, { ...sent[0], port: 8 })
    expect(reports).toHaveLength(0)
    respond(0)
    respond(1)
    respond(2)
    await probing
    expect(reports).toHaveLength(3)
  })
})
