/**
 * Datagrams between daemons: load reports about the engine of an agent, usage reports, permits within the limits of accounts
 * that gateways grant each other, and origins of streams that gateways keep for each other. Losses are tolerated: a later
 * datagram makes up for a lost one, or another gateway responds.
 */
import type { Grant, PermitDemand } from '../accounts/limits/accountMeter'
import type { Granter } from '../accounts/limits/limitBounds'
import { MAX_DURATION_MS } from '../store/rowValues'
import type { StreamOrigin } from '../streams/types'

/** Request of a gateway for the load report of an agent. */
export interface LoadProbe {
  message: 'load_probe'
  /** Returned in the response. */
  correlationId: number
}

/** Response of an agent. */
export interface LoadResponse {
  message: 'load_response'
  correlationId: number
  /** Undefined until the agent has identified the start of its engine. */
  report: LoadReport | undefined
}

/** Load of the engine of an agent. */
export interface LoadReport {
  /** The start of the engine that the report is about; see `startIdOf`. */
  startId: string
  /** Requests that run or wait and are not preemptible. */
  online: number
  /** Batch items that run; the agent preempts them as soon as a request is reported. */
  batchRunning: number
  /** Whether the engine responds to its agent. */
  reachable: boolean
  /** Time between two events of a run at this engine, in whole ms; undefined if it is not known. */
  eventIntervalMs: number | undefined
}

/** Report of a gateway to an agent: the gateway's requests in progress at the engine. */
export interface UsageReport {
  message: 'usage_report'
  startId: string
  inProgress: number
}

/** Request for permits to the gateway that keeps the meter of an account. */
export interface PermitRequestMessage extends PermitDemand {
  message: 'permit_request'
  /** Returned in the response. */
  correlationId: number
  accountName: string
  /** Role in which the receiving gateway keeps the meter. */
  granter: Exclude<Granter, 'self'>
  /** Version in force at the requesting gateway. */
  configurationVersion: number
}

/** Response of the gateway that keeps the meter. */
export interface PermitResponseMessage extends Grant {
  message: 'permit_response'
  correlationId: number
  /** Version in force at the responding gateway. */
  configurationVersion: number
}

/** Refund of permits whose requests have not run. */
export interface PermitRefundMessage {
  message: 'permit_refund'
  accountName: string
  granter: Exclude<Granter, 'self'>
  count: number
}

/** Permits that the sender has not granted as the home of a meter, to the gateway that is the home from now on. */
export interface MeterHandoverMessage {
  message: 'meter_handover'
  accountName: string
  permits: number
}

/** Origin of a stream, to a gateway that keeps it in case the sender is lost. */
export interface OriginRecordMessage extends StreamOrigin {
  message: 'origin_record'
  /** Id of the client attempt that began the stream. */
  requestId: string
}

/** Request for the origin of a stream. */
export interface OriginQuery {
  message: 'origin_query'
  /** Returned in the response. */
  correlationId: number
  /** Id of the client attempt that began the stream. */
  requestId: string
}

/** Response to a request for an origin. */
export interface OriginResponse {
  message: 'origin_response'
  correlationId: number
  /** Undefined if the responding gateway has no record of the stream. */
  origin: StreamOrigin | undefined
}

/** Any message between daemons. */
export type PeerMessage =
  | LoadProbe | LoadResponse | UsageReport
  | PermitRequestMessage | PermitResponseMessage | PermitRefundMessage | MeterHandoverMessage
  | OriginRecordMessage | OriginQuery | OriginResponse

/** On the wire, a message is a list with its kind first: field names would make up two thirds of its bytes. */
type WireMessage =
  | ['q', number]
  | ['a', number]
  | ['a', number, string, number, number, boolean, number]
  | ['u', string, number]
  | ['p', number, string, GranterCode, number, number, number, number]
  | ['g', number, number, number, number, number, number]
  | ['r', string, GranterCode, number]
  | ['h', string, number]
  | ['o', string, string, string]
  | ['s', number, string]
  | ['t', number]
  | ['t', number, string, string]

/** Sent in a place that other software versions read as a number of the requests in `wanted`. */
const UNUSED = 0

/** Stands for an interval that is not known. */
const UNKNOWN_INTERVAL = 0

type GranterCode = 0 | 1

const GRANTERS = ['home', 'deputy'] as const

const GRANTER_CODES: Record<typeof GRANTERS[number], GranterCode> = { home: 0, deputy: 1 }

/** @returns the bytes of a message */
export function encodePeerMessage (message: PeerMessage): string {
  return JSON.stringify(toWire(message))
}

function toWire (message: PeerMessage): WireMessage {
  switch (message.message) {
    case 'load_probe':
      return ['q', message.correlationId]
    case 'load_response': {
      const { correlationId, report } = message
      return report === undefined ? ['a', correlationId] : ['a', correlationId, report.startId, report.online, report.batchRunning, report.reachable, report.eventIntervalMs ?? UNKNOWN_INTERVAL]
    }
    case 'usage_report':
      return ['u', message.startId, message.inProgress]
    case 'permit_request':
      return ['p', message.correlationId, message.accountName, GRANTER_CODES[message.granter], message.wanted, message.configurationVersion, UNUSED, message.deniedUnasked]
    case 'permit_response':
      return ['g', message.correlationId, message.granted, message.retryAfterMs, message.configurationVersion, message.turnIntervalMs, message.usedPerSecond]
    case 'permit_refund':
      return ['r', message.accountName, GRANTER_CODES[message.granter], message.count]
    case 'meter_handover':
      return ['h', message.accountName, message.permits]
    case 'origin_record':
      return ['o', message.requestId, message.service, message.softwareVersion]
    case 'origin_query':
      return ['s', message.correlationId, message.requestId]
    case 'origin_response': {
      const { correlationId, origin } = message
      return origin === undefined ? ['t', correlationId] : ['t', correlationId, origin.service, origin.softwareVersion]
    }
  }
}

/**
 * @param bytes - content of a datagram
 * @returns the message; undefined if the bytes are not a message
 */
export function decodePeerMessage (bytes: Buffer): PeerMessage | undefined {
  const list = parseList(bytes)
  const [kind, ...fields] = list ?? []
  const decode = typeof kind === 'string' ? DECODERS.get(kind) : undefined
  return decode?.(fields)
}

type Decoder = (fields: readonly unknown[]) => PeerMessage | undefined

/** Fields with a default are missing in messages of daemons of an older version. */
const DECODERS: ReadonlyMap<string, Decoder> = new Map<string, Decoder>([
  ['q', ([correlationId]) => isCount(correlationId) ? { message: 'load_probe', correlationId } : undefined],
  ['a', ([correlationId, startId, online, batchRunning, reachable, intervalMs = UNKNOWN_INTERVAL]) => {
    if (!isCount(correlationId)) return undefined
    if (startId === undefined) return { message: 'load_response', correlationId, report: undefined }
    if (typeof startId !== 'string' || !isCount(online) || !isCount(batchRunning) || typeof reachable !== 'boolean' || !isCountOfMs(intervalMs)) return undefined
    const eventIntervalMs = intervalMs === UNKNOWN_INTERVAL ? undefined : intervalMs
    return { message: 'load_response', correlationId, report: { startId, online, batchRunning, reachable, eventIntervalMs } }
  }],
  ['u', ([startId, inProgress]) => typeof startId === 'string' && isCount(inProgress) ? { message: 'usage_report', startId, inProgress } : undefined],
  ['p', ([correlationId, accountName, code, wanted, configurationVersion, _unused, deniedUnasked = 0]) => {
    if (!isCount(correlationId) || typeof accountName !== 'string' || !isGranterCode(code) || !isCount(configurationVersion)) return undefined
    if (!isCount(wanted) || !isCount(deniedUnasked)) return undefined
    return { message: 'permit_request', correlationId, accountName, granter: GRANTERS[code], wanted, deniedUnasked, configurationVersion }
  }],
  ['g', ([correlationId, granted, retryAfterMs, configurationVersion, turnIntervalMs = 0, usedPerSecond = 0]) => {
    if (!isCount(correlationId) || !isCount(granted) || !isCountOfMs(retryAfterMs) || !isCount(configurationVersion)) return undefined
    if (!isCountOfMs(turnIntervalMs) || !isCount(usedPerSecond)) return undefined
    return { message: 'permit_response', correlationId, granted, retryAfterMs, turnIntervalMs, usedPerSecond, configurationVersion }
  }],
  ['r', ([accountName, code, count]) => {
    if (typeof accountName !== 'string' || !isGranterCode(code) || !isCount(count)) return undefined
    return { message: 'permit_refund', accountName, granter: GRANTERS[code], count }
  }],
  ['h', ([accountName, permits]) => typeof accountName === 'string' && isCount(permits) ? { message: 'meter_handover', accountName, permits } : undefined],
  ['o', ([requestId, service, softwareVersion]) => {
    if (typeof requestId !== 'string' || typeof service !== 'string' || typeof softwareVersion !== 'string') return undefined
    return { message: 'origin_record', requestId, service, softwareVersion }
  }],
  ['s', ([correlationId, requestId]) => isCount(correlationId) && typeof requestId === 'string' ? { message: 'origin_query', correlationId, requestId } : undefined],
  ['t', ([correlationId, service, softwareVersion]) => {
    if (!isCount(correlationId)) return undefined
    if (service === undefined) return { message: 'origin_response', correlationId, origin: undefined }
    if (typeof service !== 'string' || typeof softwareVersion !== 'string') return undefined
    return { message: 'origin_response', correlationId, origin: { service, softwareVersion } }
  }]
])

function isGranterCode (value: unknown): value is GranterCode {
  return value === 0 || value === 1
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

function isCountOfMs (value: unknown): value is number {
  return isCount(value) && value <= MAX_DURATION_MS
}

function parseList (bytes: Buffer): unknown[] | undefined {
  try {
    const value: unknown = JSON.parse(bytes.toString())
    return Array.isArray(value) ? value : undefined
  } catch {
    // The receiver logs the datagram.
    return undefined
  }
}
