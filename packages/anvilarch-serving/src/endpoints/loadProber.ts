/**
 * Asks the agents of a few endpoints how busy their engines are, just before a request is placed.
 *
 * Answers fleets of any size: what one request costs does not grow with the number of endpoints or gateways. Were each agent
 * to tell each gateway of each change, 40 agents and 40 gateways would exchange 16,000 datagrams a second for 200 requests;
 * asked, they exchange 2,000.
 */
import type { Clock } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'
import type { LoadResponse, LoadReport, PeerMessage } from './peerMessages'
import type { PeerAddress } from './peerSocket'

/** Asks agents. */
export interface LoadProber {
  /**
   * @param endpoints - whose agents are asked; those that have lately not answered are left out
   * @returns a promise that resolves when enough have answered, or when waiting longer would cost more than the answers are worth
   */
  probe: (endpoints: readonly Endpoint[]) => Promise<void>
  /** Takes an answer, if it comes from the address that was asked: whoever can send a datagram can guess a number. */
  onResponse: (answer: LoadResponse, from: PeerAddress) => void
  /** @returns whether the agent of the endpoint answers, as far as is known */
  isResponsive: (endpoint: Endpoint) => boolean
  remove: (endpoint: Endpoint) => void
}

/** Options of `createLoadProber`. */
export interface LoadProberOptions {
  clock: Clock
  send: (message: PeerMessage, to: PeerAddress) => void
  peerPort: number
  onReport: (report: LoadReport) => void
}

/** No request waits longer than this for answers: agents answer within 2 to 3 ms, and the shortest objective is some 120 ms. */
export const PROBE_TIMEOUT_MS = 8

/** Once two have answered, the others have until this long after the question: one that is slow to answer is slow to serve. */
export const QUORUM_WAIT_MS = 4

const ENOUGH_ANSWERS = 2

/** An agent that has left so many questions in a row without an answer is not waited for. */
export const MAX_CONSECUTIVE_TIMEOUTS = 2

/** One that does not answer is asked again after this, so that it is noticed when it comes back. */
export const REPROBE_INTERVAL_MS = 500

interface AgentState {
  /** Questions in a row whose patience is over. One that is still open says nothing: in a burst, several are at any time. */
  unanswered: number
  lastAskedMs: number
}

interface Round {
  waitingFor: number
  answered: number
  askedAtMs: number
  settle: () => void
}

interface Question {
  startId: string
  to: PeerAddress
  round: Round
}

/**
 * @param options - clock and sender
 * @returns an asker that has asked nobody
 */
export function createLoadProber (options: LoadProberOptions): LoadProber {
  const { clock } = options
  const agents = new Map<string, AgentState>()
  /** Questions that may still be answered in time, oldest first. */
  const open = new Map<number, Question>()
  /** Questions whose patience is over, oldest first; a late answer still tells that the agent is there. */
  const overdue = new Map<number, Question>()
  let lastNumber = 0

  const stateOf = (startId: string): AgentState => {
    const known = agents.get(startId) ?? { unanswered: 0, lastAskedMs: -Infinity }
    agents.set(startId, known)
    return known
  }

  const countOverdue = (nowMs: number): void => {
    for (const [number, question] of open) {
      if (nowMs - question.round.askedAtMs < PROBE_TIMEOUT_MS) return
      open.delete(number)
      overdue.set(number, question)
      const state = agents.get(question.startId)
      if (state !== undefined) state.unanswered++
    }
  }

  const answersNow = (startId: string): boolean => {
    countOverdue(clock.nowMs())
    return stateOf(startId).unanswered < MAX_CONSECUTIVE_TIMEOUTS
  }

  const mayAsk = (startId: string, nowMs: number): boolean => {
    const state = stateOf(startId)
    return state.unanswered < MAX_CONSECUTIVE_TIMEOUTS || nowMs - state.lastAskedMs > REPROBE_INTERVAL_MS
  }

  const put = (endpoint: Endpoint, round: Round): void => {
    const state = stateOf(endpoint.startId)
    // One that is asked only to see whether it is back holds nobody up.
    if (state.unanswered < MAX_CONSECUTIVE_TIMEOUTS) round.waitingFor++
    state.lastAskedMs = round.askedAtMs
    lastNumber++
    const to = { ip: endpoint.address.split(':')[0], port: options.peerPort }
    open.set(lastNumber, { startId: endpoint.startId, to, round })
    options.send({ message: 'load_probe', correlationId: lastNumber }, to)
  }

  const forgetOld = (nowMs: number): void => {
    for (const [number, { round }] of overdue) {
      if (nowMs - round.askedAtMs < REPROBE_INTERVAL_MS) return
      overdue.delete(number)
    }
  }

  /** @returns the question that is answered, which is then no longer waited for */
  const takeQuestion = (number: number, from: PeerAddress): Question | undefined => {
    const question = open.get(number) ?? overdue.get(number)
    if (question === undefined || question.to.ip !== from.ip || question.to.port !== from.port) return undefined
    open.delete(number)
    overdue.delete(number)
    return question
  }

  return {
    probe: async endpoints => {
      const nowMs = clock.nowMs()
      countOverdue(nowMs)
      forgetOld(nowMs)
      const asked = endpoints.filter(endpoint => mayAsk(endpoint.startId, nowMs))
      if (asked.length === 0) return
      await new Promise<void>(resolve => {
        const round: Round = { waitingFor: 0, answered: 0, askedAtMs: nowMs, settle: resolve }
        asked.forEach(endpoint => put(endpoint, round))
        if (round.waitingFor === 0) {
          resolve()
          return
        }
        const enough = clock.after(QUORUM_WAIT_MS, () => { if (round.answered >= ENOUGH_ANSWERS) round.settle() })
        const patience = clock.after(PROBE_TIMEOUT_MS, () => round.settle())
        round.settle = () => {
          enough.cancel()
          patience.cancel()
          resolve()
        }
      })
    },
    onResponse: ({ correlationId: number, report }, from) => {
      const question = takeQuestion(number, from)
      if (question === undefined) return
      stateOf(question.startId).unanswered = 0
      if (report !== undefined) options.onReport(report)
      const { round } = question
      round.answered++
      const late = clock.nowMs() - round.askedAtMs >= QUORUM_WAIT_MS
      if (round.answered >= round.waitingFor || (late && round.answered >= ENOUGH_ANSWERS)) round.settle()
    },
    isResponsive: endpoint => answersNow(endpoint.startId),
    remove: endpoint => { agents.delete(endpoint.startId) }
  }
}
