import type { Faults } from 'anvilarch-standins'
import { createRandom, createSystemClock } from 'anvilarch-utils'
import { FAILING_ENGINE } from '../connectionFaults'
import type { FaultContext } from '../types'

/** A run with one engine, which fails the first calls of each change with the given error. */
function createContext (failures: number, error: Error): { context: FaultContext, applied: Array<Partial<Faults>> } {
  const taken: Array<Partial<Faults>> = []
  let remainingFailures = failures
  const engine = { spec: { name: 'engine-1', role: 'engine' }, processId: 1 }
  const fleet = {
    processes: (role: string) => role === 'engine' ? [engine] : [],
    get: () => engine,
    setFaults: async (_name: string, changes: Partial<Faults>) => {
      if (remainingFailures-- > 0) throw error
      taken.push(changes)
      remainingFailures = failures
    }
  }
  const context = { fleet, clock: createSystemClock(), random: createRandom(1), claimed: new Set<string>() }
  return { context: context as unknown as FaultContext, applied: taken }
}

describe('an engine that fails a share of its requests', () => {
  // Guards against a soak that ends without a report because a request has crashed the engine whose faults are to be set.
  test('gets its faults set, and reset, once it has restarted', async () => {
    const { context, applied: taken } = createContext(2, Object.assign(new Error('connect'), { code: 'ECONNREFUSED' }))
    const injected = await FAILING_ENGINE.inject(context)
    await injected?.heal()
    expect(taken).toEqual([{ failShare: 0.5 }, { failShare: 0 }])
    expect(context.claimed.size).toBe(0)
  })

  test('gets no second request after another error', async () => {
    await expect(FAILING_ENGINE.inject(createContext(1, new Error('unknown switch')).context)).rejects.toThrow('unknown switch')
  })
})
