import type { Faults } from 'anvilarch-standins'
import { createRandom, createSystemClock } from 'anvilarch-utils'
import { FAILING_ENGINE } from '../connectionFaults'
import type { FaultContext } from '../types'

/** A run with one engine, which is away for the first calls of each change. */
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
  // Guards against this: the soak ends without a verdict when a request has crashed the engine that is to be switched.
  test('is switched, and back, once it is up again', async () => {
    const { context, taken } = contextOf(2, Object.assign(new Error('connect'), { code: 'ECONNREFUSED' }))
    const injected = await FAILING_ENGINE.inject(context)
    await injected?.heal()
    expect(taken).toEqual([{ failShare: 0.5 }, { failShare: 0 }])
    expect(context.busy.size).toBe(0)
  })

  test('is not asked again after another error', async () => {
    await expect(FAILING_ENGINE.inject(contextOf(1, new Error('unknown switch')).context)).rejects.toThrow('unknown switch')
  })
})
