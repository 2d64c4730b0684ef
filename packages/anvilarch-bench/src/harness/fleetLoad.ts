/** Load on a fleet: connections to its gateways, prompts, and the figures of an open-loop run. */
import type { Clock, Random } from 'anvilarch-utils'
import { expectedText } from 'anvilarch-standins'
import { Agent } from 'undici'
import type { RequestResult } from '../clients/requestResult'
import { type ChatRequest, sendChat } from '../clients/chatClient'
import { sendLookup } from '../clients/lookupClient'
import type { Collector } from '../load/collector'
import { type OpenLoopResult, runOpenLoop, type ScheduledRequest } from '../load/openLoop'
import type { LatencyRecorder } from '../statistics/latencyRecorder'
import type { Figures, RunContext } from './types'

/** Clients of a fleet, or of an endpoint without gateways. */
export interface Callers {
  chat: (request: Omit<ChatRequest, 'model'>, signal?: AbortSignal) => Promise<RequestResult>
  lookup: (requestId: string, signal?: AbortSignal) => Promise<RequestResult>
  close: () => Promise<void>
}

/** Options of `createCallers`. */
export interface CallersOptions {
  clock: Clock
  /** Addresses that receive requests in turn, as from a load balancer. */
  origins: readonly string[]
  model: string
  /** Prefix of the path of lookups: `/services/<service>` at a gateway, empty at an endpoint. */
  lookupPrefix: string
}

/** Connections to one address; so many that no request waits for one. */
const MAX_CONNECTIONS = 2000
/** Longer than any request of an experiment takes, so that a request that hangs is reported. */
const BODY_TIMEOUT_MS = 60_000

/**
 * @param options - addresses and names
 * @returns clients that send to the addresses in turn
 */
export function createCallers (options: CallersOptions): Callers {
  const { clock, origins } = options
  const dispatcher = new Agent({ connections: MAX_CONNECTIONS, pipelining: 1, headersTimeout: BODY_TIMEOUT_MS, bodyTimeout: BODY_TIMEOUT_MS })
  let requestCount = 0
  const nextOrigin = (): string => origins[requestCount++ % origins.length]
  return {
    chat: (request, signal) => sendChat(nextOrigin(), { ...request, model: options.model }, { clock, dispatcher, expectedText, signal }),
    lookup: (requestId, signal) => {
      const endpointPath = `/names/${requestId}`
      return sendLookup(nextOrigin(), { requestId, path: options.lookupPrefix + endpointPath, endpointPath }, { clock, dispatcher, signal })
    },
    close: async () => { await dispatcher.destroy() }
  }
}

/** Words of prompts. Only the length and the shared prefixes of prompts matter. */
const PROMPT_WORDS = ['transfer', 'renewal', 'registrant', 'storefront', 'dispute', 'listing', 'market', 'review', 'hold', 'name']

/**
 * @param random - chooses the words
 * @param characters - length of the text
 * @param start - prefix of the text, for prompts that share one
 * @returns a prompt
 */
export function promptText (random: Random, characters: number, start = ''): string {
  let text = start
  while (text.length < characters) text += ` ${random.pick(PROMPT_WORDS)}${random.between(0, 99999)}`
  return text.slice(0, Math.max(characters, start.length))
}

/** Requests to be sent by `runLoad`. */
export interface LoadOptions {
  timesMs: number[]
  send: (request: ScheduledRequest) => Promise<RequestResult>
  collector: Collector
  drainMs?: number
  signal?: AbortSignal
}

const DEFAULT_DRAIN_MS = 15_000

/**
 * @param context - of the run
 * @param options - send times, what to send and the collector of results
 * @returns counts of the loop
 */
export async function runLoad (context: RunContext, options: LoadOptions): Promise<OpenLoopResult> {
  return await runOpenLoop({
    clock: context.clock,
    timesMs: options.timesMs,
    warmUpMs: context.warmUpMs,
    drainMs: options.drainMs ?? DEFAULT_DRAIN_MS,
    signal: options.signal,
    send: async request => { options.collector.add(request, await options.send(request)) }
  })
}

/**
 * @param name - prefix of the names of the figures
 * @param recorder - distribution
 * @returns its percentiles as figures
 */
export function latencyFigures (name: string, recorder: LatencyRecorder): Figures {
  if (recorder.count() === 0) return {}
  const summary = recorder.summary()
  return {
    [`${name}P50Ms`]: summary.p50Ms,
    [`${name}P95Ms`]: summary.p95Ms,
    [`${name}P99Ms`]: summary.p99Ms,
    [`${name}P999Ms`]: summary.p999Ms,
    [`${name}Count`]: summary.count
  }
}

/**
 * @param name - of the class of work
 * @param collector - its results
 * @param loop - counts of the loop
 * @returns notes about all requests that were not completed, and about sends that the bench delayed
 */
export function loadNotes (name: string, collector: Collector, loop: OpenLoopResult): string[] {
  const { completed, ...others } = collector.outcomes
  const otherOutcomes = Object.entries(others).filter(([, count]) => count > 0).map(([outcome, count]) => `${count} ${outcome}`)
  const notes: string[] = []
  if (otherOutcomes.length > 0) notes.push(`${name}: ${completed} completed, ${otherOutcomes.join(', ')}; codes ${JSON.stringify(collector.codes)}`)
  notes.push(...collector.examples.map(example => `${name}: ${example}`))
  if (loop.unfinished > 0) notes.push(`${name}: ${loop.unfinished} had not ended when the run was over`)
  if (loop.clientErrors > 0) notes.push(`${name}: ${loop.clientErrors} errors of the bench itself`)
  if (loop.maxSendDelayMs > SLOW_SEND_MS) notes.push(`${name}: the bench sent up to ${loop.maxSendDelayMs.toFixed(0)} ms late, ${(loop.sumSendDelayMs / loop.sent).toFixed(2)} ms in the mean`)
  return notes
}

/** A larger delay of a send is reported in a note; latencies include the delay in any case. */
const SLOW_SEND_MS = 50
