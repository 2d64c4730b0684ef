/** Evidence of short runs with one cut request. */
import type { Bounds, ClientRequest, EndpointRun, Evidence } from '../types'

/** Time of the signal or of the sending of the configuration in these runs. */
export const WORK_AT_MS = 10_000

export const MACHINE = 'gateway-1'

export const BOUNDS: Bounds = { graceMs: 6_000, lossSlackMs: 200, contactMs: 3_000, configurationApplyMs: 2_000 }

/** @returns a request that is cut 5 s after the planned work, unless `changes` says otherwise; it would last longer than any grace period */
export function cutRequest (changes: Partial<ClientRequest> = {}): ClientRequest {
  const sendBeganAtMs = changes.sendBeganAtMs ?? WORK_AT_MS + 1_000
  return {
    requestId: 'r1',
    gateway: MACHINE,
    route: 'chat',
    deadlineMs: 60_000,
    routeTimeoutMs: 50_000,
    sendBeganAtMs,
    sentAtMs: sendBeganAtMs,
    headAtMs: undefined,
    status: undefined,
    lastByteAtMs: undefined,
    end: 'closed',
    endedAtMs: WORK_AT_MS + 4_000,
    form: 'new connection',
    ...changes
  }
}

/** @returns a run of that request that its sender dropped when the request ended */
export function droppedRun (changes: Partial<EndpointRun> = {}): EndpointRun {
  return { requestId: 'r1', endpoint: 'e1', arrivedAtMs: WORK_AT_MS + 1_000, beganAtMs: WORK_AT_MS + 1_000, end: 'dropped', endedAtMs: WORK_AT_MS + 4_000, ...changes }
}

/** @returns evidence of a request that was passed on and cut around a SIGTERM */
export function evidenceOf (changes: Partial<Evidence> = {}): Evidence {
  return { bounds: BOUNDS, requests: [cutRequest()], runs: [droppedRun()], signals: [{ machine: MACHINE, signal: 'SIGTERM', atMs: WORK_AT_MS }], changes: [], disruptions: [], ...changes }
}
