/** Endpoint on a real socket whose response is cut after some bytes. */
import { type AddressInfo, createServer, type Socket } from 'node:net'
import { startExchange } from '../../endpoints/exchange'
import { createPool, type Pool } from '../../endpoints/httpPool'

/** How the endpoint closes the connection after the cut: in order, or by a reset. */
export type CutEnd = 'fin' | 'rst'

/** Response to the next request. */
export interface CutResponse {
  text: string
  /** Bytes that are sent before the connection is closed. With all of them, the response is complete. */
  cutAt: number
  end: CutEnd
  /** Whether a complete response to another request comes first on the connection. */
  keptConnection: boolean
}

/** Running endpoint and connections to it. */
export interface CutEndpoint {
  address: string
  /** Sets the response to the next requests. @returns new connections to the endpoint */
  next: (response: CutResponse) => Promise<Pool>
  close: () => Promise<void>
}

const FIRST_PATH = '/first'
const FIRST_RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=60\r\n\r\n'

/** @returns a listening endpoint */
export async function startCutEndpoint (): Promise<CutEndpoint> {
  let current: CutResponse | undefined
  const sockets = new Set<Socket>()
  const pools: Pool[] = []
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => {})
    socket.setNoDelay(true)
    socket.on('data', bytes => {
      const head = bytes.toString('latin1')
      if (!/^[A-Z]+ \S+ HTTP/.test(head) || current === undefined) return
      if (head.includes(` ${FIRST_PATH} `)) {
        socket.write(FIRST_RESPONSE)
        return
      }
      const { text, cutAt, end } = current
      const close = (): void => { end === 'fin' ? socket.end() : socket.resetAndDestroy() }
      if (cutAt === 0) close()
      // A reset at once would discard the bytes before they are read.
      else socket.write(text.slice(0, cutAt), () => { end === 'fin' ? close() : setTimeout(close, 1) })
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return {
    address,
    next: async response => {
      current = response
      await Promise.all(pools.splice(0).map(pool => pool.destroy()))
      const pool = createPool(`http://${address}`, { connections: 1, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
      pools.push(pool)
      if (response.keptConnection) await new Promise<void>((resolve, reject) => startExchange(pool, { method: 'GET', path: FIRST_PATH, headers: ['Host', 'h'], body: undefined }, { onHead: () => {}, onData: () => {}, onComplete: resolve, onFailure: ({ reason }) => reject(new Error(reason)) }))
      return pool
    },
    close: async () => {
      await Promise.all(pools.map(pool => pool.destroy()))
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}
