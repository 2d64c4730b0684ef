/** Peer addresses of the other daemons, through which a daemon whose calls the store rejects can reach the store. */
import type { EndpointTable } from '../endpoints/endpointTable'
import type { WorkTable } from '../jobs/workTable'

/** Addresses of other daemons. */
export interface PeerDirectory {
  addresses: () => string[]
  /** Sets the tables from which the addresses of other daemons are read. */
  setView: (view: { work: WorkTable, endpoints: EndpointTable }) => void
}

/**
 * @param own - IP and port of this process, which are excluded
 * @param seeds - addresses from the settings
 * @param peerPort - peer port of all daemons
 * @returns a directory that contains only the seeds
 */
export function createPeerDirectory (own: string, seeds: readonly string[], peerPort: number): PeerDirectory {
  let view: { work: WorkTable, endpoints: EndpointTable } | undefined
  return {
    addresses: () => {
      const members = [...view?.work.members() ?? []].map(member => member.record.peerAddress)
      const agentAddresses = view?.endpoints.all().map(endpoint => `${endpoint.address.split(':')[0]}:${peerPort}`) ?? []
      const candidates = members.length > 1 ? members : [...members, ...seeds, ...agentAddresses]
      return [...new Set(candidates)].filter(address => address !== own)
    },
    setView: next => { view = next }
  }
}
