/** Queries other gateways for the origin of a stream by datagrams, any of which may be lost. */
import type { Clock, Timer } from 'anvilarch-utils'
import type { OriginResponse, PeerMessage } from '../endpoints/peerMessages'
import type { PeerAddress } from '../endpoints/peerSocket'
import { FIRST_QUERY_COUNT, type PeerGateway, rankKeepers } from './keepers'
import type { StreamOrigin } from './types'

/** Queries of one gateway. */
export interface OriginQueries {
  /**
   * Queries the gateways that probably keep the origin, then all others.
   *
   * @returns the origin; undefined if no gateway has responded with one in time
   */
  find: (requestId: string) => Promise<StreamOrigin | undefined>
  /** Handles a response if it comes from a gateway that was queried. */
  onResponse: (response: OriginResponse, from: PeerAddress) => void
}

/** Options of `createOriginQueries`. */
export interface OriginQueriesOptions {
  clock: Clock
  send: (message: PeerMessage, to: PeerAddress) => void
  /** @returns the other live gateways */
  gateways: () => readonly PeerGateway[]
}

/** Time limit of each of the two rounds. Gateways respond within 3 ms; one that is slow and busy responds within some 20 ms. */
export const QUERY_TIMEOUT_MS = 40

/** One round of queries for the same origin. */
interface Round {
  /** Gateways that have not responded. */
  pending: Set<string>
  timer: Timer
  settle: (origin: StreamOrigin | undefined) => void
}

/**
 * @param options - clock, sender and gateways
 * @returns queries, none in progress
 */
export function createOriginQueries ({ clock, send, gateways }: OriginQueriesOptions): OriginQueries {
  const rounds = new Map<number, Round>()
  // A process that has restarted at the same address must not use the ids of its predecessor, whose responses may still arrive.
  let lastCorrelationId = Math.floor(clock.wallMs())

  const end = (correlationId: number, origin: StreamOrigin | undefined): void => {
    const round = rounds.get(correlationId)
    rounds.delete(correlationId)
    round?.timer.cancel()
    round?.settle(origin)
  }

  const query = async (queried: readonly PeerGateway[], requestId: string): Promise<StreamOrigin | undefined> => {
    if (queried.length === 0) return undefined
    lastCorrelationId++
    const correlationId = lastCorrelationId
    return await new Promise(resolve => {
      const timer = clock.after(QUERY_TIMEOUT_MS, () => end(correlationId, undefined))
      rounds.set(correlationId, { pending: new Set(queried.map(({ address }) => keyOf(address))), timer, settle: resolve })
      for (const { address } of queried) send({ message: 'origin_query', correlationId, requestId }, address)
    })
  }

  return {
    find: async requestId => {
      const ranked = rankKeepers(gateways(), requestId)
      const keepers = ranked.slice(0, FIRST_QUERY_COUNT)
      // The gateway that began the stream, and keepers by an older list of gateways, may be any of the others.
      return await query(keepers, requestId) ?? await query(ranked.slice(FIRST_QUERY_COUNT), requestId)
    },
    onResponse: ({ correlationId, origin }, from) => {
      const round = rounds.get(correlationId)
      if (round === undefined || !round.pending.delete(keyOf(from))) return
      if (origin !== undefined || round.pending.size === 0) end(correlationId, origin)
    }
  }
}

function keyOf ({ ip, port }: PeerAddress): string {
  return `${ip}:${port}`
}
