import { createServer, type Server } from 'node:net'
import { allocatePorts } from '../ports'

// Guards against a fleet that fails to start with `EADDRINUSE` when another one starts at the same time. The operating system
// assigns ports from this one on by itself.
const FIRST_EPHEMERAL_PORT = 32_768

/** Attempts per test: another fleet that runs beside the test may take a port between its allocation and its use, but not every time. */
const MAX_ATTEMPTS = 20

/** @returns the first of `count` consecutive free ports; another fleet may run beside the test */
async function findConsecutivePorts (count: number): Promise<number> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const [first] = await allocatePorts(1, 0)
    const isFree = await allocatePorts(count, first).then(() => true, () => false)
    if (isFree) return first
  }
  throw new Error(`found no ${count} consecutive free ports in ${MAX_ATTEMPTS} attempts: stop other fleets`)
}

/** @returns a server that listens on the port; undefined when another process has taken the port */
async function listenOn (port: number): Promise<Server | undefined> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(undefined))
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}

/** @returns the offsets of two allocated ports from a port that is in use, when the allocation starts at that port */
async function offsetsFromUsedPort (): Promise<number[]> {
  const port = await findConsecutivePorts(3)
  const occupant = await listenOn(port)
  const randomSpy = jest.spyOn(Math, 'random').mockReturnValue((port - 2_000 + 0.5) / 9_000)
  try {
    return (await allocatePorts(2, 0)).map(found => found - port)
  } finally {
    randomSpy.mockRestore()
    await new Promise(resolve => occupant === undefined ? resolve(undefined) : occupant.close(resolve))
  }
}

describe('allocatePorts', () => {
  it('returns distinct ports below the ephemeral range of the operating system', async () => {
    const ports = await allocatePorts(60, 0)
    expect(new Set(ports).size).toBe(60)
    expect(Math.max(...ports)).toBeLessThan(FIRST_EPHEMERAL_PORT)
  })

  it('skips a port that is in use', async () => {
    let found: number[] = []
    for (let attempt = 0; attempt < MAX_ATTEMPTS && String(found) !== '1,2'; attempt++) {
      found = await offsetsFromUsedPort()
      expect(found).not.toContain(0)
    }
    expect(found).toEqual([1, 2])
  })

  it('returns consecutive ports from a given base port', async () => {
    let found: number[] | undefined
    let port = 0
    for (let attempt = 0; attempt < MAX_ATTEMPTS && found === undefined; attempt++) {
      port = await findConsecutivePorts(2)
      found = await allocatePorts(2, port).catch(() => undefined)
    }
    expect(found).toEqual([port, port + 1])
  })
})
