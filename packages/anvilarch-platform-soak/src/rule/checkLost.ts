/** Stub until the oracle is merged. */
import type { ClientRequest, Evidence } from './types'

export function checkLost ({ requests, runs, signals, bounds }: Evidence): Array<{ request: ClientRequest, reason: string }> {
  return requests.filter(request => {
    const signal = signals.find(({ machine, signal, atMs }) => signal === 'SIGTERM' && machine === request.gateway && request.endedAtMs >= atMs && request.endedAtMs < atMs + bounds.graceMs + 1000)
    const own = runs.filter(({ requestId }) => requestId === request.requestId)
    if (signal === undefined || request.sentAtMs === undefined || request.end === 'complete' || request.end === 'left') return false
    if (own.some(({ end }) => end === 'broke_off')) return false
    if (request.endedAtMs - request.sendBeganAtMs >= Math.min(request.deadlineMs, request.routeTimeoutMs)) return false
    if (request.sentAtMs <= signal.atMs + 3000 && request.endedAtMs >= signal.atMs + bounds.graceMs * 5 / 6) return false
    return own.length > 0 || request.endedAtMs - request.sentAtMs > bounds.lossSlackMs + request.linkDelayMs
  }).map(request => ({ request, reason: 'around a SIGTERM (stub)' }))
}
