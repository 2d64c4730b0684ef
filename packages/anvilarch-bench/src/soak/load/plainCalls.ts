/** Calls of the plain service: lookups, and orders, which may be executed only once, with and without a key. */
import { expectedPlainAnswer } from 'anvilarch-standins'
import { sleep } from 'anvilarch-utils'
import { Client } from 'undici'
import { sendLookup } from '../../clients/lookupClient'
import { CLIENT_TIMEOUT_CODE } from '../checker/callChecks'
import type { ResponseFault, CallRecord } from '../types'
import { CALL_TIMEOUT_MS, sendRequest } from './sendRequest'
import { type GatewayAddress, type LoadContext, PLAIN_SERVICE } from './types'

const ORDER_PATH = '/orders'
const MAX_RESENDS = 6
const MIN_RESEND_DELAY_MS = 50
const MAX_RESEND_DELAY_MS = 1500
/** Share of keyed orders that are sent through two gateways at once. */
const CONCURRENT_SHARE = 0.4
/** Share of keyed orders whose key is reused with another body. */
const OTHER_BODY_SHARE = 0.1
/** Share of keyed orders that are sent once more after the outcome. */
const REPEAT_SHARE = 0.3

/**
 * @param context - of the load
 * @param requestId - of the call
 */
export async function callLookup (context: LoadContext, requestId: string): Promise<void> {
  const { clock, dispatcher, evidence, gateways } = context
  const gateway = gateways.pick()
  const endpointPath = `/names/${requestId}`
  const sentAtMs = clock.wallMs()
  const timeout = AbortSignal.timeout(CALL_TIMEOUT_MS)
  const response = await sendLookup(gateway.origin, { requestId, path: `/services/${PLAIN_SERVICE}${endpointPath}`, endpointPath }, { clock, dispatcher, signal: timeout })
  const { status, ran, retryAfterMs, detail, outcome } = response
  evidence.calls.push({
    requestId,
    kind: 'lookup',
    gateway: gateway.name,
    key: undefined,
    idempotent: true,
    sentAtMs,
    endedAtMs: clock.wallMs(),
    status,
    code: timeout.aborted ? CLIENT_TIMEOUT_CODE : response.code,
    ran,
    retryAfterMs,
    detail,
    ...LOOKUP_RESULTS[outcome]
  })
}

const LOOKUP_RESULTS: Record<Awaited<ReturnType<typeof sendLookup>>['outcome'], Pick<CallRecord, 'told' | 'fault'>> = {
  completed: { told: 'whole', fault: undefined },
  refused: { told: 'refused', fault: undefined },
  failed: { told: 'failed', fault: undefined },
  incomplete: { told: 'whole', fault: 'incomplete' },
  wrong: { told: 'whole', fault: 'crossed' },
  unreachable: { told: 'broken', fault: undefined }
}

/**
 * @param context - of the load
 * @param name - unique; used as the request id
 * @param signal - aborted when the caller disconnects
 */
export async function callOrder (context: LoadContext, name: string, signal?: AbortSignal): Promise<void> {
  await sendOrder(context, { kind: 'order', requestId: name, key: undefined, body: orderBody(name), gateway: context.gateways.pick(), signal })
}

/**
 * Sends an order with a key, and resends it through another gateway until the outcome is known, as a careful client would.
 *
 * @param context - of the load
 * @param name - unique; used as the key
 */
export async function callKeyedOrder (context: LoadContext, name: string): Promise<void> {
  const { gateways, random } = context
  const body = orderBody(name)
  let sends = 0
  const sendOnce = async (gateway: GatewayAddress, sentBody = body): Promise<CallRecord> =>
    await sendOrder(context, { kind: 'keyed_order', requestId: `${name}.${sends++}`, key: name, body: sentBody, gateway })

  let gateway = gateways.pick()
  const first = sendOnce(gateway)
  if (random.next() < CONCURRENT_SHARE) await sendOnce(gateways.pickOther(gateway.name))
  let last = await first
  for (let resends = 0; resends < MAX_RESENDS && mustResend(last); resends++) {
    await sleep(context.clock, random.between(MIN_RESEND_DELAY_MS, MAX_RESEND_DELAY_MS))
    gateway = gateways.pickOther(gateway.name)
    last = await sendOnce(gateway)
  }
  if (random.next() < REPEAT_SHARE) await sendOnce(gateways.pick())
  if (random.next() < OTHER_BODY_SHARE) await sendOnce(gateways.pick(), orderBody(`${name}-other`))
}

/** The outcome of the call is unknown, or a call with the same key is in progress elsewhere. */
function mustResend (record: CallRecord): boolean {
  return record.told === 'broken' || record.told === 'refused' || (record.told === 'failed' && record.ran !== 'ran')
}

/**
 * Sends orders over one connection, in chunks whose last one comes late, until a response is not complete.
 *
 * @param context - of the load
 * @param name - unique; prefix of the request ids
 */
export async function sendLateOrders (context: LoadContext, name: string): Promise<void> {
  const { gateways, random } = context
  const gateway = gateways.pick()
  const client = new Client(gateway.origin, { keepAliveTimeout: CALL_TIMEOUT_MS, headersTimeout: 0, bodyTimeout: 0 })
  try {
    for (let index = 0; index < MAX_LATE_ORDERS; index++) {
      const requestId = `${name}.${index}`
      const { told } = await sendOrder({ ...context, dispatcher: client }, {
        kind: 'order',
        requestId,
        key: undefined,
        body: orderBody(requestId),
        lateByMs: random.between(0, MAX_LATE_MS),
        headers: random.next() < LONG_DEADLINE_SHARE ? { 'x-deadline-ms': LONG_DEADLINE_MS } : {},
        gateway
      })
      if (told !== 'whole') return
    }
  } finally {
    await client.destroy()
  }
}

const MAX_LATE_ORDERS = 5
const MAX_LATE_MS = 3000
/** Longer than a gateway of the soak that stops may take, so that it must not run the call. */
const LONG_DEADLINE_MS = '44000'
const LONG_DEADLINE_SHARE = 0.5

async function * sendLate (context: LoadContext, body: string, lateByMs: number): AsyncGenerator<string> {
  yield body.slice(0, 1)
  await sleep(context.clock, lateByMs)
  yield body.slice(1)
}

interface Order {
  kind: 'order' | 'keyed_order'
  requestId: string
  key: string | undefined
  body: string
  gateway: GatewayAddress
  headers?: Record<string, string>
  /** Sends the body in chunks, the last one after this time. */
  lateByMs?: number
  signal?: AbortSignal
}

async function sendOrder (context: LoadContext, order: Order): Promise<CallRecord> {
  const { requestId, kind, key, body, gateway, lateByMs } = order
  const { text, ...result } = await sendRequest(context, gateway, {
    method: 'POST',
    path: `/services/${PLAIN_SERVICE}${ORDER_PATH}`,
    headers: { 'content-type': 'application/json', 'x-request-id': requestId, ...(key === undefined ? {} : { 'idempotency-key': key }), ...order.headers },
    body: lateByMs === undefined ? body : sendLate(context, body, lateByMs),
    signal: order.signal
  })
  const fault = result.told === 'whole' ? findOrderFault(text, body) : undefined
  const record: CallRecord = { requestId, kind, gateway: gateway.name, key, idempotent: false, ...result, fault }
  context.evidence.calls.push(record)
  return record
}

/** Compares only path and text, because a response recorded for an earlier call of the key contains the id of that call. */
function findOrderFault (text: string, body: string): ResponseFault | undefined {
  try {
    const { path, answer } = JSON.parse(text) as { path?: string, answer?: string }
    return path === ORDER_PATH && answer === expectedPlainAnswer('POST', ORDER_PATH, body) ? undefined : 'crossed'
  } catch {
    return 'incomplete'
  }
}

function orderBody (name: string): string {
  return JSON.stringify({ order: name })
}
