import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import type { Endpoint } from '../../model/types'
import { ANSWER_PATIENCE_MS, createLoadAsker, ENOUGH_AFTER_MS, type LoadAsker, MAX_UNANSWERED, RETRY_AFTER_MS } from '../loadAsker'
import type { LoadReport, PeerMessage } from '../peerMessages'

const ENDPOINTS: Endpoint[] = ['e1', 'e2', 'e3'].map((id, index) => ({
  id, startId: id, bornAtMs: undefined, service: 's', address: `10.0.0.${index}:80`, failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1
}))

let clock: FakeClock
let asker: LoadAsker
let sent: Array<{ number: number, ip: string }>
let reports: LoadReport[]

beforeEach(() => {
  clock = createFakeClock(1000)
  sent = []
  reports = []
  const send = (message: PeerMessage, to: { ip: string }): void => {
    if (message.message === 'load_question') sent.push({ number: message.number, ip: to.ip })
  }
  asker = createLoadAsker({ clock, send, peerPort: 7, onReport: report => reports.push(report) })
})

function answer (index: number): void {
  asker.onAnswer(sent[index].number, { startId: ENDPOINTS[index].startId, online: 0, batchRunning: 0, reachable: true })
}

/** @returns whether asking is over, after all that is due now */
async function isOver (asking: Promise<void>): Promise<boolean> {
  return await Promise.race([asking.then(() => true), new Promise<boolean>(resolve => setImmediate(() => resolve(false)))])
}

/** Nobody answers until the patience is over. */
async function askInVain (): Promise<void> {
  const asking = asker.ask(ENDPOINTS)
  clock.advance(ANSWER_PATIENCE_MS)
  await asking
}

describe('createLoadAsker', () => {
  it('is over as soon as all have answered', async () => {
    const asking = asker.ask(ENDPOINTS)
    expect(sent.map(({ ip }) => ip)).toEqual(['10.0.0.0', '10.0.0.1', '10.0.0.2'])
    answer(0)
    answer(1)
    expect(await isOver(asking)).toBe(false)
    answer(2)
    expect(await isOver(asking)).toBe(true)
    expect(reports).toHaveLength(3)
  })

  it('does not wait for a third when two have answered and some time has passed', async () => {
    const asking = asker.ask(ENDPOINTS)
    answer(0)
    answer(1)
    clock.advance(ENOUGH_AFTER_MS)
    expect(await isOver(asking)).toBe(true)
  })

  // Symptom: each request waits although nobody will answer it.
  // Sequence: the agents are killed, or their hosts are cut off, while their engines go on.
  // Cause: an agent that does not answer was asked and waited for at each request.
  it('waits for an agent that does not answer only a few times, and asks it again later', async () => {
    for (let round = 0; round < MAX_UNANSWERED; round++) {
      const asking = asker.ask(ENDPOINTS)
      expect(await isOver(asking)).toBe(false)
      clock.advance(ANSWER_PATIENCE_MS)
      expect(await isOver(asking)).toBe(true)
    }
    expect(ENDPOINTS.some(endpoint => asker.answers(endpoint))).toBe(false)
    const before = sent.length
    expect(await isOver(asker.ask(ENDPOINTS))).toBe(true)
    expect(sent.length).toBe(before)
    clock.advance(RETRY_AFTER_MS + 1)
    expect(await isOver(asker.ask(ENDPOINTS))).toBe(true)
    expect(sent.length).toBe(before + 3)
    asker.onAnswer(sent[before].number, undefined)
    expect(asker.answers(ENDPOINTS[0])).toBe(true)
  })

  it('takes an answer that comes after the patience for news all the same', async () => {
    await askInVain()
    answer(1)
    expect(reports).toHaveLength(1)
    expect(asker.answers(ENDPOINTS[1])).toBe(true)
  })

  it('takes no answer to a question that it has not asked, or has heard the answer to', async () => {
    await askInVain()
    answer(0)
    answer(0)
    asker.onAnswer(999, { startId: 'e9', online: 0, batchRunning: 0, reachable: true })
    expect(reports).toHaveLength(1)
  })
})
