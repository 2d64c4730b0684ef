/** Calls of endpoints as an agent makes them, until they end. */
import { createSystemClock } from 'anvilarch-utils'
import type { EndpointConnections } from '../endpoints/connections'
import { openEngineConnection } from '../endpoints/engineConnection'
import { startPlainRun } from '../endpoints/plainRun'

/** Runs a call until it ends. @returns its outcome */
export type Run = (connections: EndpointConnections) => Promise<string>

const clock = createSystemClock()

/** A call of a plain service. */
export const plain = (method: string, idempotent: boolean, body: Uint8Array = new Uint8Array(0)): Run => async connections => {
  const deps = { connections, clock, basePath: '', idleTimeoutMs: 10_000, onUnreachable: () => {}, checkProcess: async () => 'alive' as const }
  const call = { method, path: '/names/a', headers: {}, body }
  const run = startPlainRun(deps, { requestId: 'r', attemptId: 'a', workClass: 'lookup', idempotent, outputMode: 'raw', call }, {
    onHead: () => {}, onOutput: () => true, onToken: () => {}, onResumed: () => {}
  })
  return (await run.done).outcome
}

/** A call of a model engine. */
export const engine = (isResume: boolean, body: Buffer = Buffer.from('{}')): Run => async connections => {
  const call = { method: 'POST', path: '/v1/completions', headers: {}, body }
  const { end } = openEngineConnection({ dispatcher: connections.pool('online'), clock, call, isResume, acceptsNonStream: true }, {
    onStream: () => {}, onEvent: () => {}, onNonStreamHead: () => {}, onNonStreamData: () => {}
  })
  return (await end).kind
}

/** Outcomes of calls whose response is complete. */
export const COMPLETE_OUTCOMES: ReadonlySet<string> = new Set(['completed', 'finished', 'responded'])
