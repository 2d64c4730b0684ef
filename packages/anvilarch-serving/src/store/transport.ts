/** Sends calls to the metadata store, directly or through a peer daemon that the store still serves. */
import { createByteCollector, createRecentLongest, type Clock, createInactivityTimeout, type Random, type RecentLongest } from 'anvilarch-utils'
import { startExchange } from '../endpoints/exchange'
import { createPool, type Pool } from '../endpoints/httpPool'
import type { EventLog } from '../telemetry/events'
import { createLongPolls } from './longPolls'
import { createRelayPeers } from './relayPeers'
import { MIN_TRY_MS, sendOverWays, type StoreWay } from './sendOverWays'
import { BUSY_STATUS, isServed, type StoreCall, type StoreResponse, type StoreTransport } from './storeCall'

/** A connection attempt that takes longer is one whose packets are dropped. */
const CONNECT_TIMEOUT_MS = 500

/** Limit of concurrent calls. Each feed occupies one. */
const MAX_CONNECTIONS = 64

/** Limit on a response: the store returns objects of up to 8 MiB, and rows of up to 1 MB. */
const MAX_RESPONSE_BYTES = 9 * 1024 * 1024

/** A rejection with a longer body costs more than a new connection. */
const MAX_DISCARDED_BYTES = 64 * 1024

/** Reason of a call that its sender has aborted. */
const ABORTED_REASON = 'given_up'

/**
 * Creates a transport that connects directly to an address.
 *
 * @param address - IP and port of the store or of a peer
 * @param clock - local clock
 * @returns the transport
 */
export function createDirectTransport (address: string, clock: Clock): StoreTransport {
  const openPool = (): Pool =>
    createPool(`http://${address}`, { connections: MAX_CONNECTIONS, pipelining: 1, connectTimeout: CONNECT_TIMEOUT_MS, headersTimeout: 0, bodyTimeout: 0 })
  let currentPool = openPool()

  /** Connections of the same age tend to fail together, so all are replaced. Calls in progress on the old ones may still get a response. */
  const replacePool = (failedPool: Pool): void => {
    if (failedPool !== currentPool) return
    currentPool = openPool()
    // Each of its calls reports its own outcome.
    failedPool.close(() => {})
  }

  return call => new Promise(resolve => {
    const pool = currentPool
    const received = createByteCollector()
    let status = 0
    let discardedBytes = 0
    let readAfterPause = false
    const settle = (response: StoreResponse): void => {
      timeout.cancel()
      call.signal?.removeEventListener('abort', onAbort)
      resolve(response)
    }
    const fail = (reason: string): void => {
      exchange.abort()
      settle({ outcome: 'no_answer', reason })
    }
    const onAbort = (): void => fail(ABORTED_REASON)
    const settleAnswered = (): void => settle({ outcome: 'answered', status, body: received.bytes(), readAfterPause })
    /** The head of a rejection is all that matters of it. Its body is read only so that the connection can be used again. */
    const discard = (chunk: Buffer): void => {
      discardedBytes += chunk.length
      if (discardedBytes <= MAX_DISCARDED_BYTES) return
      exchange.abort()
      settleAnswered()
    }
    const exchange = startExchange(pool, call, {
      onHead: (responseStatus, _headers, _rawHeaders, isFramed) => {
        status = responseStatus
        if (BUSY_STATUS.has(responseStatus) || isFramed) return
        fail('unframed_answer')
      },
      onData: chunk => {
        if (BUSY_STATUS.has(status)) discard(chunk)
        else received.append(chunk)
        if (received.length() > MAX_RESPONSE_BYTES) fail('response_too_large')
      },
      onComplete: () => settleAnswered(),
      onFailure: failure => {
        if (BUSY_STATUS.has(status)) settleAnswered()
        else settle({ outcome: failure.notSent ? 'not_done' : 'no_answer', reason: failure.reason })
      }
    })
    const timeout = createInactivityTimeout({
      clock,
      timeoutMs: call.timeoutMs,
      onTimeout: () => {
        fail('timeout')
        replacePool(pool)
      },
      onProcessPause: () => { readAfterPause = true }
    })
    call.signal?.addEventListener('abort', onAbort, { once: true })
  })
}

/** Recent failures of calls to the store. */
export interface StoreContactState {
  lastFailureMs: number | undefined
  /** Time from the first to the last call of the latest run of consecutive failures; 0 for a single failure. */
  lastOutageMs: number
}

/** Options of `createRelayedTransport`. */
export interface RelayOptions {
  clock: Clock
  log: EventLog
  random: Random
  direct: StoreTransport
  /** @returns peer addresses of other daemons */
  peers: () => string[]
  /** @returns a transport that uses the relay of a peer */
  createPeerTransport: (peerAddress: string) => StoreTransport
}

/** A transport and the outcomes of its calls. */
export interface RelayedTransport {
  call: StoreTransport
  contact: StoreContactState
}

/** Consecutive direct calls that must fail before calls go to peers first. Single calls also fail in normal operation. */
const RELAY_FAILURE_THRESHOLD = 2

/** Interval at which one call is sent directly while calls are relayed, to detect that the store serves this host again. */
export const STORE_PROBE_INTERVAL_MS = 500

/**
 * Number of peers to try for one call. The store may reject a third of the hosts, and a rejected peer cannot relay:
 * after a start, each failed call delays the first responses to clients.
 */
const RELAY_TRIES = 3

/** Number of peers through which a repeatable call may be sent. The first one may have lost the store as well. */
const REPEAT_PEERS = 2

/**
 * Creates a transport that falls back to relays. The store may reject some hosts and serve the others. Calls of a rejected daemon go through
 * a peer, so that its configuration and endpoints do not become too old and jobs of its clients are accepted.
 *
 * @param options - direct transport and peers
 * @returns a transport that prefers direct calls
 */
export function createRelayedTransport (options: RelayOptions): RelayedTransport {
  const { clock, log } = options
  const contact: StoreContactState = { lastFailureMs: undefined, lastOutageMs: 0 }
  let consecutiveFailures = 0
  let failingSinceMs = 0
  let lastProbeMs = -Infinity
  const longPolls = createLongPolls(clock)
  /** Times of served direct calls by name. */
  const longestTimes = new Map<string, RecentLongest>()
  const relays = createRelayPeers(options)

  const recordOutcome = (response: StoreResponse): void => {
    const nowMs = clock.nowMs()
    if (isServed(response)) {
      if (consecutiveFailures >= RELAY_FAILURE_THRESHOLD) log.info('store answers again', { afterMs: Math.round(nowMs - failingSinceMs) })
      consecutiveFailures = 0
      return
    }
    consecutiveFailures++
    contact.lastFailureMs = nowMs
    if (consecutiveFailures === 1) failingSinceMs = nowMs
    contact.lastOutageMs = nowMs - failingSinceMs
    if (consecutiveFailures === RELAY_FAILURE_THRESHOLD) log.warn('store does not serve this host', { reason: reasonOf(response) })
  }

  const recordTime = (name: string, elapsedMs: number): void => {
    const longest = longestTimes.get(name) ?? createRecentLongest()
    longestTimes.set(name, longest)
    longest.add(elapsedMs)
  }

  /** @returns the longest time that the store has lately taken for such calls, or for others if that is not known */
  const longestTimeMs = (name: string): number => {
    const own = longestTimes.get(name)?.longestMs()
    if (own !== undefined) return own
    const others = [...longestTimes.values()].flatMap(longest => longest.longestMs() ?? [])
    return others.length > 0 ? Math.max(...others) : Infinity
  }

  /** Tries one peer after another while the responses prove that the call was not executed and its timeout has not passed. */
  const relay = async (call: StoreCall, deadlineMs: number): Promise<StoreResponse | undefined> => {
    if (relays.isPaused()) return undefined
    let response: StoreResponse | undefined
    for (const peer of relays.pick(RELAY_TRIES)) {
      const timeoutMs = deadlineMs - clock.nowMs()
      if (timeoutMs < MIN_TRY_MS) break
      response = await relays.send(peer, { ...call, timeoutMs })
      if (call.signal?.aborted === true || isServed(response)) return response
      if (response.outcome === 'no_answer') break
    }
    if (response === undefined) return undefined
    relays.pause()
    return response
  }

  const sendDirect = async (storeCall: StoreCall, timeoutMs: number): Promise<StoreResponse> => {
    const sentAtMs = clock.nowMs()
    lastProbeMs = sentAtMs
    const response = await options.direct({ ...storeCall, timeoutMs })
    if (storeCall.signal?.aborted === true) return response
    if (response.outcome === 'answered') longPolls.onResponse(sentAtMs)
    else if (response.outcome === 'no_answer') longPolls.onNoAnswer(sentAtMs)
    recordOutcome(response)
    if (isServed(response) && storeCall.isLongPoll !== true) recordTime(storeCall.name, clock.nowMs() - sentAtMs)
    return response
  }

  /** Counts a direct call as failed before its timeout: a peer has already got a response to the same call. */
  const recordSilence = (): void => {
    if (consecutiveFailures >= RELAY_FAILURE_THRESHOLD) return
    if (consecutiveFailures === 0) failingSinceMs = clock.nowMs()
    consecutiveFailures = RELAY_FAILURE_THRESHOLD
    contact.lastFailureMs = clock.nowMs()
    log.warn('store does not serve this host', { reason: 'silent' })
  }

  const callRepeatable = async (storeCall: StoreCall, repeatWithinMs: number, deadlineMs: number, directFirst: boolean): Promise<StoreResponse> => {
    let isDirectPending = false
    const direct: StoreWay = async timeoutMs => {
      isDirectPending = true
      const response = await sendDirect(storeCall, timeoutMs)
      isDirectPending = false
      return response
    }
    const throughPeer = (peer: string): StoreWay => async timeoutMs => {
      const response = await relays.send(peer, { ...storeCall, timeoutMs })
      if (isServed(response) && isDirectPending) recordSilence()
      return response
    }
    const peerWays = relays.pickForRepeat(REPEAT_PEERS).map(throughPeer)
    const ways = directFirst ? [direct, ...peerWays] : [...peerWays, direct]
    const repeatAfterMs = Math.min(longestTimeMs(storeCall.name), repeatWithinMs / ways.length)
    const { response, usedWays } = await sendOverWays({ clock, ways, repeatAfterMs, deadlineMs, isConclusive: isServed })
    if (usedWays > 1 && !isServed(response)) relays.pause()
    return response
  }

  const callNow = async (storeCall: StoreCall): Promise<StoreResponse> => {
    const deadlineMs = clock.nowMs() + storeCall.timeoutMs
    const isRelaying = consecutiveFailures >= RELAY_FAILURE_THRESHOLD && clock.nowMs() - lastProbeMs < STORE_PROBE_INTERVAL_MS
    if (storeCall.repeatWithinMs !== undefined) return await callRepeatable(storeCall, storeCall.repeatWithinMs, deadlineMs, !isRelaying)
    if (isRelaying) {
      const relayed = await relay(storeCall, deadlineMs)
      if (relayed !== undefined) return relayed
    }
    const response = await sendDirect(storeCall, deadlineMs - clock.nowMs())
    if (storeCall.signal?.aborted === true || isServed(response)) return response
    // A call without a response may have been executed. Whether to repeat it through a peer is up to the caller.
    if (response.outcome === 'no_answer') return response
    return await relay(storeCall, deadlineMs) ?? response
  }

  const call = async (storeCall: StoreCall): Promise<StoreResponse> => {
    if (storeCall.isLongPoll !== true) return await callNow(storeCall)
    const { signal, end } = longPolls.begin()
    const response = await callNow({ ...storeCall, signal })
    end()
    return response
  }
  return { call, contact }
}

function reasonOf (response: StoreResponse): string {
  return response.outcome === 'answered' ? `status ${response.status}` : response.reason
}
