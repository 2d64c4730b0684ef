/** Carries calls to the metadata store, directly or through a peer daemon that the store still serves. */
import { type Clock, createSilenceWatch, isFramed, type Random } from 'anvilarch-utils'
import { startExchange } from '../endpoints/exchange'
import { createPool, type Pool } from '../endpoints/httpPool'
import type { EventLog } from '../telemetry/events'
import { createLongPolls } from './longPolls'

/** One call to the store, encoded. */
export interface StoreCall {
  /** Short name for metrics. */
  name: string
  method: string
  path: string
  /** Names and values in turn. */
  headers: string[]
  body: Buffer | undefined
  timeoutMs: number
  /** Whether the store is asked to wait with its answer. */
  isLongPoll?: boolean
  /** Gives the call up; its answer is then `no_answer`. */
  signal?: AbortSignal
}

/**
 * What came of a call. `not_done`: nothing reached the store. `no_answer`: it may have been done, or may be done later.
 * `readAfterPause`: this process stood still while the answer waited to be read, so that times in the answer are of the past.
 */
export type StoreResponse =
  | { outcome: 'answered', status: number, body: Buffer, readAfterPause?: boolean }
  | { outcome: 'not_done', reason: string }
  | { outcome: 'no_answer', reason: string }

/** Sends one call. */
export type StoreTransport = (call: StoreCall) => Promise<StoreResponse>

/** A connection that takes longer is one whose packets are dropped. */
const CONNECT_TIMEOUT_MS = 500

/** Calls in progress at once; feeds hold one each. */
const MAX_CONNECTIONS = 64

/** Reason of a call that its sender has given up. */
const GIVEN_UP_REASON = 'given_up'

/** Nothing was done; what the body says is not read. */
const BUSY_STATUS = new Set([429, 503])

/**
 * @param address - IP and port of the store or of a peer
 * @param clock - local clock
 * @returns a transport straight to that address
 */
export function createDirectTransport (address: string, clock: Clock): StoreTransport {
  const openPool = (): Pool =>
    createPool(`http://${address}`, { connections: MAX_CONNECTIONS, pipelining: 1, connectTimeout: CONNECT_TIMEOUT_MS, headersTimeout: 0, bodyTimeout: 0 })
  let currentPool = openPool()

  /** Connections of one age go silent together. Calls in progress there may still be answered. */
  const replacePool = (silent: Pool): void => {
    if (silent !== currentPool) return
    currentPool = openPool()
    // Each of its calls tells its own end.
    silent.close(() => {})
  }

  return call => new Promise(resolve => {
    const pool = currentPool
    const chunks: Buffer[] = []
    let status = 0
    let readAfterPause = false
    const settle = (answer: StoreResponse): void => {
      timeout.cancel()
      call.signal?.removeEventListener('abort', onAbort)
      resolve(answer)
    }
    const onAbort = (): void => {
      exchange.abort()
      settle({ outcome: 'no_answer', reason: GIVEN_UP_REASON })
    }
    const exchange = startExchange(pool, call, {
      onHead: (answered, headers) => {
        status = answered
        if (BUSY_STATUS.has(answered) || isFramed(answered, name => headers.get(name))) return
        exchange.abort()
        settle({ outcome: 'no_answer', reason: 'unframed_answer' })
      },
      onData: chunk => { chunks.push(chunk) },
      onComplete: () => settle({ outcome: 'answered', status, body: Buffer.concat(chunks), readAfterPause }),
      onFailure: failure => settle({ outcome: failure.notSent ? 'not_done' : 'no_answer', reason: failure.reason })
    })
    const timeout = createSilenceWatch({
      clock,
      boundMs: call.timeoutMs,
      onSilence: () => {
        exchange.abort()
        replacePool(pool)
        settle({ outcome: 'no_answer', reason: 'timeout' })
      },
      onOwnPause: () => { readAfterPause = true }
    })
    call.signal?.addEventListener('abort', onAbort, { once: true })
  })
}

/** How the store has lately answered this process. */
export interface StoreContactState {
  lastSuccessMs: number | undefined
  lastFailureMs: number | undefined
  /** From the first to the last of the calls that failed one after another; a single one counts as no time. */
  lastOutageMs: number
}

/** Options of `createRelayedTransport`. */
export interface RelayOptions {
  clock: Clock
  log: EventLog
  random: Random
  direct: StoreTransport
  /** Peer ports of other daemons. */
  peers: () => string[]
  /** @returns a transport through the relay of a peer */
  createPeerTransport: (peerAddress: string) => StoreTransport
}

/** A transport and what it has seen. */
export interface RelayedTransport {
  call: StoreTransport
  contact: StoreContactState
}

/** Direct calls that must fail in a row before peers are asked: single calls fail on ordinary days. */
const TURNED_AWAY_FAILURES = 2

/** While turned away, this often one call goes straight to the store, to notice its return. */
const PROBE_INTERVAL_MS = 500

/**
 * Peers that are asked for one call. The store may turn a third of the hosts away, and a peer among them cannot help:
 * after a start, each failed call delays the first answers to clients.
 */
const RELAY_TRIES = 3

/** A try with less time than this brings no answer through a peer. */
const MIN_TRY_MS = 50

/** After a call through peers has failed as well, the store is probably away for all; peers are left alone for this long. */
const RELAY_BACKOFF_MS = 250

/** The same after many such calls in a row. A store beyond its rate gets three more calls for each one that goes through peers. */
const MAX_RELAY_BACKOFF_MS = 2000

const RELAY_JITTER = 0.3

/**
 * The store may turn some hosts away and serve the others. Calls of a daemon that is turned away go through a peer,
 * so that its configuration and endpoints stay within their bounds and its clients' jobs are accepted.
 *
 * @param options - direct transport and peers
 * @returns a transport that prefers the direct way
 */
export function createRelayedTransport (options: RelayOptions): RelayedTransport {
  const { clock, log } = options
  const contact: StoreContactState = { lastSuccessMs: undefined, lastFailureMs: undefined, lastOutageMs: 0 }
  let failures = 0
  let failingSinceMs = 0
  let lastProbeMs = -Infinity
  let relayAgainMs = -Infinity
  let relayBackoffMs = RELAY_BACKOFF_MS
  const waiting = createLongPolls(clock)

  const note = (answer: StoreResponse): boolean => {
    const nowMs = clock.nowMs()
    const succeeded = answer.outcome === 'answered' && !BUSY_STATUS.has(answer.status)
    if (succeeded) {
      if (failures >= TURNED_AWAY_FAILURES) log.info('store answers again', { afterMs: Math.round(nowMs - failingSinceMs) })
      failures = 0
      contact.lastSuccessMs = nowMs
      return true
    }
    failures++
    contact.lastFailureMs = nowMs
    if (failures === 1) failingSinceMs = nowMs
    contact.lastOutageMs = nowMs - failingSinceMs
    if (failures === TURNED_AWAY_FAILURES) log.warn('store does not serve this host', { reason: reasonOf(answer) })
    return false
  }

  /** Asks one peer after another, as long as the answers show that nothing was done and the time of the call is not over. */
  const relay = async (call: StoreCall, untilMs: number): Promise<StoreResponse | undefined> => {
    if (clock.nowMs() < relayAgainMs) return undefined
    const peers = [...options.peers()]
    let answer: StoreResponse | undefined
    for (let tries = 0; tries < RELAY_TRIES && peers.length > 0; tries++) {
      const timeoutMs = untilMs - clock.nowMs()
      if (timeoutMs < MIN_TRY_MS) break
      const peer = options.random.pick(peers)
      peers.splice(peers.indexOf(peer), 1)
      answer = await options.createPeerTransport(peer)({ ...call, timeoutMs })
      if (call.signal?.aborted === true) return answer
      if (answer.outcome === 'answered' && !BUSY_STATUS.has(answer.status)) {
        contact.lastSuccessMs = clock.nowMs()
        relayBackoffMs = RELAY_BACKOFF_MS
        return answer
      }
      if (answer.outcome === 'no_answer') break
    }
    if (answer === undefined) return undefined
    relayAgainMs = clock.nowMs() + options.random.jitter(relayBackoffMs, RELAY_JITTER)
    relayBackoffMs = Math.min(MAX_RELAY_BACKOFF_MS, relayBackoffMs * 2)
    return answer
  }

  const callNow = async (storeCall: StoreCall): Promise<StoreResponse> => {
    const untilMs = clock.nowMs() + storeCall.timeoutMs
    const turnedAway = failures >= TURNED_AWAY_FAILURES
    if (turnedAway && clock.nowMs() - lastProbeMs < PROBE_INTERVAL_MS) {
      const relayed = await relay(storeCall, untilMs)
      if (relayed !== undefined) return relayed
    }
    const sentAtMs = clock.nowMs()
    lastProbeMs = sentAtMs
    const answer = await options.direct({ ...storeCall, timeoutMs: untilMs - sentAtMs })
    if (storeCall.signal?.aborted === true) return answer
    if (answer.outcome === 'answered') waiting.onAnswer(sentAtMs)
    else if (answer.outcome === 'no_answer') waiting.onNoAnswer(sentAtMs)
    if (note(answer)) return answer
    // A call without an answer may have been done; doing it again through a peer is left to the caller.
    if (answer.outcome === 'no_answer') return answer
    return await relay(storeCall, untilMs) ?? answer
  }

  const call = async (storeCall: StoreCall): Promise<StoreResponse> => {
    if (storeCall.isLongPoll !== true) return await callNow(storeCall)
    const { signal, end } = waiting.begin()
    const answer = await callNow({ ...storeCall, signal })
    end()
    return answer
  }
  return { call, contact }
}

function reasonOf (answer: StoreResponse): string {
  return answer.outcome === 'answered' ? `status ${answer.status}` : answer.reason
}
