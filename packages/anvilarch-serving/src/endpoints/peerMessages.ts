/**
 * Datagrams between daemons: how busy the engine beside an agent is, and what gateways grant each other of the limits of
 * accounts. A lost one is made up for by a later one.
 */
import type { Granter } from '../accounts/limits/limitBounds'

/** A gateway asks an agent how busy its engine is. */
export interface LoadProbe {
  message: 'load_probe'
  /** Returned with the answer. */
  correlationId: number
}

/** An agent answers. */
export interface LoadResponse {
  message: 'load_response'
  correlationId: number
  /** Undefined while the agent does not know which start its engine is. */
  report: LoadReport | undefined
}

/** What an agent says of the engine beside it. */
export interface LoadReport {
  /** The start of the engine that the report is about; see `startIdOf`. */
  startId: string
  /** Requests that run or wait and do not give way. */
  online: number
  /** Batch items that run; they give way as soon as the agent hears of a request. */
  batchRunning: number
  /** False when the engine does not answer its agent. */
  reachable: boolean
}

/** A gateway tells an agent how many of its requests are in progress at the engine. */
export interface UsageReport {
  message: 'usage_report'
  startId: string
  inProgress: number
}

/** A gateway asks another one that keeps an account's meter. */
export interface PermitRequestMessage {
  message: 'permit_request'
  /** Returned with the answer. */
  correlationId: number
  accountName: string
  /** In which place the other gateway is asked. */
  granter: Exclude<Granter, 'self'>
  /** Requests that would start. */
  wanted: number
  /** Version in force at the asking gateway. */
  configurationVersion: number
}

/** The gateway that keeps the meter answers. */
export interface PermitResponseMessage {
  message: 'permit_response'
  correlationId: number
  granted: number
  /** When there is room for one that was not granted; 0 when all were. */
  retryAfterMs: number
  /** Version in force at the answering gateway. */
  configurationVersion: number
}

/** Requests that were granted and have not run. */
export interface PermitRefundMessage {
  message: 'permit_refund'
  accountName: string
  granter: Exclude<Granter, 'self'>
  count: number
}

/** Any of them. */
export type PeerMessage = LoadProbe | LoadResponse | UsageReport | PermitRequestMessage | PermitResponseMessage | PermitRefundMessage

/** On the wire a message is a list, its kind first: names would be two thirds of its bytes. */
type WireMessage =
  | ['q', number]
  | ['a', number]
  | ['a', number, string, number, number, boolean]
  | ['u', string, number]
  | ['p', number, string, GranterCode, number, number]
  | ['g', number, number, number, number]
  | ['r', string, GranterCode, number]

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
      const { correlationId: number, report } = message
      return report === undefined ? ['a', number] : ['a', number, report.startId, report.online, report.batchRunning, report.reachable]
    }
    case 'usage_report':
      return ['u', message.startId, message.inProgress]
    case 'permit_request':
      return ['p', message.correlationId, message.accountName, GRANTER_CODES[message.granter], message.wanted, message.configurationVersion]
    case 'permit_response':
      return ['g', message.correlationId, message.granted, message.retryAfterMs, message.configurationVersion]
    case 'permit_refund':
      return ['r', message.accountName, GRANTER_CODES[message.granter], message.count]
  }
}

/**
 * @param bytes - of a datagram
 * @returns the message; undefined when the bytes are none
 */
export function decodePeerMessage (bytes: Buffer): PeerMessage | undefined {
  const list = parseList(bytes)
  const [kind, ...fields] = list ?? []
  const decode = typeof kind === 'string' ? DECODERS.get(kind) : undefined
  return decode?.(fields)
}

type Decoder = (fields: readonly unknown[]) => PeerMessage | undefined

const DECODERS: ReadonlyMap<string, Decoder> = new Map<string, Decoder>([
  ['q', ([number]) => isCount(number) ? { message: 'load_probe', correlationId: number } : undefined],
  ['a', ([number, startId, online, batchRunning, reachable]) => {
    if (!isCount(number)) return undefined
    if (startId === undefined) return { message: 'load_response', correlationId: number, report: undefined }
    if (typeof startId !== 'string' || !isCount(online) || !isCount(batchRunning) || typeof reachable !== 'boolean') return undefined
    return { message: 'load_response', correlationId: number, report: { startId, online, batchRunning, reachable } }
  }],
  ['u', ([startId, inProgress]) => typeof startId === 'string' && isCount(inProgress) ? { message: 'usage_report', startId, inProgress } : undefined],
  ['p', ([number, accountName, code, wanted, configurationVersion]) => {
    if (!isCount(number) || typeof accountName !== 'string' || !isGranterCode(code) || !isCount(wanted) || !isCount(configurationVersion)) return undefined
    return { message: 'permit_request', correlationId: number, accountName, granter: GRANTERS[code], wanted, configurationVersion }
  }],
  ['g', ([number, granted, retryAfterMs, configurationVersion]) => {
    if (!isCount(number) || !isCount(granted) || !isCount(retryAfterMs) || !isCount(configurationVersion)) return undefined
    return { message: 'permit_response', correlationId: number, granted, retryAfterMs, configurationVersion }
  }],
  ['r', ([accountName, code, count]) => {
    if (typeof accountName !== 'string' || !isGranterCode(code) || !isCount(count)) return undefined
    return { message: 'permit_refund', accountName, granter: GRANTERS[code], count }
  }]
])

function isGranterCode (value: unknown): value is GranterCode {
  return value === 0 || value === 1
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

function parseList (bytes: Buffer): unknown[] | undefined {
  try {
    const value: unknown = JSON.parse(bytes.toString())
    return Array.isArray(value) ? value : undefined
  } catch {
    // Whoever receives the datagram counts and logs it.
    return undefined
  }
}
