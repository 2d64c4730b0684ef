/**
 * Keeps the requests of each account within its rate limit over all gateways.
 *
 * The meter of an account is kept by one gateway, its home, from which the others request permits before requests start. The
 * cost of a request does not grow with the number of gateways, and callers that reach only some of them may use the whole limit.
 */
import { type Clock, runInBackground, sleep } from 'anvilarch-utils'
import type { PermitRequestMessage, PermitRefundMessage } from '../../endpoints/peerMessages'
import { parsePeerAddress } from '../../endpoints/peerSocket'
import type { EventLog } from '../../telemetry/events'
import type { Caller, ClientAccount } from '../types'
import type { Grant, PermitDemand } from './accountMeter'
import type { AccountMeters } from './accountMeters'
import type { Granter } from './limitBounds'
import type { MeterGateway } from './meterGateways'
import type { PermitClient } from './permitClient'

/**
 * Whether a request may start. `refund` is called if the request has not run; `usedPerSecond` counts the permits of the account in
 * the last second over all gateways, 0 if that is not known. `retryAfterMs` is the time until the caller's turn.
 */
export type Permit = { granted: true, refund: () => void, usedPerSecond: number } | { granted: false, retryAfterMs: number, granter: Granter }

/** Limits the request rates of accounts over all gateways. */
export interface RateLimiter {
  acquire: (caller: Caller) => Promise<Permit>
  /** @returns the grant for another gateway; undefined when the account is not in the local configuration or its meter is elsewhere */
  onPermitRequest: (request: PermitRequestMessage) => Grant | undefined
  onPermitRefund: (message: PermitRefundMessage) => void
}

/** Options of `createRateLimiter`. */
export interface RateLimiterOptions {
  clock: Clock
  log: EventLog
  ownName: string
  meters: AccountMeters
  permitClient: Pick<PermitClient, 'request' | 'refund'>
  /** @returns the home of an account's meter and its deputy */
  meterGatewaysOf: (accountName: string) => readonly MeterGateway[]
  /** @returns whether this gateway is the home of the account's meter */
  mayGrantAsHome: (accountName: string) => boolean
}

/** Maximum number of permits in one permit request. */
const MAX_WANTED = 50

/** Maximum number of requests that a gateway can report as denied by itself: more than it receives in `MAX_CACHED_DENIAL_MS`. */
const MAX_DENIED_UNASKED = 1000

/**
 * After a denial, requests of the account are denied here without a permit request until the meter has gained a permit, and for up to this
 * long: refunds and higher limits give permits earlier.
 */
const MAX_CACHED_DENIAL_MS = 50

/** Attempts, and the pause between them, while neither home nor deputy responds and this gateway's own share is used up. */
const UNREACHABLE_ATTEMPTS = 3
const UNREACHABLE_PAUSE_MS = 50

/** Later than this after the start, a home that does not respond is lost or partitioned, and waiting for it is useless. */
const STARTUP_MS = 3000

/** Within about this time, an unreachable home has restarted or another gateway has taken its place. */
const UNREACHABLE_RETRY_AFTER_MS = 500

const MS_PER_SECOND = 1000

const UNLIMITED: Permit = { granted: true, refund: () => {}, usedPerSecond: 0 }

/** Requests of one account that wait for permits here, in order of arrival. One permit request at a time covers all of them. */
interface AccountQueue {
  waiting: Array<(permit: Permit) => void>
  isRequesting: boolean
  /** Denials until then need no permit request. */
  deniedUntilMs: number
  /** Turn of the next caller that is denied without a permit request. */
  nextTurn: { atMs: number, intervalMs: number, granter: Granter }
  /** Callers denied without a permit request since the last one. */
  deniedUnasked: number
}

/** A grant and its granter. */
interface GrantWithSource extends Grant {
  granter: Granter
  refund: () => void
}

const GRANTERS: ReadonlyArray<Exclude<Granter, 'self'>> = ['home', 'deputy']

/**
 * @param options - meters and peers
 * @returns a rate limiter that has granted nothing
 */
export function createRateLimiter (options: RateLimiterOptions): RateLimiter {
  const { clock, meters, permitClient } = options
  const queues = new Map<string, AccountQueue>()
  const startedAtMs = clock.nowMs()

  const requestFrom = async (gateway: MeterGateway, granter: Exclude<Granter, 'self'>, accountName: string, demand: PermitDemand): Promise<GrantWithSource | undefined> => {
    if (gateway.name === options.ownName) return grantLocally(granter, accountName, demand)
    const to = parsePeerAddress(gateway.peerAddress)
    const grant = await permitClient.request(to, { accountName, granter, ...demand })
    return grant && { ...grant, granter, refund: () => permitClient.refund(to, accountName, granter, 1) }
  }

  /** Two gateways that act as the home at the same time would grant twice the limit. */
  const grantOwn = (granter: Granter, accountName: string, demand: PermitDemand): Grant | undefined =>
    granter === 'home' && !options.mayGrantAsHome(accountName) ? undefined : meters.grant(accountName, granter, demand)

  const grantLocally = (granter: Granter, accountName: string, demand: PermitDemand): GrantWithSource | undefined => {
    const grant = grantOwn(granter, accountName, demand)
    return grant && { ...grant, granter, refund: () => meters.refund(accountName, granter, 1) }
  }

  const obtainGrant = async (accountName: string, demand: PermitDemand): Promise<GrantWithSource> => {
    const gateways = options.meterGatewaysOf(accountName)
    for (const [index, granter] of GRANTERS.entries()) {
      const gateway = gateways[index]
      const grant = gateway && await requestFrom(gateway, granter, accountName, demand)
      if (grant !== undefined) return grant
    }
    // An account that was just removed from the configuration is refused when its key is checked.
    return grantLocally('self', accountName, demand) ?? { granted: demand.wanted, retryAfterMs: 0, turnIntervalMs: 0, usedPerSecond: 0, granter: 'self', refund: () => {} }
  }

  /**
   * After a loss of all gateways, those that restart first find homes that do not listen yet. A wait of some tens of
   * milliseconds costs a caller less than a retry.
   */
  const obtainWithRetries = async (accountName: string, demand: PermitDemand): Promise<GrantWithSource> => {
    let grant = await obtainGrant(accountName, demand)
    const maxAttempts = clock.nowMs() - startedAtMs < STARTUP_MS ? UNREACHABLE_ATTEMPTS : 1
    for (let attempts = 1; attempts < maxAttempts && grant.granter === 'self' && grant.granted === 0; attempts++) {
      await sleep(clock, UNREACHABLE_PAUSE_MS)
      grant = await obtainGrant(accountName, demand)
    }
    if (grant.granter === 'home') return grant
    // Other granters see only a part of the account's requests.
    return { ...grant, retryAfterMs: Math.min(grant.retryAfterMs, UNREACHABLE_RETRY_AFTER_MS), turnIntervalMs: 0, usedPerSecond: 0 }
  }

  const processQueue = async (account: ClientAccount, queue: AccountQueue): Promise<void> => {
    queue.isRequesting = true
    while (queue.waiting.length > 0) {
      const batch = queue.waiting.splice(0, MAX_WANTED)
      const { deniedUnasked } = queue
      queue.deniedUnasked = 0
      const { granted, retryAfterMs, turnIntervalMs, usedPerSecond, granter, refund } = await obtainWithRetries(account.name, { wanted: batch.length, deniedUnasked })
      batch.forEach((resolve, index) => resolve(index < granted
        ? { granted: true, refund, usedPerSecond }
        : { granted: false, retryAfterMs: retryAfterMs + (index - granted) * turnIntervalMs, granter }))
      if (granted === batch.length) continue
      queue.deniedUntilMs = clock.nowMs() + Math.min(retryAfterMs, MS_PER_SECOND / account.requestsPerSecond, MAX_CACHED_DENIAL_MS)
      queue.nextTurn = { atMs: clock.nowMs() + retryAfterMs + (batch.length - granted) * turnIntervalMs, intervalMs: turnIntervalMs, granter }
    }
    queue.isRequesting = false
    if (queue.deniedUntilMs <= clock.nowMs()) queues.delete(account.name)
  }

  /** Denies a caller by the last grant, and gives it the next turn. */
  const denyUnasked = (queue: AccountQueue): Permit => {
    const { atMs, intervalMs, granter } = queue.nextTurn
    queue.nextTurn = { atMs: atMs + intervalMs, intervalMs, granter }
    queue.deniedUnasked++
    return { granted: false, retryAfterMs: Math.ceil(atMs - clock.nowMs()), granter }
  }

  const enqueue = (account: ClientAccount): Promise<Permit> => {
    const queue = queues.get(account.name) ?? createQueue()
    queues.set(account.name, queue)
    if (queue.deniedUntilMs > clock.nowMs()) return Promise.resolve(denyUnasked(queue))
    return new Promise(resolve => {
      queue.waiting.push(resolve)
      if (!queue.isRequesting) runInBackground(options.log, 'request permits', () => processQueue(account, queue))
    })
  }

  return {
    acquire: async caller => caller.caller === 'account' && caller.account.requestsPerSecond > 0 ? await enqueue(caller.account) : UNLIMITED,
    onPermitRequest: ({ accountName, granter, wanted, deniedUnasked }) =>
      grantOwn(granter, accountName, { wanted: Math.min(wanted, MAX_WANTED), deniedUnasked: Math.min(deniedUnasked, MAX_DENIED_UNASKED) }),
    onPermitRefund: ({ accountName, granter, count }) => meters.refund(accountName, granter, Math.min(count, MAX_WANTED))
  }
}

function createQueue (): AccountQueue {
  return { waiting: [], isRequesting: false, deniedUntilMs: -Infinity, nextTurn: { atMs: 0, intervalMs: 0, granter: 'home' }, deniedUnasked: 0 }
}
