/** Datagrams between gateways and agents: how busy the engine beside an agent is. A lost one is made up for by a later one. */
/** A gateway asks an agent how busy its engine is. */
export interface LoadQuestion {
  message: 'load_question'
  /** Returned with the answer. */
  number: number
}

/** An agent answers. */
export interface LoadAnswer {
  message: 'load_answer'
  number: number
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
export interface UseNotice {
  message: 'use'
  startId: string
  inProgress: number
}

/** Any of them. */
export type PeerMessage = LoadQuestion | LoadAnswer | UseNotice

/** On the wire a message is a list, its kind first: names would be two thirds of its bytes. */
type WireMessage =
  | ['q', number]
  | ['a', number]
  | ['a', number, string, number, number, boolean]
  | ['u', string, number]

/** @returns the bytes of a message */
export function encodePeerMessage (message: PeerMessage): string {
  return JSON.stringify(toWire(message))
}

function toWire (message: PeerMessage): WireMessage {
  switch (message.message) {
    case 'load_question':
      return ['q', message.number]
    case 'load_answer': {
      const { number, report } = message
      return report === undefined ? ['a', number] : ['a', number, report.startId, report.online, report.batchRunning, report.reachable]
    }
    case 'use':
      return ['u', message.startId, message.inProgress]
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
  ['q', ([number]) => isCount(number) ? { message: 'load_question', number } : undefined],
  ['a', ([number, startId, online, batchRunning, reachable]) => {
    if (!isCount(number)) return undefined
    if (startId === undefined) return { message: 'load_answer', number, report: undefined }
    if (typeof startId !== 'string' || !isCount(online) || !isCount(batchRunning) || typeof reachable !== 'boolean') return undefined
    return { message: 'load_answer', number, report: { startId, online, batchRunning, reachable } }
  }],
  ['u', ([startId, inProgress]) => typeof startId === 'string' && isCount(inProgress) ? { message: 'use', startId, inProgress } : undefined]
])

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
