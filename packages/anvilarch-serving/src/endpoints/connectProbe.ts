/** Attempts to connect to an endpoint, without sending anything. */
import { connect } from 'node:net'
import type { ConnectResult } from '../crashes/lossProber'

/** A connection attempt that takes longer has its packets dropped. */
const CONNECT_TIMEOUT_MS = 400

/**
 * @param address - IP and port
 * @returns whether a process listens there
 */
export async function probeConnection (address: string): Promise<ConnectResult> {
  const separator = address.lastIndexOf(':')
  const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)), timeout: CONNECT_TIMEOUT_MS })
  return await new Promise(resolve => {
    const settle = (result: ConnectResult) => () => {
      resolve(result)
      socket.destroy()
    }
    socket.once('connect', settle('connected'))
    socket.once('timeout', settle('unknown'))
    socket.once('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown')())
  })
}
