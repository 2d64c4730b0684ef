/** A port whose connections pass through a link to another port of the same machine. */
import { type AddressInfo, connect, createServer, type Socket } from 'node:net'
import type { Clock, Random } from 'anvilarch-utils'
import { createLinkFlow, type LinkFlow } from './linkFlow'
import { createLinkTiming, type LinkProfile } from './linkTiming'

/** The source of a direction is not read while more than this is on its way. */
const MAX_PENDING_BYTES = 65_536

const RESUME_POLL_MS = 5

/** Listening port. */
export interface LinkedPort {
  address: string
  /** Refuses connections from now on. What is on its way still arrives. */
  stopListening: () => void
  close: () => void
}

/** Options of `startLinkedPort`. */
export interface LinkedPortOptions {
  clock: Clock
  random: Random
  profile: LinkProfile
  ip: string
  /** 0 for any free port. */
  port: number
  targetPort: number
}

/** @returns the listening port */
export async function startLinkedPort ({ clock, random, profile, ip, port, targetPort }: LinkedPortOptions): Promise<LinkedPort> {
  const sockets = new Set<Socket>()
  const join = (from: Socket, to: Socket): void => {
    sockets.add(from)
    const flow = createLinkFlow({ clock, arrivalMs: createLinkTiming(profile, random), sink: { write: bytes => { to.write(bytes) }, end: () => { to.end() }, reset: () => { to.resetAndDestroy() } } })
    forwardSocket(clock, from, flow)
    from.on('close', () => sockets.delete(from))
    to.on('close', flow.close)
  }
  const server = createServer({ allowHalfOpen: true }, incoming => {
    const outgoing = connect({ host: ip, port: targetPort, allowHalfOpen: true })
    join(incoming, outgoing)
    join(outgoing, incoming)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, resolve)
  })
  return {
    address: `${ip}:${(server.address() as AddressInfo).port}`,
    stopListening: () => { server.close() },
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

/** Passes what arrives at a socket to a flow, as fast as the flow delivers it. */
export function forwardSocket (clock: Clock, from: Socket, flow: LinkFlow): void {
  from.setNoDelay(true)
  const resumeWhenDelivered = (): void => {
    if (flow.pendingBytes() < MAX_PENDING_BYTES) from.resume()
    else clock.after(RESUME_POLL_MS, resumeWhenDelivered)
  }
  from.on('data', (bytes: Buffer) => {
    flow.write(bytes)
    if (flow.pendingBytes() < MAX_PENDING_BYTES) return
    from.pause()
    resumeWhenDelivered()
  })
  // Where a reset arrives together with bytes, Node.js reports an end. A reset connection has no peer any more.
  from.on('end', () => {
    if (from.remoteAddress === undefined) flow.reset()
    else flow.end()
  })
  from.on('error', flow.reset)
}
