/** The platform's entry: assigns new connections to the gateways that are ready. */
import { type Clock, type Random, sleep } from 'anvilarch-utils'
import type { PlatformMachine } from './fleet'

const POLL_MS = 1000

/** A gateway that misses this many polls in a row gets no new connections. */
const MISSES = 2

/** Gateways in rotation. */
export interface Rotation {
  /** @returns a gateway for a new connection, another one than `except` if there is one */
  pick: (random: Random, except?: PlatformMachine) => PlatformMachine
  isReady: (machine: PlatformMachine) => boolean
  close: () => void
}

/** Options of `startRotation`. */
export interface RotationOptions {
  clock: Clock
  gateways: readonly PlatformMachine[]
  /** Port on which each gateway says whether it is ready. */
  readyPort: number
}

/** @returns the rotation, whose polls run until it is closed */
export function startRotation ({ clock, gateways, readyPort }: RotationOptions): Rotation {
  const misses = new Map<PlatformMachine, number>(gateways.map(gateway => [gateway, MISSES]))
  const closed = new AbortController()
  const inRotation = (gateway: PlatformMachine): boolean => (misses.get(gateway) ?? MISSES) < MISSES
  const poll = async (gateway: PlatformMachine): Promise<void> => {
    while (!closed.signal.aborted) {
      misses.set(gateway, await isReady(gateway, readyPort) ? 0 : (misses.get(gateway) ?? 0) + 1)
      await sleep(clock, POLL_MS, closed.signal)
    }
  }
  for (const gateway of gateways) poll(gateway).catch(() => misses.set(gateway, MISSES))
  return {
    pick: (random, except) => {
      const ready = gateways.filter(inRotation)
      const chosen = ready.length * 2 < gateways.length ? gateways : ready
      const others = chosen.filter(gateway => gateway !== except)
      return random.pick(others.length > 0 ? others : chosen)
    },
    isReady: inRotation,
    close: () => closed.abort()
  }
}

async function isReady ({ ip }: PlatformMachine, port: number): Promise<boolean> {
  try {
    const response = await fetch(`http://${ip}:${port}/-/ready`, { signal: AbortSignal.timeout(POLL_MS) })
    await response.arrayBuffer()
    return response.status === 200
  } catch {
    // Not listening is an answer.
    return false
  }
}
