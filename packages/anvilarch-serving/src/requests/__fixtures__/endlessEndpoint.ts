/** Endpoint on a raw socket that sends the start of a response, and then one chunk again and again until its connection is closed. */
import { type AddressInfo, createServer, type Socket } from 'node:net'

/** Running endpoint. */
export interface EndlessEndpoint {
  address: string
  sentBytes: () => number
  /** @returns connections on which a request has come and that are not closed */
  openCount: () => number
  close: () => void
}

/** Options of `startEndlessEndpoint`. */
export interface EndlessEndpointOptions {
  start: string
  chunk: string | ((index: number) => string)
  /** Called after each chunk that was written. */
  onSent?: () => void
}

/**
 * @param options - bytes of the response
 * @returns a listening endpoint
 */
export async function startEndlessEndpoint (options: EndlessEndpointOptions): Promise<EndlessEndpoint> {
  const open = new Set<Socket>()
  let sentBytes = 0
  const fixed = typeof options.chunk === 'string' ? Buffer.from(options.chunk) : undefined
  const chunkAt = (index: number): Buffer => fixed ?? Buffer.from((options.chunk as (index: number) => string)(index))
  const server = createServer(socket => {
    socket.setNoDelay(true)
    socket.on('close', () => open.delete(socket))
    socket.on('error', () => {})
    let index = 0
    const send = (): void => {
      for (let more = true; more && !socket.destroyed;) {
        const bytes = chunkAt(index++)
        more = socket.write(bytes)
        sentBytes += bytes.length
        options.onSent?.()
      }
    }
    socket.on('drain', send)
    socket.once('data', () => {
      open.add(socket)
      socket.write(options.start)
      send()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    sentBytes: () => sentBytes,
    openCount: () => open.size,
    close: () => {
      for (const socket of open) socket.destroy()
      server.close()
    }
  }
}
