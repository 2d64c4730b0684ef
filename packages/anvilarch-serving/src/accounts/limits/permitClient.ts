/** Asks other gateways for permits, by datagrams of which any may be lost. */
import type { Clock, Timer } from 'anvilarch-utils'
import type { PeerMessage, PermitResponseMessage } from '../../endpoints/peerMessages'
import type { PeerAddress } from '../../endpoints/peerSocket'
import type { Grant } from './accountMeter'
import type { Granter } from './limitBounds'

/** A question to the gateway that keeps a meter. */
export interface PermitRequest {
  accountName: string
  granter: Exclude<Granter, 'self'>
  wanted: number
}

/** Asks for permits. */
export interface PermitClient {
  /** @returns what is granted; undefined when there is no answer in time */
  request: (to: PeerAddress, request: PermitRequest) => Promise<Grant | undefined>
  /** Takes an answer, if it comes from the address that was asked. */
  onResponse: (answer: PermitResponseMessage, from: PeerAddress) => void
  refund: (to: PeerAddress, accountName: string, granter: Exclude<Granter, 'self'>, count: number) => void
}

/** Options of `createPermitClient`. */
export interface PermitClientOptions {
  clock: Clock
  send: (message: PeerMessage, to: PeerAddress) => void
  /** Told along with each question, so that whoever has an older version of the configuration hears of it. */
  configurationVersion: () => number
}

/** Gateways answer within 2 to 3 ms, a slow one that is busy within some 20 ms. */
export const PERMIT_TIMEOUT_MS = 25

/** A gateway that has left so many questions in a row without an answer is passed over. */
const MAX_UNANSWERED = 2

/** One that is passed over is asked again after this. */
const RETRY_SILENT_AFTER_MS = 300

/** An answer that comes later than this gives nothing back. */
const LATE_ANSWER_MS = 2000

interface Question {
  to: PeerAddress
  request: PermitRequest
  /** Undefined once the patience is over. */
  settle: ((grant: Grant | undefined) => void) | undefined
  timer: Timer
}

interface Silence {
  unanswered: number
  lastAskedMs: number
}

/**
 * @param options - clock and sender
 * @returns an asker that has asked nobody
 */
export function createPermitClient (options: PermitClientOptions): PermitClient {
  const { clock, send } = options
  const questions = new Map<number, Question>()
  const silences = new Map<string, Silence>()
  let lastNumber = 0

  const giveBack: PermitClient['refund'] = (to, accountName, granter, count) => {
    send({ message: 'permit_refund', accountName, granter, count }, to)
  }

  const mayAsk = (key: string): boolean => {
    const silence = silences.get(key)
    if (silence === undefined || silence.unanswered < MAX_UNANSWERED) return true
    return clock.nowMs() - silence.lastAskedMs > RETRY_SILENT_AFTER_MS
  }

  const onSilent = (number: number, key: string): void => {
    const question = questions.get(number)
    if (question === undefined) return
    const settle = question.settle
    question.settle = undefined
    question.timer = clock.after(LATE_ANSWER_MS, () => questions.delete(number))
    const silence = silences.get(key) ?? { unanswered: 0, lastAskedMs: 0 }
    silences.set(key, { unanswered: silence.unanswered + 1, lastAskedMs: clock.nowMs() })
    settle?.(undefined)
  }

  return {
    request: async (to, request) => {
      const key = `${to.ip}:${to.port}`
      if (!mayAsk(key)) return undefined
      lastNumber++
      const number = lastNumber
      return await new Promise(resolve => {
        const timer = clock.after(PERMIT_TIMEOUT_MS, () => onSilent(number, key))
        questions.set(number, { to, request, settle: resolve, timer })
        send({ message: 'permit_request', correlationId: number, ...request, configurationVersion: options.configurationVersion() }, to)
      })
    },
    onResponse: ({ correlationId: number, granted, retryAfterMs }, from) => {
      const question = questions.get(number)
      if (question === undefined || question.to.ip !== from.ip || question.to.port !== from.port) return
      questions.delete(number)
      question.timer.cancel()
      silences.delete(`${from.ip}:${from.port}`)
      const { accountName, granter } = question.request
      if (question.settle !== undefined) question.settle({ granted, retryAfterMs })
      // Others have been asked meanwhile: what comes late is not used.
      else if (granted > 0) giveBack(from, accountName, granter, granted)
    },
    refund: giveBack
  }
}
