/**
 * A TCP relay on loopback that counts the bytes between two processes. The counters of the kernel cover the whole host, so
 * they can't be used for this.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** Payload bytes of the connections through a relay, without TCP and IP headers. */
export interface RelayCounts {
  toTargetBytes: number
  fromTargetBytes: number
  connections: number
}

/** A running relay. */
export interface ByteRelay {
  /** Address to connect to instead of the target. */
  address: string
  counts: () => RelayCounts
  close: () => Promise<void>
}

const LOOPBACK = '127.0.0.1'

/**
 * @param target - IP address and port to forward connections to, or a function that returns them for each connection
 * @returns the relay, listening on a free loopback port
 */
export async function startByteRelay (target: string | (() => string)): Promise<ByteRelay> {
  const counts: RelayCounts = { toTargetBytes: 0, fromTargetBytes: 0, connections: 0 }
  const sockets = new Set<Socket>()
  const track = (socket: Socket): void => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('close', () => { sockets.delete(socket) })
  }
  const server = createServer(incoming => {
    const [targetHost, targetPort] = splitAddress(typeof target === 'string' ? target : target())
    const outgoing = connect(targetPort, targetHost)
    counts.connections++
    track(incoming)
    track(outgoing)
    incoming.on('data', data => { counts.toTargetBytes += data.length })
    outgoing.on('data', data => { counts.fromTargetBytes += data.length })
    incoming.pipe(outgoing).pipe(incoming)
    // A reset on one side is passed on to the other, where the connection would otherwise remain open without data.
    incoming.on('error', () => { outgoing.destroy() })
    outgoing.on('error', () => { incoming.destroy() })
  })
  await new Promise<void>(resolve => { server.listen(0, LOOPBACK, resolve) })
  return {
    address: `${LOOPBACK}:${(server.address() as AddressInfo).port}`,
    counts: () => ({ ...counts }),
    close: () => new Promise(resolve => {
      for (const socket of sockets) socket.destroy()
      server.close(() => { resolve() })
    })
  }
}

function splitAddress (address: string): [string, number] {
  const separator = address.lastIndexOf(':')
  return [address.slice(0, separator), Number(address.slice(separator + 1))]
}
