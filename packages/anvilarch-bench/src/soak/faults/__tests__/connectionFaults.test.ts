import type { Faults } from 'anvilarch-standins'
import { createRandom, createSystemClock } from 'anvilarch-utils'
import { FAILING_ENGINE } from '../connectionFaults'
import type { FaultContext } from '../types'

/** A run with one engine, which fails the first calls of each change with the given error. */
function contextOf (refusals: number, error: Error): { context: FaultContext, taken: Array<Partial<Faults>> } {
  const taken: Array<Partial<Faults>> = []
  let left = refusals
  const engine = { spec: { name: 'engine-1', role: 'engine' }, processId: 1 }
  const fleet = {
    processes: (role: string) => role === 'engine' ? [engine] : [],
    get: () => engine,
    setFaults: async (_name: string, changes: Partial<Faults>) => {
      if (left-- > 0) throw error
      taken.push(changes)
      left = refusals
    }
  }
  const context = { fleet, clock: createSystemClock(), random: createRandom(1), busy: new Set<string>() }
  return { context: context as unknown as FaultContext, taken }
}

describe('an engine that fails a share of its requests', () => {
  // Guards against a soak that ends without a report because a request has crashed the engine whose faults are to be set.
  test('gets its faults set, and reset, once it has restarted', async () => {
    const { context, taken } = contextOf(2, Object.assign(new Error('connect'), { code: 'ECONNREFUSED' }))
    const injected = await FAILING_ENGINE.inject(context)
    await injected?.heal()
    expect(taken).toEqual([{ failShare: 0.5 }, { failShare: 0 }])
    expect(context.busy.size).toBe(0)
  })

  test('gets no second request after another error', async () => {
    await expect(FAILING_ENGINE.inject(contextOf(1, new Error('unknown switch')).context)).rejects.toThrow('unknown switch')
  })
})
