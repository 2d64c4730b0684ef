/**
 * A TCP relay on loopback that can stall or delay its open connections: they stay open at both ends, but data is discarded,
 * or forwarded only later, while new connections work. It simulates a device between two hosts that has lost the state of a
 * connection, and messages that arrive after their sender has timed out.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { watchConnectionEnd } from 'anvilarch-utils'

/** A running relay. */
export interface FaultRelay {
  /** IP address and port to connect to. */
  address: string
  /** Sets the IP address and port to which new connections are forwarded. */
  setTarget: (address: string) => void
  /** Stalls all open connections permanently and returns their number. */
  stall: () => number
  /** Buffers all data on the connections that are open now, until it is released. */
  delay: () => DelayedConnections
  close: () => Promise<void>
}

/** Connections whose data is buffered. */
export interface DelayedConnections {
  connections: number
  /** Forwards the buffered data and the ends of connections. */
  release: () => void
}

type PairMode = 'forwarding' | 'delayed' | 'stalled'

/** One direction of a connection. */
interface Direction {
  from: Socket
  to: Socket
  buffered: Buffer[]
  /** How `from` ended while its data was buffered. */
  ended: 'no' | 'end' | 'reset'
}

/** Both directions of one connection. */
interface Pair {
  mode: PairMode
  directions: [Direction, Direction]
}

const LOOPBACK = '127.0.0.1'

/** @returns the relay, listening on a free loopback port; it closes connections until its target is set */
export async function startFaultRelay (): Promise<FaultRelay> {
  const pairs = new Set<Pair>()
  let target: { host: string, port: number } | undefined

  const server = createServer({ allowHalfOpen: true }, incoming => {
    if (target === undefined) {
      incoming.destroy()
      return
    }
    const pair = joinSockets(incoming, connect({ ...target, allowHalfOpen: true }))
    pairs.add(pair)
    for (const { from } of pair.directions) from.on('close', () => { if (isClosed(pair)) pairs.delete(pair) })
  })
  await new Promise<void>(resolve => { server.listen(0, LOOPBACK, resolve) })
  const forwardingPairs = (): Pair[] => [...pairs].filter(pair => pair.mode === 'forwarding')

  return {
    address: `${LOOPBACK}:${(server.address() as AddressInfo).port}`,
    setTarget: address => { target = splitAddress(address) },
    stall: () => {
      const stalled = forwardingPairs()
      for (const pair of stalled) pair.mode = 'stalled'
      return stalled.length
    },
    delay: () => {
      const delayed = forwardingPairs()
      for (const pair of delayed) pair.mode = 'delayed'
      return { connections: delayed.length, release: () => { for (const pair of delayed) releasePair(pair) } }
    },
    close: () => new Promise(resolve => {
      for (const { directions } of pairs) for (const { from } of directions) from.destroy()
      server.close(() => { resolve() })
    })
  }
}

function joinSockets (incoming: Socket, outgoing: Socket): Pair {
  const pair: Pair = { mode: 'forwarding', directions: [createDirection(incoming, outgoing), createDirection(outgoing, incoming)] }
  for (const direction of pair.directions) {
    const { from } = direction
    from.setNoDelay(true)
    from.on('data', (data: Buffer) => { FORWARD[pair.mode](direction, data) })
    from.on('error', () => {})
    // A reset must reach the other end, else the connection would seem stalled, or closed in order.
    watchConnectionEnd(from, end => { END[pair.mode](direction, end === 'closed' ? 'end' : 'reset') })
  }
  return pair
}

function createDirection (from: Socket, to: Socket): Direction {
  return { from, to, buffered: [], ended: 'no' }
}

/** A stalled connection is still read, so that the kernel acknowledges its data and neither end detects the fault. */
const FORWARD: Record<PairMode, (direction: Direction, data: Buffer) => void> = {
  forwarding: ({ from, to }, data) => {
    if (to.write(data)) return
    from.pause()
    to.once('drain', () => { from.resume() })
  },
  delayed: ({ buffered }, data) => { buffered.push(data) },
  stalled: () => {}
}

const END: Record<PairMode, (direction: Direction, how: 'end' | 'reset') => void> = {
  forwarding: forwardEnd,
  delayed: (direction, how) => { direction.ended = how },
  stalled: () => {}
}

function forwardEnd ({ to }: Direction, how: 'end' | 'reset'): void {
  if (how === 'end') to.end()
  else to.resetAndDestroy()
}

function releasePair (pair: Pair): void {
  if (pair.mode !== 'delayed') return
  pair.mode = 'forwarding'
  for (const direction of pair.directions) {
    for (const data of direction.buffered.splice(0)) direction.to.write(data)
    // After a reset too, the data sent before it must arrive late, so the connection ends normally.
    if (direction.ended !== 'no') direction.to.end()
  }
}

function isClosed (pair: Pair): boolean {
  return pair.directions.every(({ from }) => from.destroyed)
}

function splitAddress (address: string): { host: string, port: number } {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}
