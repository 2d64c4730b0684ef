/** Planned work around which a cut request counts. */
import type { ClientRequest, ConfigurationChange, Evidence, Signal } from './types'

/** Planned work; `atMs` is the time of the signal, or of the sending of the configuration. */
export type PlannedWork =
  | { kind: 'SIGTERM' | 'SIGHUP', machine: string, atMs: number }
  | { kind: 'configuration', version: number, atMs: number }

/** Span of time, both ends included. */
export interface Span {
  fromMs: number
  toMs: number
}

/** "Until 1 s after grace-s", and "config-apply-ms + 1 s". */
const SLACK_AFTER_WORK_MS = 1_000

/** "A request that has used seven tenths of its time." */
const MOSTLY_USED_TENTHS = 7

/** Whether a request of the signalled machine is around the signal. */
const SIGNAL_CHECKS: Record<Signal['signal'], (evidence: Evidence, signal: Signal, request: ClientRequest) => boolean> = {
  /** "A SIGTERM of the machine that took the request from the client, until 1 s after grace-s": the connection ends in that span. */
  SIGTERM: ({ bounds }, { atMs }, request) => request.endedAtMs >= atMs && request.endedAtMs <= atMs + bounds.graceMs + SLACK_AFTER_WORK_MS,
  /**
   * "That machine's SIGHUP, for requests sent up to config-apply-ms after it and cut after it." Sent is the time of the first byte, and a cut has no
   * latest time.
   */
  SIGHUP: ({ bounds }, { atMs }, request) => request.sendBeganAtMs <= atMs + bounds.configurationApplyMs && request.endedAtMs >= atMs
}

/**
 * @param evidence - observations of the run
 * @param request - the request
 * @returns the signal around which the request ended, SIGTERM before SIGHUP and the latest of them; undefined if there is none
 */
export function signalAround (evidence: Evidence, request: ClientRequest): PlannedWork | undefined {
  const around = evidence.signals.filter(signal => signal.machine === request.gateway && SIGNAL_CHECKS[signal.signal](evidence, signal, request))
  const ofKind = (kind: Signal['signal']): Signal | undefined => around.filter(({ signal }) => signal === kind).sort((first, second) => first.atMs - second.atMs).at(-1)
  const found = ofKind('SIGTERM') ?? ofKind('SIGHUP')
  return found === undefined ? undefined : { kind: found.signal, machine: found.machine, atMs: found.atMs }
}

/**
 * "A configuration that may be in force, from its sending until config-apply-ms + 1 s after its acknowledgement."
 *
 * @param evidence - observations of the run
 * @param change - the configuration
 * @returns the span of the change; without an acknowledgement it does not end
 */
export function changeSpan ({ bounds }: Evidence, change: ConfigurationChange): Span {
  return { fromMs: change.sentAtMs, toMs: (change.acknowledgedAtMs ?? Infinity) + bounds.configurationApplyMs + SLACK_AFTER_WORK_MS }
}

/**
 * @param evidence - observations of the run
 * @param request - the request
 * @returns the latest configuration in whose span the connection ended; undefined if there is none
 */
export function changeAround (evidence: Evidence, request: ClientRequest): PlannedWork | undefined {
  const around = evidence.changes.filter(change => isWithin(changeSpan(evidence, change), request.endedAtMs))
  const latest = around.sort((first, second) => first.sentAtMs - second.sentAtMs).at(-1)
  return latest === undefined ? undefined : { kind: 'configuration', version: latest.version, atMs: latest.sentAtMs }
}

/**
 * "Not for a request that has used seven tenths of its time." Its time is the client's deadline, from the first byte; a shorter timeout of the route
 * is not its time.
 *
 * @param request - the request
 * @returns whether it has used so much
 */
export function hasUsedMostOfItsTime (request: ClientRequest): boolean {
  return (request.endedAtMs - request.sendBeganAtMs) * 10 >= request.deadlineMs * MOSTLY_USED_TENTHS
}

/** @returns whether a time is in a span */
export function isWithin ({ fromMs, toMs }: Span, atMs: number): boolean {
  return atMs >= fromMs && atMs <= toMs
}
