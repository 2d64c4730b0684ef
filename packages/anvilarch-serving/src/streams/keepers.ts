/** Selects the gateways that keep the origin of a stream. Pure; all gateways make the same selection without communicating. */
import { v3 as murmurhash } from 'murmurhash'
import type { PeerAddress } from '../endpoints/peerSocket'

/** Another gateway. */
export interface PeerGateway {
  name: string
  address: PeerAddress
}

/** Number of gateways that keep an origin besides the one that began the stream, so that the loss of one more loses none. */
export const KEEPER_COUNT = 2

/**
 * Number of gateways that are queried first. The gateway that began the stream does not select itself as a keeper, but its peers
 * may, so that the keepers are among the first three at each of them.
 */
export const FIRST_QUERY_COUNT = KEEPER_COUNT + 1

/**
 * Ranks gateways by rendezvous hashing, so that the loss of a gateway moves only the origins that it keeps.
 *
 * @param gateways - the other gateways
 * @param requestId - id of the client attempt that began the stream
 * @returns the gateways, the one that keeps the origin first
 */
export function rankKeepers (gateways: readonly PeerGateway[], requestId: string): PeerGateway[] {
  return gateways
    .map(gateway => ({ gateway, weight: murmurhash(`${requestId}/${gateway.name}`) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ gateway }) => gateway)
}
