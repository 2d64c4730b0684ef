import { createServer } from 'node:net'
import { allocatePorts } from '../ports'

// Guards against this: a fleet does not start, `EADDRINUSE`, when another one starts beside it.
const FIRST_GIVEN_AWAY = 32_768

/** @returns the first of so many ports in a row that no process has; another fleet may run beside the test */
async function freeRun (count: number): Promise<number> {
  for (;;) {
    const [first] = await allocatePorts(1, 0)
    const isFree = await allocatePorts(count, first).then(() => true, () => false)
    if (isFree) return first
  }
}

describe('the ports of a fleet', () => {
  it('are different, and none that the system gives away by itself', async () => {
    const ports = await allocatePorts(60, 0)
    expect(new Set(ports).size).toBe(60)
    expect(Math.max(...ports)).toBeLessThan(FIRST_GIVEN_AWAY)
  })

  it('pass over one that is taken', async () => {
    const port = await freeRun(3)
    const taken = createServer()
    await new Promise<void>(resolve => { taken.listen(port, '127.0.0.1', resolve) })
    const draw = jest.spyOn(Math, 'random').mockReturnValue((port - 2_000) / 9_000)
    expect(await allocatePorts(2, 0)).toEqual([port + 1, port + 2])
    draw.mockRestore()
    await new Promise(resolve => taken.close(resolve))
  })

  it('follow the base that was asked for', async () => {
    const port = await freeRun(2)
    expect(await allocatePorts(2, port)).toEqual([port, port + 1])
  })
})
