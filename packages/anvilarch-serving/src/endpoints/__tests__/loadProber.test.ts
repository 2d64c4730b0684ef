import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import type { Endpoint } from '../../model/types'
import { PROBE_TIMEOUT_MS, createLoadProber, QUORUM_WAIT_MS, type LoadProber, MAX_CONSECUTIVE_TIMEOUTS, REPROBE_INTERVAL_MS } from '../loadProber'
import type { LoadReport, PeerMessage } from '../peerMessages'
import type { PeerAddress } from '../peerSocket'

const ENDPOINTS: Endpoint[] = ['e1', 'e2', 'e3'].map((id, index) => ({
  id, startId: id, bornAtMs: undefined, service: 's', address: `10.0.0.${index}:80`, failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1
}))

let clock: FakeClock
let asker: LoadProber
let sent: Array<{ number: number, ip: string, port: number }>
let reports: LoadReport[]

beforeEach(() => {
  clock = createFakeClock(1000)
  sent = []
  reports = []
  const send = (message: PeerMessage, to: PeerAddress): void => {
    if (message.message === 'load_probe') sent.push({ number: message.correlationId, ip: to.ip, port: to.port })
  }
  asker = createLoadProber({ clock, send, peerPort: 7, onReport: report => reports.push(report) })
})

function answer (index: number, from: PeerAddress = sent[index]): void {
  asker.onResponse({ message: 'load_response', correlationId: sent[index].number, report: reportOf(index) }, from)
}

/** Answers the questions to some endpoints in a round in which all were asked. */
function answerRound (round: number, indexes: readonly number[]): void {
  for (const index of indexes) {
    const question = sent[round * ENDPOINTS.length + index]
    asker.onResponse({ message: 'load_response', correlationId: question.number, report: reportOf(index) }, question)
  }
}

function reportOf (index: number): LoadReport {
  return { startId: ENDPOINTS[index].startId, online: 0, batchRunning: 0, reachable: true }
}

/** @returns whether asking is over, after all that is due now */
async function isOver (asking: Promise<void>): Promise<boolean> {
  return await Promise.race([asking.then(() => true), new Promise<boolean>(resolve => setImmediate(() => resolve(false)))])
}

/** Nobody answers until the patience is over. */
async function askInVain (): Promise<void> {
  const asking = asker.probe(ENDPOINTS)
  clock.advance(PROBE_TIMEOUT_MS)
  await asking
}

describe('createLoadProber', () => {
  it('is over as soon as all have answered', async () => {
    const asking = asker.probe(ENDPOINTS)
    expect(sent.map(({ ip }) => ip)).toEqual(['10.0.0.0', '10.0.0.1', '10.0.0.2'])
    answer(0)
    answer(1)
    expect(await isOver(asking)).toBe(false)
    answer(2)
    expect(await isOver(asking)).toBe(true)
    expect(reports).toHaveLength(3)
  })

  it('does not wait for a third when two have answered and some time has passed', async () => {
    const asking = asker.probe(ENDPOINTS)
    answer(0)
    answer(1)
    clock.advance(QUORUM_WAIT_MS)
    expect(await isOver(asking)).toBe(true)
  })

  // Guards against this: each request waits although nobody will answer it.
  it('waits for an agent that does not answer only a few times, and asks it again later', async () => {
    for (let round = 0; round < MAX_CONSECUTIVE_TIMEOUTS; round++) {
      const asking = asker.probe(ENDPOINTS)
      expect(await isOver(asking)).toBe(false)
      clock.advance(PROBE_TIMEOUT_MS)
      expect(await isOver(asking)).toBe(true)
    }
    expect(ENDPOINTS.some(endpoint => asker.isResponsive(endpoint))).toBe(false)
    const before = sent.length
    expect(await isOver(asker.probe(ENDPOINTS))).toBe(true)
    expect(sent.length).toBe(before)
    clock.advance(REPROBE_INTERVAL_MS + 1)
    expect(await isOver(asker.probe(ENDPOINTS))).toBe(true)
    expect(sent.length).toBe(before + 3)
    asker.onResponse({ message: 'load_response', correlationId: sent[before].number, report: undefined }, sent[before])
    expect(asker.isResponsive(ENDPOINTS[0])).toBe(true)
  })

  it('takes an answer that comes after the patience for news all the same', async () => {
    await askInVain()
    answer(1)
    expect(reports).toHaveLength(1)
    expect(asker.isResponsive(ENDPOINTS[1])).toBe(true)
  })

  it('takes no answer to a question that it has not asked, or has heard the answer to', async () => {
    await askInVain()
    answer(0)
    answer(0)
    asker.onResponse({ message: 'load_response', correlationId: 999, report: reportOf(1) }, sent[1])
    expect(reports).toHaveLength(1)
  })

  // Guards against this: in a burst, engines of healthy agents seem busy or are passed over, and batch items beside them do not give way.
  it('still counts on an agent while several questions to it are open', async () => {
    const askings = [asker.probe(ENDPOINTS), asker.probe(ENDPOINTS), asker.probe(ENDPOINTS)]
    clock.advance(PROBE_TIMEOUT_MS / 2)
    expect(ENDPOINTS.every(endpoint => asker.isResponsive(endpoint))).toBe(true)
    expect(sent).toHaveLength(3 * ENDPOINTS.length)
    clock.advance(PROBE_TIMEOUT_MS / 2)
    await Promise.all(askings)
    expect(ENDPOINTS.some(endpoint => asker.isResponsive(endpoint))).toBe(false)
  })

  it('counts a question that nobody answered although others were answered in time', async () => {
    for (let round = 0; round < MAX_CONSECUTIVE_TIMEOUTS; round++) {
      const asking = asker.probe(ENDPOINTS)
      answerRound(round, [0, 1])
      clock.advance(QUORUM_WAIT_MS)
      await asking
      clock.advance(PROBE_TIMEOUT_MS)
    }
    expect(ENDPOINTS.map(endpoint => asker.isResponsive(endpoint))).toEqual([true, true, false])
  })

  // Guards against this: a gateway takes an engine for idle, or for lost, that is neither.
  it('takes an answer only from the address that it has asked', async () => {
    const asking = asker.probe(ENDPOINTS)
    answer(0, { ...sent[0], ip: '10.0.0.9' })
    answer(0, { ...sent[0], port: 8 })
    expect(reports).toHaveLength(0)
    answer(0)
    answer(1)
    answer(2)
    await asking
    expect(reports).toHaveLength(3)
  })
})
