/** Three algorithms that enforce a rate limit over many gateways. */
import { bucketLimitsOf, createAccountMeters, createPermitClient, createRateLimiter, encodePeerMessage, selectMeterGateways, type PeerMessage } from 'anvilarch-serving'
import { type Bucket, SILENT_LOGGER, takeToken } from 'anvilarch-utils'
import type { LimitAlgorithm, LimitAlgorithmContext, LimitAlgorithmName } from './types'

/** Creates the instance of an algorithm at one gateway. */
export type CreateLimitAlgorithm = (context: LimitAlgorithmContext) => LimitAlgorithm

const GOSSIP_INTERVAL_MS = 200

/** Bytes of a name, a count and their separators. */
const GOSSIP_BYTES_PER_ACCOUNT = 14

const PEER_PORT = 1

/** Callers of the model do not return. */
const LONGEST_RETURN_MS = 0

/** All algorithms by name. */
export const LIMIT_ALGORITHMS: Record<LimitAlgorithmName, CreateLimitAlgorithm> = { share: createShareAlgorithm, gossip: createGossipAlgorithm, home: createHomeAlgorithm }

function createShareAlgorithm ({ clock, gatewayCount, account }: LimitAlgorithmContext): LimitAlgorithm {
  const buckets = new Map<string, Bucket>()
  return {
    admit: async name => {
      const { perSecond, burst } = bucketLimitsOf(account(name))
      const result = takeToken(buckets.get(name), { perSecond: perSecond / gatewayCount, burst: Math.max(1, burst / gatewayCount) }, clock.nowMs())
      buckets.set(name, result.bucket)
      return result.taken
    },
    onMessage: () => {}
  }
}

/** Each gateway has a bucket of the whole limit and deducts the requests that the others report as admitted. */
function createGossipAlgorithm ({ clock, account, broadcast, isRunning }: LimitAlgorithmContext): LimitAlgorithm {
  const buckets = new Map<string, Bucket>()
  let admitted = new Map<string, number>()
  const deduct = (name: string, count: number): void => {
    const limits = bucketLimitsOf(account(name))
    const { bucket } = takeToken(buckets.get(name) ?? { tokens: limits.burst, updatedMs: clock.nowMs() }, limits, clock.nowMs())
    buckets.set(name, { ...bucket, tokens: bucket.tokens - count })
  }
  const broadcastAdmitted = (): void => {
    if (!isRunning()) return
    if (admitted.size > 0) broadcast(admitted, admitted.size * GOSSIP_BYTES_PER_ACCOUNT)
    admitted = new Map()
    clock.after(GOSSIP_INTERVAL_MS, broadcastAdmitted)
  }
  clock.after(GOSSIP_INTERVAL_MS, broadcastAdmitted)
  return {
    admit: async name => {
      const result = takeToken(buckets.get(name), bucketLimitsOf(account(name)), clock.nowMs())
      buckets.set(name, result.bucket)
      if (result.taken) admitted.set(name, (admitted.get(name) ?? 0) + 1)
      return result.taken
    },
    onMessage: message => {
      for (const [name, count] of message as Map<string, number>) deduct(name, count)
    }
  }
}

/** The implementation of the daemon: one gateway counts the requests of an account, and others request permits from it. */
function createHomeAlgorithm ({ clock, index, gatewayCount, bounds, account, send }: LimitAlgorithmContext): LimitAlgorithm {
  const meterGateways = Array.from({ length: gatewayCount }, (_, index) => ({ name: `g${index}`, peerAddress: `${index}:${PEER_PORT}` }))
  const meters = createAccountMeters({ clock, bounds, account, gatewayCount: () => gatewayCount, longestReturnMs: () => LONGEST_RETURN_MS })
  const sendMessage = (message: PeerMessage, to: { ip: string }): void => send(Number(to.ip), message, encodePeerMessage(message).length)
  const permitClient = createPermitClient({ clock, send: sendMessage, configurationVersion: () => 1 })
  const limits = createRateLimiter({ clock, log: SILENT_LOGGER, ownName: `g${index}`, meters, permitClient, meterGatewaysOf: name => selectMeterGateways(meterGateways, name), mayGrantAsHome: () => true })
  return {
    admit: async name => (await limits.acquire({ caller: 'account', account: account(name), keyDigest: '' })).granted,
    onMessage: (received, from) => {
      const message = received as PeerMessage
      const sender = { ip: String(from), port: PEER_PORT }
      if (message.message === 'permit_response') permitClient.onResponse(message, sender)
      else if (message.message === 'permit_refund') limits.onPermitRefund(message)
      else if (message.message === 'permit_request') {
        const grant = limits.onPermitRequest(message)
        if (grant !== undefined) sendMessage({ message: 'permit_response', correlationId: message.correlationId, ...grant, configurationVersion: 1 }, sender)
      }
    }
  }
}
