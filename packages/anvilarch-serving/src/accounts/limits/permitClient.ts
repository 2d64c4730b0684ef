/** Requests permits from other gateways by datagrams, any of which may be lost. */
import type { Clock, Timer } from 'anvilarch-utils'
import type { PeerMessage, PermitResponseMessage } from '../../endpoints/peerMessages'
import type { PeerAddress } from '../../endpoints/peerSocket'
import type { Grant, PermitDemand } from './accountMeter'
import type { Granter } from './limitBounds'

/** A request to the gateway that keeps a meter. */
export interface PermitRequest extends PermitDemand {
  accountName: string
  granter: Exclude<Granter, 'self'>
}

/** Requests permits from other gateways and refunds them. */
export interface PermitClient {
  /** @returns the grant; undefined when there is no response in time */
  request: (to: PeerAddress, request: PermitRequest) => Promise<Grant | undefined>
  /** Handles a response if it comes from the address to which the request was sent. */
  onResponse: (response: PermitResponseMessage, from: PeerAddress) => void
  refund: (to: PeerAddress, accountName: string, granter: Exclude<Granter, 'self'>, count: number) => void
}

/** Options of `createPermitClient`. */
export interface PermitClientOptions {
  clock: Clock
  send: (message: PeerMessage, to: PeerAddress) => void
  /** Sent with each request, so that a gateway with an older version of the configuration detects the newer one. */
  configurationVersion: () => number
}

/** Gateways respond within 2 to 3 ms; one that is slow and busy responds within some 20 ms. */
export const PERMIT_TIMEOUT_MS = 25

/** A gateway that has left this many requests in a row unanswered is skipped. */
const MAX_UNANSWERED = 2

/** Time after which a skipped gateway is tried again. */
const RETRY_UNRESPONSIVE_AFTER_MS = 300

/** Permits of a response that comes later than this after the timeout are not refunded. */
const LATE_RESPONSE_MS = 2000

interface PendingRequest {
  to: PeerAddress
  request: PermitRequest
  /** Undefined after the timeout. */
  settle: ((grant: Grant | undefined) => void) | undefined
  timer: Timer
}

interface UnansweredRequests {
  count: number
  lastTimeoutMs: number
}

/**
 * @param options - clock and sender
 * @returns a client without pending requests
 */
export function createPermitClient (options: PermitClientOptions): PermitClient {
  const { clock, send } = options
  const pendingRequests = new Map<number, PendingRequest>()
  const unansweredByAddress = new Map<string, UnansweredRequests>()
  let lastCorrelationId = 0

  const refund: PermitClient['refund'] = (to, accountName, granter, count) => {
    send({ message: 'permit_refund', accountName, granter, count }, to)
  }

  const mayRequest = (key: string): boolean => {
    const unanswered = unansweredByAddress.get(key)
    if (unanswered === undefined || unanswered.count < MAX_UNANSWERED) return true
    return clock.nowMs() - unanswered.lastTimeoutMs > RETRY_UNRESPONSIVE_AFTER_MS
  }

  const onTimeout = (correlationId: number, key: string): void => {
    const pending = pendingRequests.get(correlationId)
    if (pending === undefined) return
    const settle = pending.settle
    pending.settle = undefined
    pending.timer = clock.after(LATE_RESPONSE_MS, () => pendingRequests.delete(correlationId))
    const unanswered = unansweredByAddress.get(key) ?? { count: 0, lastTimeoutMs: 0 }
    unansweredByAddress.set(key, { count: unanswered.count + 1, lastTimeoutMs: clock.nowMs() })
    settle?.(undefined)
  }

  return {
    request: async (to, request) => {
      const key = `${to.ip}:${to.port}`
      if (!mayRequest(key)) return undefined
      lastCorrelationId++
      const correlationId = lastCorrelationId
      return await new Promise(resolve => {
        const timer = clock.after(PERMIT_TIMEOUT_MS, () => onTimeout(correlationId, key))
        pendingRequests.set(correlationId, { to, request, settle: resolve, timer })
        send({ message: 'permit_request', correlationId, ...request, configurationVersion: options.configurationVersion() }, to)
      })
    },
    onResponse: ({ correlationId, granted, retryAfterMs, turnIntervalMs, usedPerSecond }, from) => {
      const pending = pendingRequests.get(correlationId)
      if (pending === undefined || pending.to.ip !== from.ip || pending.to.port !== from.port) return
      pendingRequests.delete(correlationId)
      pending.timer.cancel()
      unansweredByAddress.delete(`${from.ip}:${from.port}`)
      const { accountName, granter } = pending.request
      if (pending.settle !== undefined) pending.settle({ granted, retryAfterMs, turnIntervalMs, usedPerSecond })
      // Another granter has been used since the timeout, so late permits are not needed.
      else if (granted > 0) refund(from, accountName, granter, granted)
    },
    refund
  }
}
