/** Loopback addresses of machines. Each machine has its own, so that all can use the same ports. */
import { createServer } from 'node:net'
import type { Random } from 'anvilarch-utils'

const LAST_HOST = 254

/**
 * @param random - not seeded by the run, so that runs beside each other use different networks
 * @param ports - ports that each machine uses
 * @returns a function that returns an address on which all these ports are free
 */
export function createLoopbackAddresses (random: Random, ports: readonly number[]): () => Promise<string> {
  const network = `127.${random.between(20, 220)}.${random.between(1, 250)}`
  let host = 0
  return async () => {
    while (host < LAST_HOST) {
      host++
      const ip = `${network}.${host}`
      const free = await Promise.all(ports.map(async port => await isFree(ip, port)))
      if (free.every(Boolean)) return ip
    }
    throw new Error(`no free address in ${network}.0/24: play fewer machines`)
  }
}

async function isFree (ip: string, port: number): Promise<boolean> {
  return await new Promise(resolve => {
    const probe = createServer()
    probe.once('error', () => resolve(false))
    probe.listen(port, ip, () => probe.close(() => resolve(true)))
  })
}
