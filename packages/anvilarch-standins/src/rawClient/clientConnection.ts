/** Connection of a client to a gateway, directly or over a link. */
import { connect } from 'node:net'
import { type Clock, type Random, sleep } from 'anvilarch-utils'
import { forwardSocket } from '../links/linkedPort'
import { createLinkFlow, type LinkFlow } from '../links/linkFlow'
import { createLinkTiming, type LinkProfile } from '../links/linkTiming'
import { createResponseParser, type ResponseHead } from './responseParser'

/** Clients allow a new connection this time. */
const CONNECT_TIMEOUT_MS = 1000

/** Time between two reads of a client that reads slowly. */
const SLOW_READ_MS = 250

/** How an exchange ended. `left`: the client closed the connection before the response was complete. */
export type ExchangeEnd = 'complete' | 'closed' | 'reset' | 'refused' | 'left'

type OnDelivered = (error?: Error | null) => void

/** Part of a request, sent after a pause. */
export interface RequestPart {
  pauseMs: number
  bytes: Buffer
}

/** Request on a connection, and what was seen of it. Times are in milliseconds. */
export interface Exchange {
  sendBeganAtMs: number
  sentAtMs: number | undefined
  /** Time at which the last byte was passed to the gateway's host. */
  deliveredAtMs: number | undefined
  headAtMs: number | undefined
  head: ResponseHead | undefined
  body: Buffer[]
  /** Time of the last bytes in either direction. */
  lastDataAtMs: number
  lastByteAtMs: number | undefined
  end: ExchangeEnd | undefined
  endedAtMs: number
  /** Time at which the connection ended at the gateway's side of the link. */
  closedAtMs: number | undefined
  /** Time of the first head on the connection with `Connection: close`. */
  closeAnnouncedAtMs: number | undefined
  onEnd: () => void
}

/** Open connection. */
export interface ClientConnection {
  /** @returns the exchange, whose `end` is set when `onEnd` is called */
  send: (parts: readonly RequestPart[], onEnd: () => void) => Exchange
  /** Whether another request may be sent. */
  isReusable: () => boolean
  lastUsedAtMs: () => number
  /** Closes the connection; unfinished exchanges end as `left`. */
  leave: () => void
}

/** Options of `openConnection`. */
export interface ConnectionOptions {
  clock: Clock
  random: Random
  ip: string
  port: number
  link: LinkProfile | undefined
  readsSlowly: boolean
  /** Called at each head of a response. */
  onHead: () => void
}

/** @returns a connection that is being opened */
export function openConnection ({ clock, random, ip, port, link, readsSlowly, onHead }: ConnectionOptions): ClientConnection {
  const socket = connect({ host: ip, port, allowHalfOpen: true })
  const exchanges: Exchange[] = []
  let reusable = true
  let closeAnnouncedAtMs: number | undefined
  let connected = false
  let over = false
  let closedAtMs: number | undefined
  let lastUsedAtMs = clock.nowMs()

  const finish = (exchange: Exchange, end: ExchangeEnd): void => {
    exchange.end = end
    exchange.endedAtMs = clock.nowMs()
    exchange.closedAtMs = closedAtMs
    exchange.closeAnnouncedAtMs = closeAnnouncedAtMs
    lastUsedAtMs = exchange.endedAtMs
    exchange.onEnd()
  }
  const finishAll = (end: ExchangeEnd): void => {
    over = true
    reusable = false
    socket.destroy()
    for (const exchange of exchanges.splice(0)) finish(exchange, end)
  }
  const parser = createResponseParser({
    onHead: head => {
      onHead()
      if (head.headers.get('connection')?.toLowerCase() === 'close') {
        reusable = false
        closeAnnouncedAtMs ??= clock.nowMs()
      }
      if (exchanges.length === 0) return
      exchanges[0].headAtMs = clock.nowMs()
      exchanges[0].head = head
    },
    onBody: bytes => {
      if (exchanges.length === 0) return
      exchanges[0].body.push(bytes)
      exchanges[0].lastDataAtMs = clock.nowMs()
    },
    onComplete: () => {
      const exchange = exchanges.shift()
      if (exchange === undefined) return
      exchange.lastByteAtMs = clock.nowMs()
      // The rest of a body is not sent after its response.
      if (exchange.sentAtMs === undefined) reusable = false
      finish(exchange, 'complete')
      if (!reusable && exchanges.length === 0) socket.destroy()
    }
  })
  const sink = {
    write: (bytes: Buffer): void => parser.feed(bytes),
    end: (): void => {
      parser.finish()
      finishAll('closed')
    },
    reset: (): void => finishAll(connected ? 'reset' : 'refused')
  }
  const arrivals: LinkFlow = link === undefined ? { ...sink, pendingBytes: () => 0, close: () => {} } : createLinkFlow({ clock, arrivalMs: createLinkTiming(link, random), sink })
  const departures: Array<OnDelivered | undefined> = []
  const outgoing = link === undefined
    ? undefined
    : createLinkFlow({ clock, arrivalMs: createLinkTiming(link, random), sink: { write: bytes => { socket.write(bytes, departures.shift()) }, end: () => {}, reset: () => {} } })
  const write = (bytes: Buffer, onDelivered?: OnDelivered): void => {
    if (outgoing === undefined) socket.write(bytes, onDelivered)
    else {
      departures.push(onDelivered)
      outgoing.write(bytes)
    }
  }

  const noteClose = (): void => { closedAtMs ??= clock.nowMs() }
  socket.on('end', noteClose)
  socket.on('error', noteClose)
  forwardSocket(clock, socket, arrivals)
  const connectTimer = clock.after(CONNECT_TIMEOUT_MS, () => { if (!connected) finishAll('refused') })
  socket.once('connect', () => {
    connected = true
    connectTimer.cancel()
  })
  socket.on('close', () => {
    outgoing?.close()
    if (!over && link === undefined) finishAll('closed')
  })
  if (readsSlowly) readSlowly(clock, socket)

  const noteDelivery = (exchange: Exchange): void => {
    exchange.deliveredAtMs = clock.nowMs()
    exchange.sentAtMs ??= exchange.deliveredAtMs
  }
  const sendParts = async (exchange: Exchange, parts: readonly RequestPart[]): Promise<void> => {
    for (const [index, { pauseMs, bytes }] of parts.entries()) {
      if (pauseMs > 0) await sleep(clock, pauseMs)
      if (exchange.end !== undefined) return
      const isLast = index === parts.length - 1
      exchange.lastDataAtMs = clock.nowMs()
      if (isLast && link !== undefined) exchange.sentAtMs = clock.nowMs()
      write(bytes, isLast ? error => { if (!error) noteDelivery(exchange) } : undefined)
    }
  }

  return {
    send: (parts, onEnd) => {
      const exchange: Exchange = { sendBeganAtMs: clock.nowMs(), sentAtMs: undefined, deliveredAtMs: undefined, headAtMs: undefined, head: undefined, body: [], lastDataAtMs: clock.nowMs(), lastByteAtMs: undefined, end: undefined, endedAtMs: 0, closedAtMs: undefined, closeAnnouncedAtMs: undefined, onEnd }
      exchanges.push(exchange)
      sendParts(exchange, parts).catch(() => finishAll('reset'))
      return exchange
    },
    isReusable: () => reusable && !over,
    lastUsedAtMs: () => lastUsedAtMs,
    leave: () => finishAll('left')
  }
}

/** Reads in short moments with pauses between them. */
function readSlowly (clock: Clock, socket: ReturnType<typeof connect>): void {
  const pause = (): void => {
    if (socket.destroyed) return
    socket.pause()
    clock.after(SLOW_READ_MS, () => {
      socket.resume()
      clock.after(1, pause)
    })
  }
  pause()
}
