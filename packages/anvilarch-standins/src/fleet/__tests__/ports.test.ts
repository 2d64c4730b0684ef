import { createServer, type Server } from 'node:net'
import { allocatePorts } from '../ports'

// Guards against this: a fleet does not start, `EADDRINUSE`, when another one starts beside it.
const FIRST_GIVEN_AWAY = 32_768

/** Another fleet beside the test may take a port between the look at it and its use; it does not do so each time. */
const MAX_TRIES = 20

/** @returns the first of so many ports in a row that no process has; another fleet may run beside the test */
async function freeRun (count: number): Promise<number> {
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const [first] = await allocatePorts(1, 0)
    const isFree = await allocatePorts(count, first).then(() => true, () => false)
    if (isFree) return first
  }
  throw new Error(`no ${count} ports in a row were free in ${MAX_TRIES} places: end other fleets`)
}

/** @returns a server at the port; undefined when another process has been faster */
async function take (port: number): Promise<Server | undefined> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(undefined))
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}

/** @returns two ports that are found by a look that begins at a port that is taken, counted from that one */
async function portsAfterTakenOne (): Promise<number[]> {
  const port = await freeRun(3)
  const taken = await take(port)
  const draw = jest.spyOn(Math, 'random').mockReturnValue((port - 2_000 + 0.5) / 9_000)
  try {
    return (await allocatePorts(2, 0)).map(found => found - port)
  } finally {
    draw.mockRestore()
    await new Promise(resolve => taken === undefined ? resolve(undefined) : taken.close(resolve))
  }
}

describe('the ports of a fleet', () => {
  it('are different, and none that the system gives away by itself', async () => {
    const ports = await allocatePorts(60, 0)
    expect(new Set(ports).size).toBe(60)
    expect(Math.max(...ports)).toBeLessThan(FIRST_GIVEN_AWAY)
  })

  it('pass over one that is taken', async () => {
    let found: number[] = []
    for (let tries = 0; tries < MAX_TRIES && String(found) !== '1,2'; tries++) {
      found = await portsAfterTakenOne()
      expect(found).not.toContain(0)
    }
    expect(found).toEqual([1, 2])
  })

  it('follow the base that was asked for', async () => {
    let found: number[] | undefined
    let port = 0
    for (let tries = 0; tries < MAX_TRIES && found === undefined; tries++) {
      port = await freeRun(2)
      found = await allocatePorts(2, port).catch(() => undefined)
    }
    expect(found).toEqual([port, port + 1])
  })
})
