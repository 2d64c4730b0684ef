/**
 * Probes the agents of a few endpoints for the load of their engines, just before a request is placed.
 *
 * The cost of a request does not grow with the number of endpoints or gateways. If each agent pushed each change to each
 * gateway, 40 agents and 40 gateways would exchange 16,000 datagrams a second for 200 requests; with probes, they exchange
 * 2,000.
 */
import type { Clock } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'
import type { LoadResponse, LoadReport, PeerMessage } from './peerMessages'
import type { PeerAddress } from './peerSocket'

/** Probes agents for their load. */
export interface LoadProber {
  /**
   * @param endpoints - endpoints whose agents are probed; unresponsive ones are skipped until they are due for another probe
   * @returns a promise that resolves when enough agents have responded, or after `PROBE_TIMEOUT_MS`
   */
  probe: (endpoints: readonly Endpoint[]) => Promise<void>
  /** Accepts a response only from the address that was probed: any sender of datagrams can guess a correlation id. */
  onResponse: (response: LoadResponse, from: PeerAddress) => void
  /** @returns whether fewer than `MAX_CONSECUTIVE_TIMEOUTS` probes in a row to the agent of the endpoint have timed out */
  isResponsive: (endpoint: Endpoint) => boolean
  remove: (endpoint: Endpoint) => void
}

/** Options of `createLoadProber`. */
export interface LoadProberOptions {
  clock: Clock
  send: (message: PeerMessage, to: PeerAddress) => void
  peerPort: number
  onReport: (report: LoadReport) => void
}

/** No request waits longer than this for responses: agents respond within 2 to 3 ms, so that a later response is lost or its agent is busy. */
export const PROBE_TIMEOUT_MS = 8

/** After this time two responses are enough: an agent that is slow to respond has an endpoint that is slow to serve. */
export const QUORUM_WAIT_MS = 4

const RESPONSE_QUORUM = 2

/** An agent is unresponsive, and not waited for, after this many probes in a row have timed out. */
export const MAX_CONSECUTIVE_TIMEOUTS = 2

/** An unresponsive agent is probed again after this time, so that its recovery is detected. */
export const REPROBE_INTERVAL_MS = 500

interface AgentState {
  /** Probes in a row that have timed out. Pending ones do not count: in a burst, several are pending at any time. */
  consecutiveTimeouts: number
  lastProbedMs: number
}

interface Round {
  /** Responses to wait for; unresponsive agents are not counted. */
  expected: number
  received: number
  startedAtMs: number
  settle: () => void
}

interface Probe {
  startId: string
  to: PeerAddress
  round: Round
}

/**
 * @param options - clock and sender
 * @returns a prober without pending probes
 */
export function createLoadProber (options: LoadProberOptions): LoadProber {
  const { clock } = options
  const agents = new Map<string, AgentState>()
  /** Probes that have not timed out, oldest first. */
  const pending = new Map<number, Probe>()
  /** Probes that have timed out, oldest first; a late response still shows that the agent is responsive. */
  const timedOut = new Map<number, Probe>()
  let lastCorrelationId = 0

  const stateOf = (startId: string): AgentState => {
    const state = agents.get(startId) ?? { consecutiveTimeouts: 0, lastProbedMs: -Infinity }
    agents.set(startId, state)
    return state
  }

  const expirePending = (nowMs: number): void => {
    for (const [correlationId, probe] of pending) {
      if (nowMs - probe.round.startedAtMs < PROBE_TIMEOUT_MS) return
      pending.delete(correlationId)
      timedOut.set(correlationId, probe)
      const state = agents.get(probe.startId)
      if (state !== undefined) state.consecutiveTimeouts++
    }
  }

  const isResponsiveNow = (startId: string): boolean => {
    expirePending(clock.nowMs())
    return stateOf(startId).consecutiveTimeouts < MAX_CONSECUTIVE_TIMEOUTS
  }

  const mayProbe = (startId: string, nowMs: number): boolean => {
    const state = stateOf(startId)
    return state.consecutiveTimeouts < MAX_CONSECUTIVE_TIMEOUTS || nowMs - state.lastProbedMs > REPROBE_INTERVAL_MS
  }

  const sendProbe = (endpoint: Endpoint, round: Round): void => {
    const state = stateOf(endpoint.startId)
    // The round does not wait for an agent that is probed only to detect its recovery.
    if (state.consecutiveTimeouts < MAX_CONSECUTIVE_TIMEOUTS) round.expected++
    state.lastProbedMs = round.startedAtMs
    lastCorrelationId++
    const to = { ip: endpoint.address.split(':')[0], port: options.peerPort }
    pending.set(lastCorrelationId, { startId: endpoint.startId, to, round })
    options.send({ message: 'load_probe', correlationId: lastCorrelationId }, to)
  }

  const removeOld = (nowMs: number): void => {
    for (const [correlationId, { round }] of timedOut) {
      if (nowMs - round.startedAtMs < REPROBE_INTERVAL_MS) return
      timedOut.delete(correlationId)
    }
  }

  /** Removes the probe that a response belongs to. @returns the probe; undefined if there is none for this sender */
  const takeProbe = (correlationId: number, from: PeerAddress): Probe | undefined => {
    const probe = pending.get(correlationId) ?? timedOut.get(correlationId)
    if (probe === undefined || probe.to.ip !== from.ip || probe.to.port !== from.port) return undefined
    pending.delete(correlationId)
    timedOut.delete(correlationId)
    return probe
  }

  return {
    probe: async endpoints => {
      const nowMs = clock.nowMs()
      expirePending(nowMs)
      removeOld(nowMs)
      const targets = endpoints.filter(endpoint => mayProbe(endpoint.startId, nowMs))
      if (targets.length === 0) return
      await new Promise<void>(resolve => {
        const round: Round = { expected: 0, received: 0, startedAtMs: nowMs, settle: resolve }
        targets.forEach(endpoint => sendProbe(endpoint, round))
        if (round.expected === 0) {
          resolve()
          return
        }
        const quorumTimer = clock.after(QUORUM_WAIT_MS, () => { if (round.received >= RESPONSE_QUORUM) round.settle() })
        const timeoutTimer = clock.after(PROBE_TIMEOUT_MS, () => round.settle())
        round.settle = () => {
          quorumTimer.cancel()
          timeoutTimer.cancel()
          resolve()
        }
      })
    },
    onResponse: ({ correlationId, report }, from) => {
      const probe = takeProbe(correlationId, from)
      if (probe === undefined) return
      stateOf(probe.startId).consecutiveTimeouts = 0
      if (report !== undefined) options.onReport(report)
      const { round } = probe
      round.received++
      const late = clock.nowMs() - round.startedAtMs >= QUORUM_WAIT_MS
      if (round.received >= round.expected || (late && round.received >= RESPONSE_QUORUM)) round.settle()
    },
    isResponsive: endpoint => isResponsiveNow(endpoint.startId),
    remove: endpoint => { agents.delete(endpoint.startId) }
  }
}
