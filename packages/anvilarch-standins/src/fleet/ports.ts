/** Allocates free ports for the processes of the fleet. */
import { createServer, type Server } from 'node:net'
import type { AddressInfo } from 'node:net'

/** IP address on which all processes of the fleet listen. */
export const FLEET_HOST = '127.0.0.1'

/**
 * Range of ports that a process gets only on explicit request. The operating system assigns higher (ephemeral) ports to outgoing
 * connections and to processes that bind port 0: such a port could be taken between its allocation and the start of the process
 * that is to listen on it.
 */
const FIRST_PORT = 2_000
const PORT_COUNT = 9_000

/**
 * Finds free ports. All of them are bound at the same time, so that no two are the same, and released together.
 *
 * @param count - number of ports
 * @param basePort - first of consecutive ports, or 0 for any free ones
 * @returns the ports
 * @throws Error when a port of the consecutive range is in use, or when too few ports are free
 */
export async function allocatePorts (count: number, basePort: number): Promise<number[]> {
  const servers: Server[] = []
  try {
    if (basePort === 0) await bindFreePorts(count, servers)
    else for (let index = 0; index < count; index++) servers.push(await bind(basePort + index))
    return servers.map(server => (server.address() as AddressInfo).port)
  } finally {
    await Promise.all(servers.map(async server => { await new Promise(resolve => { server.close(resolve) }) }))
  }
}

/** Binds free ports, starting at a random one, so that two fleets that start at the same time try different ports. */
async function bindFreePorts (count: number, servers: Server[]): Promise<void> {
  const offset = Math.floor(Math.random() * PORT_COUNT)
  for (let attempt = 0; attempt < PORT_COUNT && servers.length < count; attempt++) {
    const port = FIRST_PORT + (offset + attempt) % PORT_COUNT
    try {
      servers.push(await bind(port))
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw error
    }
  }
  if (servers.length < count) throw new Error(`found only ${servers.length} of ${count} free ports from ${FIRST_PORT} on`)
}

async function bind (port: number): Promise<Server> {
  const server = createServer()
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, FLEET_HOST, () => { resolve() })
  })
  return server
}
