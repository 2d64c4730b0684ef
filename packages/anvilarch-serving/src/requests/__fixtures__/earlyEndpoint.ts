/** Endpoint on a real socket that responds at once, while the request is still being sent, and then closes or resets the connection. */
import { type AddressInfo, createServer, type Socket } from 'node:net'
import { createPool, type Pool } from '../../endpoints/httpPool'

/** Response to the next request. */
export interface EarlyResponse {
  text: string
  end: 'fin' | 'rst'
  /** Time from the response to the end of the connection. */
  endAfterMs: number
  /** Whether the endpoint goes on reading the request after its response. */
  readsOn: boolean
}

/** Running endpoint. */
export interface EarlyEndpoint {
  address: string
  /** Sets the response to the next requests. @returns new connections to the endpoint */
  next: (response: EarlyResponse) => Pool
  close: () => Promise<void>
}

/** @returns a listening endpoint */
export async function startEarlyEndpoint (): Promise<EarlyEndpoint> {
  let current: EarlyResponse | undefined
  const sockets = new Set<Socket>()
  const pools: Pool[] = []
  const respond = (socket: Socket): void => {
    if (current === undefined) return
    const { text, end, endAfterMs, readsOn } = current
    if (!readsOn) socket.pause()
    socket.write(text)
    setTimeout(() => { end === 'fin' ? socket.end() : socket.resetAndDestroy() }, endAfterMs)
  }
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => {})
    socket.setNoDelay(true)
    socket.once('data', () => respond(socket))
    socket.on('data', () => {})
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return {
    address,
    next: response => {
      current = response
      const pool = createPool(`http://${address}`, { connections: 1, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
      pools.push(pool)
      return pool
    },
    close: async () => {
      await Promise.all(pools.map(pool => pool.destroy()))
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
}
