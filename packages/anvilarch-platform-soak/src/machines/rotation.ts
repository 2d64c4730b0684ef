/** The platform's entry: assigns new connections to the gateways that are ready. */
import { type Clock, type Random, sleep } from 'anvilarch-utils'
import { PORTS } from '../deployment'
import type { Machine } from './fleet'

const POLL_MS = 1000

/** A gateway that misses this many polls in a row gets no new connections. */
const MISSES = 2

/** Gateways in rotation. */
export interface Rotation {
  /** @returns a gateway for a new connection, another one than `except` if there is one */
  pick: (random: Random, except?: Machine) => Machine
  isReady: (machine: Machine) => boolean
  close: () => void
}

/**
 * @param clock - paces the polls
 * @param gateways - all gateways
 * @returns the rotation, whose polls run until it is closed
 */
export function startRotation (clock: Clock, gateways: readonly Machine[]): Rotation {
  const misses = new Map<Machine, number>(gateways.map(gateway => [gateway, MISSES]))
  const closed = new AbortController()
  const inRotation = (gateway: Machine): boolean => (misses.get(gateway) ?? MISSES) < MISSES
  const poll = async (gateway: Machine): Promise<void> => {
    while (!closed.signal.aborted) {
      misses.set(gateway, await isReady(gateway) ? 0 : (misses.get(gateway) ?? 0) + 1)
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

async function isReady ({ ip }: Machine): Promise<boolean> {
  try {
    const response = await fetch(`http://${ip}:${PORTS.ready}/-/ready`, { signal: AbortSignal.timeout(POLL_MS) })
    await response.arrayBuffer()
    return response.status === 200
  } catch {
    // Not listening is an answer.
    return false
  }
}
