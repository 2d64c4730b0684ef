/** The reports that an engine publishes: its load with a lag, and cache events with a lag and with gaps. */
import type { Random } from 'anvilarch-utils'
import type { CacheChange } from './prefixCache'
import type { CacheEvent, EngineLoad } from './types'

/** The reports of one engine. */
export interface EngineReports {
  recordLoad: (nowMs: number, load: EngineLoad) => void
  /** @returns the load as it was `lagMs` ago */
  loadAsOf: (nowMs: number, lagMs: number) => EngineLoad
  recordCacheChanges: (nowMs: number, changes: CacheChange[]) => void
  /** @returns events after a sequence number that are at least `lagMs` old; a missing sequence number is a lost event */
  cacheEvents: (nowMs: number, lagMs: number, after: number) => { events: CacheEvent[], latest: number }
}

const IDLE_LOAD: EngineLoad = { running: 0, waiting: 0, cachedTokens: 0 }
const MAX_SAMPLES = 4096
const MAX_EVENTS = 10_000
const MAX_EVENTS_PER_RESPONSE = 1000

/**
 * @param random - selects the events that are lost
 * @param gapShare - share of events that are never published
 * @returns empty reports
 */
export function createEngineReports (random: Random, gapShare: number): EngineReports {
  const samples: Array<{ atMs: number, load: EngineLoad }> = []
  const events: Array<{ atMs: number, event: CacheEvent }> = []
  let sequence = 0
  return {
    recordLoad: (nowMs, load) => {
      samples.push({ atMs: nowMs, load })
      if (samples.length > MAX_SAMPLES) samples.splice(0, MAX_SAMPLES / 2)
    },
    loadAsOf: (nowMs, lagMs) => samples.findLast(({ atMs }) => atMs <= nowMs - lagMs)?.load ?? IDLE_LOAD,
    recordCacheChanges: (nowMs, changes) => {
      for (const change of changes) {
        sequence++
        if (random.next() >= gapShare) events.push({ atMs: nowMs, event: { sequence, ...change } })
      }
      if (events.length > MAX_EVENTS) events.splice(0, events.length - MAX_EVENTS)
    },
    cacheEvents: (nowMs, lagMs, after) => {
      const published = events.filter(({ atMs }) => atMs <= nowMs - lagMs)
      const latest = published[published.length - 1]?.event.sequence ?? 0
      const requested = published.filter(({ event }) => event.sequence > after)
      return { events: requested.slice(0, MAX_EVENTS_PER_RESPONSE).map(({ event }) => event), latest }
    }
  }
}
