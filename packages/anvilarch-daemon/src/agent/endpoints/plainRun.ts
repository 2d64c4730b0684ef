/**
 * Runs one call to a plain service, passed through unchanged.
 *
 * A non-idempotent call is sent once, over a dedicated connection: on a keep-alive connection, the request can race with
 * the server closing the idle connection, and it is then unknown whether it ran. Only a failure before the request was
 * handed to a connection proves that it did not run; after that, without a complete response, the outcome is unknown.
 *
 * An idempotent call without a response is sent a second time in parallel, since a dead connection can't be distinguished
 * from a slow service; the first response is used. If only the end of its connection shows whether it is complete, a short one is
 * held until then, and requested again if the connection breaks.
 */
import type { Clock, RunStatus } from 'anvilarch-utils'
import { MAX_BUFFERED_BYTES } from '../../attempts/output/rawCollector'
import type { Headers } from '../../attempts/types'
import type { EndpointConnections } from './connections'
import { type ExchangeEnd, type HttpExchange, openExchange } from './httpExchange'
import type { AttemptCall, EndpointRun, ProcessStatus, RunEnd, RunSink, StopReason } from './types'

/** Dependencies of a plain run. */
export interface PlainRunDeps {
  connections: EndpointConnections
  clock: Clock
  basePath: string
  /** Time without data after which an idempotent call is sent again. */
  idleTimeoutMs: number
  /** Called when the endpoint is unreachable. */
  onUnreachable: () => void
  /** @returns whether a process still listens at the endpoint */
  checkProcess: (incarnation: string) => Promise<ProcessStatus>
}

/** Maximum sends of an idempotent call. */
const MAX_SENDS = 2

/** A response that is not forwarded yet. */
interface HeldResponse {
  status: number
  headers: Headers
  data: Uint8Array[]
  bytes: number
}

/**
 * @param deps - connections and timeouts
 * @param call - the call
 * @param sink - receives the response
 * @returns the run
 */
export function startPlainRun (deps: PlainRunDeps, call: AttemptCall, sink: RunSink): EndpointRun {
  const open = new Set<HttpExchange>()
  const heldResponses = new Map<HttpExchange, HeldResponse>()
  let winner: HttpExchange | undefined
  let sends = 0
  let anySent = false
  let ended: RunEnd | undefined
  let resolveDone: (end: RunEnd) => void = () => {}
  const done = new Promise<RunEnd>(resolve => { resolveDone = resolve })

  const finish = (outcome: RunEnd['outcome'], ran: RunStatus, detail: string): RunEnd => {
    if (ended !== undefined) return ended
    ended = { outcome, ran, detail, outputTokens: 0 }
    for (const exchange of open) exchange.abort()
    resolveDone(ended)
    return ended
  }

  const ranWithoutResponse = (): RunStatus => anySent ? 'unknown' : 'not_run'

  const selectWinner = (exchange: HttpExchange): boolean => {
    if (winner !== undefined) return winner === exchange
    winner = exchange
    for (const other of open) {
      if (other !== exchange) other.abort()
    }
    return true
  }

  const forward = (exchange: HttpExchange, data: Uint8Array): void => {
    if (ended !== undefined || winner !== exchange) return
    if (!sink.onOutput(data)) finish('endpoint_failed', 'ran', 'the answer is larger than "maxOutputBytes"')
  }

  const forwardHeld = (exchange: HttpExchange): void => {
    const held = heldResponses.get(exchange)
    heldResponses.delete(exchange)
    if (held === undefined || !selectWinner(exchange)) return
    sink.onHead(held.status, held.headers)
    if (held.bytes > 0) forward(exchange, Buffer.concat(held.data))
  }

  const onExchangeEnd = async (exchange: HttpExchange, end: ExchangeEnd): Promise<void> => {
    open.delete(exchange)
    if (end.kind !== 'complete' && end.sent) anySent = true
    if (ended !== undefined || end.kind === 'aborted') return
    if (end.kind === 'complete') {
      forwardHeld(exchange)
      if (winner === exchange) finish('completed', 'ran', '')
      return
    }
    heldResponses.delete(exchange)
    if (!end.sent) deps.onUnreachable()
    if (open.size > 0) return
    // A call that crashed the service would crash it again if it were retried.
    if (end.sent && await deps.checkProcess('') === 'crashed') {
      finish('endpoint_crashed', ranWithoutResponse(), `${end.code}: ${end.detail}`)
      return
    }
    if (ended !== undefined) return
    if (mayRetry(end)) {
      sink.onResumed('broken', 0)
      send(true)
      return
    }
    finish('endpoint_failed', ranWithoutResponse(), `${end.code}: ${end.detail}`)
  }

  // After a refused connection the next one would be refused too; a reset may affect a single idle connection.
  const mayRetry = (end: ExchangeEnd): boolean =>
    call.idempotent && winner === undefined && sends < MAX_SENDS && end.kind === 'error' && end.sent

  const send = (fresh: boolean): void => {
    sends++
    const client = fresh ? deps.connections.fresh() : undefined
    const exchange: HttpExchange = openExchange(client ?? deps.connections.pool(call.workClass), {
      ...call.call,
      path: deps.basePath + call.call.path,
      headers: { ...call.call.headers, 'x-request-id': call.requestId, 'x-attempt-id': call.attemptId }
    }, {
      onHead: (status, headers, framing) => {
        if (ended !== undefined) return
        if (framing === 'unknown_coding') exchange.fail('unframed_answer', 'the answer has a transfer coding that is not known')
        else if (framing === 'until_close' && call.idempotent) heldResponses.set(exchange, { status, headers, data: [], bytes: 0 })
        else if (selectWinner(exchange)) sink.onHead(status, headers)
      },
      onData: data => {
        const held = heldResponses.get(exchange)
        if (held === undefined) {
          forward(exchange, data)
          return
        }
        held.data.push(data)
        held.bytes += data.length
        // The gateway would forward it now, and could not start over either.
        if (held.bytes > MAX_BUFFERED_BYTES) forwardHeld(exchange)
      }
    }, deps.clock)
    open.add(exchange)
    exchange.done.then(async end => {
      await onExchangeEnd(exchange, end)
      await client?.destroy()
    }).catch(() => {})
  }

  send(!call.idempotent)

  return {
    done,
    stop: (reason: StopReason) => {
      for (const exchange of open) anySent ||= exchange.sent()
      return finish(reason, ranWithoutResponse(), `stopped: ${reason}`)
    },
    preempt: async () => false,
    resume: () => {},
    checkTimeout: nowMs => {
      // With no exchange open, `onExchangeEnd` is deciding how to continue.
      if (ended !== undefined || !call.idempotent || winner !== undefined || sends >= MAX_SENDS || open.size === 0) return
      for (const exchange of open) {
        if (nowMs - exchange.lastActivityMs() < deps.idleTimeoutMs) return
      }
      deps.connections.replacePool(call.workClass)
      sink.onResumed('silence', 0)
      send(true)
    }
  }
}
