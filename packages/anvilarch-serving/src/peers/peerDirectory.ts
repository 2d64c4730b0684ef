/** Peer ports of the other daemons, by which a daemon that the store turns away reaches it. */
import type { EndpointTable } from '../endpoints/endpointTable'
import type { WorkTable } from '../jobs/workTable'

/** Addresses of other daemons. */
export interface PeerDirectory {
  addresses: () => string[]
  /** Adds what the store has told of other daemons. */
  setView: (view: { work: WorkTable, endpoints: EndpointTable }) => void
}

/**
 * @param own - IP and port of this process, left out
 * @param seeds - addresses known from the settings
 * @param peerPort - the port that every daemon uses
 * @returns a directory that knows the seeds only
 */
export function createPeerDirectory (own: string, seeds: readonly string[], peerPort: number): PeerDirectory {
  let view: { work: WorkTable, endpoints: EndpointTable } | undefined
  return {
    addresses: () => {
      const members = [...view?.work.members() ?? []].map(member => member.record.peerAddress)
      const besideEndpoints = view?.endpoints.all().map(endpoint => `${endpoint.address.split(':')[0]}:${peerPort}`) ?? []
      const known = members.length > 1 ? members : [...members, ...seeds, ...besideEndpoints]
      return [...new Set(known)].filter(address => address !== own)
    },
    setView: next => { view = next }
  }
}
