/** Platform ports of one process to a memory store, with injected network faults. */
import type { PlatformPorts } from 'anvilarch-protocol'
import { AnvilarchError, type Clock, type Random, sleep } from 'anvilarch-utils'
import type { MemoryStore } from './memoryStore'

/** Faults of one service. Changes apply from the next call on. */
export interface ServiceFaults {
  /** Calls fail at once, without effect. */
  outage: boolean
  /** Latency in each direction. */
  latencyMs: number
  /** Share of calls that take effect but whose reply is lost. */
  loseReplies: number
}

/** Faults of both services. */
export interface PlatformFaults {
  table: ServiceFaults
  objects: ServiceFaults
}

/** Delays the replies to a paused process, and drops those to a dead one. */
export interface ProcessGate {
  /** Resolves when the process is running; never if it is dead. */
  pass: () => Promise<void>
}

/** Options of `createFaultyPlatform`. */
export interface FaultyPlatformOptions {
  store: MemoryStore
  faults: PlatformFaults
  /** Clock of the network, which advances while a process is paused. */
  clock: Clock
  random: Random
  timeoutMs: number
  gate?: ProcessGate
}

/** @returns no faults */
export function noFaults (): PlatformFaults {
  return {
    table: { outage: false, latencyMs: 0, loseReplies: 0 },
    objects: { outage: false, latencyMs: 0, loseReplies: 0 }
  }
}

/**
 * @param options - store, faults and clock
 * @returns the platform ports
 */
export function createFaultyPlatform (options: FaultyPlatformOptions): PlatformPorts {
  const { store, clock, random, timeoutMs } = options

  const call = async <Value>(service: keyof PlatformFaults, step: string, effect: () => Value): Promise<Value> => {
    const faults = options.faults[service]
    try {
      if (faults.outage) throw unavailable(step, 'not_run')
      const { latencyMs } = faults
      if (latencyMs > 0) await sleep(clock, latencyMs)
      const value = effect()
      if (faults.loseReplies > 0 && random.next() < faults.loseReplies) {
        await sleep(clock, timeoutMs)
        throw unavailable(step, 'unknown')
      }
      if (latencyMs > 0) await sleep(clock, Math.min(latencyMs, timeoutMs))
      if (2 * latencyMs > timeoutMs) throw unavailable(step, 'unknown')
      return value
    } finally {
      await options.gate?.pass()
    }
  }

  return {
    table: {
      read: async keys => await call('table', 'read', () => store.read(keys)),
      scan: async (prefix, page) => await call('table', 'scan', () => store.scan(prefix, page)),
      commit: async commit => await call('table', 'commit', () => store.commit(commit))
    },
    objects: {
      putIfAbsent: async (name, body) => await call('objects', 'put', () => store.putIfAbsent(name, body)),
      get: async (name, range) => await call('objects', 'get', () => {
        store.counts.gets++
        const body = store.objects.get(name) ?? null
        return range === undefined || body === null ? body : body.slice(range.fromByte, range.toByte + 1)
      }),
      list: async (prefix, page) => await call('objects', 'list', () => store.list(prefix, page)),
      remove: async name => await call('objects', 'remove', () => { store.objects.delete(name) })
    },
    hosts: { list: async () => [] }
  }
}

function unavailable (step: string, ran: 'not_run' | 'unknown'): AnvilarchError {
  return new AnvilarchError('the platform is not there', { code: 'platform_unavailable', step: `platform.${step}`, ran, retryAfterMs: 1_000 })
}
