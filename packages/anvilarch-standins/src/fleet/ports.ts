/** Free ports for the processes of the fleet. */
import { createServer, type Server } from 'node:net'
import type { AddressInfo } from 'node:net'

/** IP number that everything in the fleet listens on. */
export const FLEET_HOST = '127.0.0.1'

/**
 * Ports that no process is given unless it asks for them. The system gives those above to outgoing connections and to whoever
 * takes any port: such a port may be taken again between the look and the start of the process that is to listen on it.
 */
const FIRST_PORT = 2_000
const PORT_COUNT = 9_000

/**
 * Finds ports by binding them all at once, so that no two are the same, and setting them free together.
 *
 * @param count - how many
 * @param basePort - first of consecutive ports, or 0 for any free ones
 * @returns the ports
 * @throws Error when a port of the given base is taken, or when too few are free
 */
export async function allocatePorts (count: number, basePort: number): Promise<number[]> {
  const servers: Server[] = []
  try {
    if (basePort === 0) await bindAny(count, servers)
    else for (let index = 0; index < count; index++) servers.push(await bind(basePort + index))
    return servers.map(server => (server.address() as AddressInfo).port)
  } finally {
    await Promise.all(servers.map(async server => { await new Promise(resolve => { server.close(resolve) }) }))
  }
}

/** Begins anywhere, so that two fleets that start together look at different ports. */
async function bindAny (count: number, servers: Server[]): Promise<void> {
  const offset = Math.floor(Math.random() * PORT_COUNT)
  for (let tries = 0; tries < PORT_COUNT && servers.length < count; tries++) {
    const port = FIRST_PORT + (offset + tries) % PORT_COUNT
    try {
      servers.push(await bind(port))
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw error
    }
  }
  if (servers.length < count) throw new Error(`only ${servers.length} of ${count} ports from ${FIRST_PORT} on are free`)
}

async function bind (port: number): Promise<Server> {
  const server = createServer()
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, FLEET_HOST, () => { resolve() })
  })
  return server
}
