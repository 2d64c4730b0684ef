/** Fetches the events of a time line from every daemon. */
import type { TimelineEvent } from 'anvilarch-protocol'
import { type Dispatcher, request } from 'undici'
import type { StatusResponse } from '../gateway/types'
import { mergeEvents } from './mergeEvents'

/** Largest number of concurrent requests; a fleet has hundreds of daemons. */
const MAX_PARALLEL = 32
const TIMEOUT_MS = 5000

/** A daemon and the address of its operations server. */
export interface TimelineSource {
  process: string
  operationsAddress: string
}

/** Events of all daemons that responded. */
export interface CollectedEvents {
  events: TimelineEvent[]
  /** Daemons whose events could not be fetched, each with the reason. */
  missing: Array<TimelineSource & { reason: string }>
}

/**
 * @param status - the daemons, as reported by a gateway
 * @returns the daemons that have an operations server
 */
export function timelineSources (status: StatusResponse): TimelineSource[] {
  const gateways = status.gateways.map(({ instance, operationsAddress }) => ({ process: instance, operationsAddress }))
  const agents = status.agents.map(({ name, operationsAddress }) => ({ process: name, operationsAddress }))
  return [...gateways, ...agents].filter(({ operationsAddress }) => operationsAddress !== '')
}

/**
 * @param sources - daemons to request from
 * @param filter - one request or one job
 * @param dispatcher - HTTP connections; by default those of the process
 * @returns the events in order, and the daemons that failed
 */
export async function collectEvents (
  sources: TimelineSource[], filter: { request?: string, job?: string }, dispatcher?: Dispatcher
): Promise<CollectedEvents> {
  const query = new URLSearchParams(Object.entries(filter).filter((entry): entry is [string, string] => entry[1] !== undefined))
  const lists: TimelineEvent[][] = []
  const missing: CollectedEvents['missing'] = []
  const pending = [...sources]
  const worker = async (): Promise<void> => {
    for (let source = pending.shift(); source !== undefined; source = pending.shift()) {
      try {
        lists.push(await fetchEvents(source, query, dispatcher))
      } catch (error) {
        missing.push({ ...source, reason: error instanceof Error ? error.message : String(error) })
      }
    }
  }
  await Promise.all(Array.from({ length: Math.min(MAX_PARALLEL, sources.length) }, worker))
  return { events: mergeEvents(lists), missing }
}

async function fetchEvents (source: TimelineSource, query: URLSearchParams, dispatcher?: Dispatcher): Promise<TimelineEvent[]> {
  const url = `http://${source.operationsAddress}/timeline?${query.toString()}`
  const response = await request(url, { dispatcher, signal: AbortSignal.timeout(TIMEOUT_MS) })
  if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}: ${await response.body.text()}`)
  const body = await response.body.json() as { events: TimelineEvent[] }
  return body.events
}
