/** How often a machine cuts requests beside configurations and at other times. */
import { changeSpan, isWithin, signalAround, type Span } from './plannedWork'
import type { ClientRequest, Evidence } from './types'

/** "Over three times as often." */
const MORE_OFTEN_FACTOR = 3

/** Cuts, requests and time of a machine, beside configurations or at other times. */
interface Tally {
  cuts: number
  requests: number
  timeMs: number
}

/**
 * "Beside a configuration it counts only if the machine cuts requests over three times as often then as at other times."
 *
 * The rule does not say whether this is by time or by request: either of them is enough. Cuts around a signal do not count as cuts at other times.
 * A machine without cuts at other times cuts more often beside configurations.
 *
 * @param evidence - observations of the run
 * @param machine - name of the machine
 * @param cuts - requests of all machines that were cut and that no exception covers
 * @returns whether the machine cuts over three times as often beside configurations
 */
export function cutsMoreOftenBesideChanges (evidence: Evidence, machine: string, cuts: readonly ClientRequest[]): boolean {
  const spans = mergeSpans(evidence.changes.map(change => changeSpan(evidence, change)))
  const observed = observedSpan(evidence)
  const isBeside = (request: ClientRequest): boolean => spans.some(span => isWithin(span, request.endedAtMs))
  const ofMachine = evidence.requests.filter(request => request.gateway === machine)
  const cutsOfMachine = cuts.filter(request => request.gateway === machine)
  const besideTimeMs = spans.reduce((sumMs, span) => sumMs + Math.max(0, Math.min(span.toMs, observed.toMs) - Math.max(span.fromMs, observed.fromMs)), 0)
  const beside: Tally = { cuts: cutsOfMachine.filter(isBeside).length, requests: ofMachine.filter(isBeside).length, timeMs: besideTimeMs }
  const other: Tally = {
    cuts: cutsOfMachine.filter(request => !isBeside(request) && signalAround(evidence, request) === undefined).length,
    requests: ofMachine.length - beside.requests,
    timeMs: observed.toMs - observed.fromMs - besideTimeMs
  }
  return isMoreOften(beside, other)
}

function isMoreOften (beside: Tally, other: Tally): boolean {
  if (other.cuts === 0) return beside.cuts > 0
  const isMoreOftenBy = (measure: 'requests' | 'timeMs'): boolean => beside.cuts * other[measure] > MORE_OFTEN_FACTOR * other.cuts * beside[measure]
  return isMoreOftenBy('timeMs') || isMoreOftenBy('requests')
}

/** @returns the time from the first byte of a request to the last end of a connection */
function observedSpan ({ requests }: Evidence): Span {
  return requests.reduce<Span>(
    (span, request) => ({ fromMs: Math.min(span.fromMs, request.sendBeganAtMs), toMs: Math.max(span.toMs, request.endedAtMs) }),
    { fromMs: Infinity, toMs: -Infinity }
  )
}

/** @returns spans that do not overlap and cover the same times */
function mergeSpans (spans: readonly Span[]): Span[] {
  const merged: Span[] = []
  for (const span of [...spans].sort((first, second) => first.fromMs - second.fromMs)) {
    const last = merged.at(-1)
    if (last !== undefined && span.fromMs <= last.toMs) last.toMs = Math.max(last.toMs, span.toMs)
    else merged.push({ ...span })
  }
  return merged
}
