/** The peers through which calls to the store are relayed: which ones are tried, and when none is. */
import type { Clock, Random } from 'anvilarch-utils'
import { isServed, type StoreCall, type StoreResponse, type StoreTransport } from './storeCall'

/** Relays of a process. */
export interface RelayPeers {
  /** @returns peers to try, first the one that has last relayed a call */
  pick: (count: number) => string[]
  /** @returns the same; while relaying is paused, only a peer whose last call was served */
  pickForRepeat: (count: number) => string[]
  send: (peer: string, call: StoreCall) => Promise<StoreResponse>
  /** Pauses relaying after the calls through all tried peers have failed: the store is probably unreachable for all hosts. */
  pause: () => void
  isPaused: () => boolean
}

/** Options of `createRelayPeers`. */
export interface RelayPeersOptions {
  clock: Clock
  random: Random
  /** @returns peer addresses of other daemons */
  peers: () => string[]
  /** @returns a transport that uses the relay of a peer */
  createPeerTransport: (peerAddress: string) => StoreTransport
}

/** Pause of relaying after a relayed call has failed as well. */
const RELAY_BACKOFF_MS = 250

/** Longest such pause after consecutive failures. A store over its rate limit gets three more calls for each one that is relayed. */
const MAX_RELAY_BACKOFF_MS = 2000

const RELAY_JITTER = 0.3

/**
 * @param options - peers and clock
 * @returns relays, none of which is proven
 */
export function createRelayPeers ({ clock, random, peers, createPeerTransport }: RelayPeersOptions): RelayPeers {
  let pausedUntilMs = -Infinity
  let backoffMs = RELAY_BACKOFF_MS
  /** The peer that has last relayed a call, until one of its calls fails. */
  let provenPeer: string | undefined

  const pick = (count: number): string[] => {
    const remaining = [...peers()]
    const picked: string[] = []
    while (picked.length < count && remaining.length > 0) {
      const peer = picked.length === 0 && provenPeer !== undefined && remaining.includes(provenPeer) ? provenPeer : random.pick(remaining)
      remaining.splice(remaining.indexOf(peer), 1)
      picked.push(peer)
    }
    return picked
  }

  const transportTo = (peer: string): StoreTransport => {
    try {
      return createPeerTransport(peer)
    } catch (error) {
      return () => Promise.resolve({ outcome: 'not_done', reason: (error as Error).message })
    }
  }

  const isPaused = (): boolean => clock.nowMs() < pausedUntilMs

  return {
    pick,
    pickForRepeat: count => isPaused() ? pick(1).filter(peer => peer === provenPeer) : pick(count),
    send: async (peer, call) => {
      const response = await transportTo(peer)(call)
      if (isServed(response)) {
        backoffMs = RELAY_BACKOFF_MS
        provenPeer = peer
      } else if (provenPeer === peer && call.signal?.aborted !== true) {
        provenPeer = undefined
      }
      return response
    },
    pause: () => {
      pausedUntilMs = clock.nowMs() + random.jitter(backoffMs, RELAY_JITTER)
      backoffMs = Math.min(MAX_RELAY_BACKOFF_MS, backoffMs * 2)
    },
    isPaused
  }
}
