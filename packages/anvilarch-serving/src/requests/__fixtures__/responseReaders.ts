/** Reads responses of raw endpoints as the daemons do, and states what each reader takes a response for. */
import { createSystemClock } from 'anvilarch-utils'
import type { Pool } from '../../endpoints/httpPool'
import { createRelayClient } from '../../peers/relayServer'
import { readReport } from '../../roles/agentRole'
import type { EngineWire } from '../../roles/types'
import { runItem } from '../../runner/itemRun'
import { createDirectTransport } from '../../store/transport'
import { createByteBudget } from '../byteBudget'
import { startAttempt } from '../runAttempt'
import type { RequestWire } from '../types'

const clock = createSystemClock()

/** What a reader took the response for: a complete one, with its status or body, or none. */
export type Verdict = { whole: string } | { whole: undefined }

export type Read = (pool: Pool, address: string) => Promise<Verdict>

const WIRE = {
  decodeResponse: (headers: ReadonlyMap<string, string>) => ({ requestId: headers.get('request-id'), signed: headers.has('signature'), notRun: headers.has('not-run') })
} as unknown as RequestWire

export interface AttemptShape {
  method?: string
  streams?: boolean
  afterEventId?: number
  resumable?: boolean
  body?: Buffer
}

/** Reads a response as a gateway does. */
export function attempt ({ method = 'POST', streams = false, afterEventId, resumable = false, body = Buffer.from('text') }: AttemptShape): Read {
  return async pool => await new Promise(resolve => {
    startAttempt({
      pool,
      wire: WIRE,
      requestId: 'r1',
      request: { method, path: '/', headers: ['Host', 'h'], body: method === 'HEAD' ? undefined : body },
      streams,
      afterEventId,
      resumable,
      budget: createByteBudget(1024 * 1024),
      onHead: () => {},
      onEvent: () => {},
      onStreamEnd: () => resolve({ whole: 'events' }),
      onUnconfirmedEnd: response => resolve({ whole: `unconfirmed ${response === undefined ? 'events' : `${response.status} ${response.body.toString()}`}` }),
      onResponse: ({ status, body: received }) => resolve({ whole: `${status} ${received.toString()}` }),
      onFailure: (failure, reason) => resolve({ whole: failure === 'not_run' && ['full', 'too_many_calls'].includes(reason) ? 'refusal' : undefined })
    })
  })
}

/** Reads a response as the runner of batch items does. */
export const item = (body = Buffer.from('text')): Read => async pool => await new Promise(resolve => {
  runItem({
    clock,
    pool,
    requestWire: WIRE,
    engineWire: { encodeItem: () => ['Host', 'h'] } as unknown as EngineWire,
    item: { id: 'r1', path: '/', headers: {}, body, tokens: 1 },
    host: 'h',
    account: undefined,
    endpointId: 'e1',
    deadlineMs: 1000,
    startId: 'e1',
    text: { lastEventId: 0, eventData: [], softwareVersion: undefined },
    onEvent: () => {},
    onEnd: end => resolve({ whole: end.end === 'interrupted' ? undefined : end.end })
  })
})

/** Reads a report as an agent does. */
export const report: Read = async pool => {
  const wire = { reportPath: '/', decodeReport: (bytes: Buffer) => ({ running: bytes.length, waiting: 0, runs: [], bornAtMs: undefined }) } as EngineWire
  const read = await readReport(pool, wire, clock)
  return { whole: read === undefined ? undefined : `report of ${read.running} bytes` }
}

/** Reads a response of the store, directly or through a peer. */
export const storeCall = (relayed: boolean, body?: Buffer): Read => async (_pool, address) => {
  const direct = createDirectTransport(address, clock)
  const response = await (relayed ? createRelayClient(direct) : direct)({ name: 'read', method: body === undefined ? 'GET' : 'PUT', path: '/', headers: [], body, timeoutMs: 1000 })
  return { whole: response.outcome === 'answered' ? `${response.status} ${response.body.toString()}` : undefined }
}
