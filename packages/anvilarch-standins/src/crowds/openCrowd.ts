/** Opens a crowd of clients that do not keep to the protocol or never finish what they send. */
import { connect, type Socket } from 'node:net'
import { SEND_FORMS } from './crowdForms'
import type { Crowd, CrowdOptions } from './types'

const STATUS_LINE = /^HTTP\/1\.1 (\d{3}) /

interface Client {
  socket: Socket
  settled: boolean
  open: boolean
  status: number | undefined
}

/**
 * @param options - form, size and target
 * @returns the crowd; its clients keep their connections until the gateway or `close` ends them
 */
export function openCrowd (options: CrowdOptions): Crowd {
  const clients = Array.from({ length: options.clients }, () => openClient(options))
  return {
    settledCount: () => clients.filter(({ settled, open }) => settled || !open).length,
    openCount: () => clients.filter(({ open }) => open).length,
    statuses: () => clients.flatMap(({ status }) => status ?? []),
    close: () => { for (const { socket } of clients) socket.destroy() }
  }
}

function openClient (options: CrowdOptions): Client {
  const { ip, port } = options.target
  // A client that does not behave also keeps its own side open after the end of the gateway's.
  const socket = connect({ host: ip, port, allowHalfOpen: true })
  const client: Client = { socket, settled: false, open: true, status: undefined }
  socket.on('data', data => { client.status ??= statusOf(data) })
  socket.on('error', () => { client.open = false })
  socket.on('close', () => { client.open = false })
  socket.once('connect', () => {
    SEND_FORMS[options.form](socket, { bytesPerClient: 1, requestsPerClient: 1, ...options }).then(() => { client.settled = true }, () => { client.open = false })
  })
  return client
}

function statusOf (data: Buffer): number | undefined {
  const status = STATUS_LINE.exec(data.toString('latin1', 0, 'HTTP/1.1 200 '.length))?.[1]
  return status === undefined ? undefined : Number(status)
}
