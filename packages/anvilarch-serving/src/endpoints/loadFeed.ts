/** Agents tell gateways how busy the engine beside them is. Datagrams: a lost one is replaced by the next. */
import { createSocket, type Socket } from 'node:dgram'
import { type Clock, runInBackground, sleep } from 'anvilarch-utils'
import type { LoadReport } from './loadTable'
import type { EventLog } from '../telemetry/events'

/** Where a process listens. */
export interface PeerAddress {
  ip: string
  port: number
}

/** How often a gateway renews its subscriptions. */
const SUBSCRIBE_INTERVAL_MS = 1000

/** An agent drops a subscriber that has not renewed for this long: three losses in a row are rare. */
const SUBSCRIPTION_MS = 3500

/** An unchanged load is told again this often, well within the age at which a gateway stops to believe it. */
const REPEAT_INTERVAL_MS = 200

const SUBSCRIBE = 'subscribe'

/** A gateway's end. */
export interface LoadSubscriber {
  close: () => void
}

/** Options of `subscribeToLoads`. */
export interface SubscribeOptions {
  clock: Clock
  log: EventLog
  own: PeerAddress
  /** Agents to subscribe to. */
  agents: () => PeerAddress[]
  onReport: (report: LoadReport) => void
  signal: AbortSignal
}

/**
 * @param options - addresses and listener
 * @returns the open subscription
 */
export function subscribeToLoads (options: SubscribeOptions): LoadSubscriber {
  const socket = openSocket(options.own, options.log)
  socket.on('message', message => {
    const report = decodeReport(message, options.log)
    if (report !== undefined) options.onReport(report)
  })
  runInBackground(options.log, 'load subscriptions', () => renew(socket, options))
  return { close: () => socket.close() }
}

async function renew (socket: Socket, options: SubscribeOptions): Promise<void> {
  while (!options.signal.aborted) {
    for (const agent of options.agents()) send(socket, SUBSCRIBE, agent)
    await sleep(options.clock, SUBSCRIBE_INTERVAL_MS, options.signal)
  }
}

/** An agent's end. */
export interface LoadPublisher {
  publish: (report: LoadReport) => void
  close: () => void
}

/**
 * @param clock - local clock
 * @param own - where subscriptions arrive
 * @param log - logger
 * @returns a publisher without subscribers
 */
export function createLoadPublisher (clock: Clock, own: PeerAddress, log: EventLog): LoadPublisher {
  const subscribers = new Map<string, { address: PeerAddress, untilMs: number }>()
  let lastMessage = ''
  let lastSentMs = -Infinity
  const socket = openSocket(own, log)
  socket.on('message', (message, sender) => {
    if (message.toString() !== SUBSCRIBE) return
    const address = { ip: sender.address, port: sender.port }
    subscribers.set(`${address.ip}:${address.port}`, { address, untilMs: clock.nowMs() + SUBSCRIPTION_MS })
  })
  return {
    publish: report => {
      const nowMs = clock.nowMs()
      const message = JSON.stringify(report)
      // Telling only changes takes half of the datagrams away: an engine's load stays the same for 60 ms on average.
      if (message === lastMessage && nowMs - lastSentMs < REPEAT_INTERVAL_MS) return
      lastMessage = message
      lastSentMs = nowMs
      for (const [id, subscriber] of subscribers) {
        if (subscriber.untilMs < nowMs) subscribers.delete(id)
        else send(socket, message, subscriber.address)
      }
    },
    close: () => socket.close()
  }
}

function openSocket (own: PeerAddress, log: EventLog): Socket {
  const socket = createSocket('udp4')
  socket.on('error', error => log.warn('load feed socket failed', { reason: error.message }))
  socket.bind(own.port, own.ip)
  return socket
}

function send (socket: Socket, message: string, to: PeerAddress): void {
  socket.send(message, to.port, to.ip, () => {
    // A datagram that cannot be sent is as good as a lost one.
  })
}

function decodeReport (message: Buffer, log: EventLog): LoadReport | undefined {
  try {
    const report = JSON.parse(message.toString()) as LoadReport
    return typeof report.startId === 'string' ? report : undefined
  } catch (error) {
    log.warn('load report is not JSON', { reason: (error as Error).message })
    return undefined
  }
}
