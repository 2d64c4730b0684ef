/** One attempt of a client: a request on a connection, and what the client concludes from its end. */
import type { Clock, Random } from 'anvilarch-utils'
import { type RequestKind, STREAM_EVENTS, STREAM_GAP_MS } from '../deployment'
import type { ClientRequest } from '../rule/types'
import { type ClientConnection, endpointBody, endpointEventData, type Exchange, NEW_WEIGHTS_LINE } from 'anvilarch-standins'
import { describeForm, type RequestFields, type RequestForm, requestParts } from './forms'

/** How often a client looks whether it should leave. */
const LEAVE_POLL_MS = 50

/** Statuses that promise that the request has not run and never will. */
const PROMISES: readonly number[] = [408, 421, 429, 503]

/** Statuses after which a request is not sent again. */
const FINAL_FAILURES: readonly number[] = [400, 401, 404, 413, 431]

/** What was seen of an attempt. */
export interface Attempt extends ClientRequest {
  kind: RequestKind
  /** Time at which the last byte came to the gateway's host. */
  deliveredAtMs: number | undefined
  /** Time at which the connection ended at the gateway's host. */
  closedAtMs: number | undefined
  /** Whether a response with a 2xx status has the signature and the whole body. */
  isSigned: boolean
  isIntact: boolean
  /** Last event that arrived, from which another attempt may resume. */
  lastEventId: number
  retryAfterMs: number
}

/** Options of `runAttempt`. */
export interface AttemptOptions {
  clock: Clock
  random: Random
  connection: ClientConnection
  /** Name of the gateway. */
  gateway: string
  fields: RequestFields
  form: RequestForm
}

/** @returns what was seen, once the attempt has ended */
export async function runAttempt ({ clock, random, connection, gateway, fields, form }: AttemptOptions): Promise<Attempt> {
  const { kind, requestId, deadlineMs } = fields
  const exchange = await new Promise<Exchange>(resolve => {
    const sent = connection.send(requestParts(random, fields, form), () => resolve(sent))
    const watch = (): void => {
      if (sent.end !== undefined) return
      const nowMs = clock.nowMs()
      const isSilent = kind.service === 'models' && nowMs - sent.lastDataAtMs > STREAM_GAP_MS
      if (isSilent || nowMs - sent.sendBeganAtMs > deadlineMs) connection.leave()
      else clock.after(LEAVE_POLL_MS, watch)
    }
    watch()
  })
  const body = Buffer.concat(exchange.body).toString().replaceAll(NEW_WEIGHTS_LINE, '')
  const firstEventId = (fields.lastEventId ?? 0) + 1
  const status = exchange.head?.status
  return {
    requestId,
    gateway,
    route: kind.route,
    deadlineMs,
    routeTimeoutMs: kind.timeoutMs,
    sendBeganAtMs: exchange.sendBeganAtMs,
    sentAtMs: exchange.deliveredAtMs === undefined ? undefined : exchange.sentAtMs,
    headAtMs: exchange.headAtMs,
    status,
    lastByteAtMs: exchange.lastByteAtMs,
    end: exchange.end ?? 'left',
    closeAnnouncedAtMs: exchange.closeAnnouncedAtMs,
    endedAtMs: exchange.endedAtMs,
    form: describeForm(form),
    kind,
    deliveredAtMs: exchange.deliveredAtMs,
    closedAtMs: exchange.closedAtMs,
    isSigned: exchange.head?.headers.has('x-server-stamp') ?? false,
    isIntact: body === (kind.service === 'plain' ? endpointBody(requestId) : streamBody(firstEventId)),
    lastEventId: Number([...body.matchAll(/^id: (\d+)\n.*\n\n/gm)].at(-1)?.[1] ?? firstEventId - 1),
    retryAfterMs: Number(exchange.head?.headers.get('retry-after') ?? 0) * 1000
  }
}

function streamBody (firstEventId: number): string {
  const ids = Array.from({ length: Math.max(0, STREAM_EVENTS - firstEventId + 1) }, (_, index) => firstEventId + index)
  return ids.map(id => `id: ${id}\ndata: ${endpointEventData(id)}\n\n`).join('')
}

/** @returns whether the whole response came, with a 2xx status */
export function isSuccess ({ status, end }: Attempt): boolean {
  return end === 'complete' && status !== undefined && status >= 200 && status < 300
}

/** @returns whether the client may send the request again */
export function mayRetry (attempt: Attempt): boolean {
  const { kind, status, end } = attempt
  if (isSuccess(attempt) || (status !== undefined && FINAL_FAILURES.includes(status)) || end === 'left') return false
  return kind.repeatable || end === 'refused' || (end === 'complete' && PROMISES.includes(status ?? 0))
}
