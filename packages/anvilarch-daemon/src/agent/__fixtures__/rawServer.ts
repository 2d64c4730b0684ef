/** A TCP server that reads HTTP requests and leaves the response to the test, and a TCP relay. */
import { connect, createServer, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'

/** A running server. */
export interface RawServer {
  url: string
  port: number
  /** Request lines in order of arrival. */
  requests: string[]
  close: () => Promise<void>
}

/** A response with a body, on a keep-alive connection. */
export const COMPLETE_RESPONSE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: keep-alive\r\n\r\nok'

/**
 * @param onRequest - called with the connection and the number of the request, from 0
 * @returns the server
 */
export async function startRawServer (onRequest: (socket: Socket, number: number) => void): Promise<RawServer> {
  const requests: string[] = []
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(socket) })
    let text = ''
    socket.on('data', data => {
      text += data.toString('latin1')
      if (!text.includes('\r\n\r\n')) return
      requests.push(text.slice(0, text.indexOf('\r\n')))
      text = ''
      onRequest(socket, requests.length - 1)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  return {
    url: `http://127.0.0.1:${port}`,
    port,
    requests,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => { server.close(() => { resolve() }) })
    }
  }
}

/** Forwards connections until it stops silently, like a network device that has dropped their state. */
export interface Relay {
  address: string
  stopForwarding: () => void
  close: () => void
}

/**
 * @param target - IP address and port behind the relay
 * @returns the relay
 */
export async function startRelay (target: string): Promise<Relay> {
  const url = new URL(`http://${target}`)
  const sockets: Socket[] = []
  const server = createServer(downstream => {
    const upstream = connect(Number(url.port), url.hostname)
    sockets.push(downstream, upstream)
    for (const [from, to] of [[downstream, upstream], [upstream, downstream]]) {
      from.on('error', () => {})
      from.pipe(to)
    }
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    stopForwarding: () => {
      for (const socket of sockets) {
        socket.unpipe()
        socket.pause()
      }
    },
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
