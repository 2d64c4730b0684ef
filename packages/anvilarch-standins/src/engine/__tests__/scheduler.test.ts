import { createScheduler, currentLoad, finishStep, planStep, removeSequence, type SchedulerState, submitSequence } from '../scheduler'
import { DEFAULT_ENGINE_OPTIONS, type EngineSpeed, type SequenceSpec } from '../types'

const SPEED: EngineSpeed = { ...DEFAULT_ENGINE_OPTIONS, slots: 2, prefillChunkTokens: 100, blockTokens: 10, cacheTokens: 40 }

function sequence (id: string, changes: Partial<SequenceSpec> = {}): SequenceSpec {
  return { id, promptTokens: 10, blocks: [], producedTokens: 0, totalTokens: 2, ...changes }
}

/** Runs steps until the engine is idle. @returns the sequences that produced a token, per step */
function runAll (state: SchedulerState): string[][] {
  const produced: string[][] = []
  for (let step = planStep(state); step !== undefined; step = planStep(state)) {
    produced.push(finishStep(state, step).produced.map(({ id }) => id))
  }
  return produced
}

describe('planStep', () => {
  test('returns no step for an idle engine', () => {
    expect(planStep(createScheduler(SPEED))).toBeUndefined()
  })

  test('admits sequences in order of arrival up to the number of slots', () => {
    const state = createScheduler(SPEED)
    for (const id of ['a', 'b', 'c']) submitSequence(state, sequence(id))
    planStep(state)
    expect(currentLoad(state)).toMatchObject({ running: 2, waiting: 1 })
    expect([...state.waiting.keys()]).toEqual(['c'])
  })

  test('prefills a long prompt over several steps while other sequences continue', () => {
    const state = createScheduler(SPEED)
    submitSequence(state, sequence('short', { totalTokens: 3 }))
    submitSequence(state, sequence('long', { promptTokens: 250, totalTokens: 1 }))
    expect(runAll(state)).toEqual([['short'], ['short'], ['short', 'long']])
  })

  test('plans longer steps for more sequences, more context and more uncached prompt tokens', () => {
    const durationOf = (specs: SequenceSpec[]): number => {
      const state = createScheduler(SPEED)
      for (const spec of specs) submitSequence(state, spec)
      const first = planStep(state)
      if (first !== undefined) finishStep(state, first)
      return (first?.durationMs ?? 0) + (planStep(state)?.durationMs ?? 0)
    }
    const one = durationOf([sequence('a')])
    expect(durationOf([sequence('a'), sequence('b')])).toBeGreaterThan(one)
    expect(durationOf([sequence('a', { promptTokens: 90 })])).toBeGreaterThan(one)
  })
})

describe('finishStep', () => {
  test('produces one token for every running sequence and finishes sequences at their total', () => {
    const state = createScheduler(SPEED)
    submitSequence(state, sequence('a'))
    submitSequence(state, sequence('b', { producedTokens: 1 }))
    expect(runAll(state)).toEqual([['a', 'b'], ['a']])
    expect(currentLoad(state)).toMatchObject({ running: 0, waiting: 0 })
  })

  test('produces no token for a sequence that was removed during the step', () => {
    const state = createScheduler(SPEED)
    submitSequence(state, sequence('a'))
    const step = planStep(state)
    expect(removeSequence(state, 'a')).toBe(true)
    expect(step !== undefined && finishStep(state, step)).toEqual({ produced: [], finished: [] })
    expect(planStep(state)).toBeUndefined()
  })

  test('prefills only uncached tokens, and evicts the least recently used blocks', () => {
    const state = createScheduler(SPEED)
    const prefilled = (id: string, blocks: number[]): number => {
      submitSequence(state, sequence(id, { promptTokens: blocks.length * 10 + 5, blocks, totalTokens: 1 }))
      const step = planStep(state)
      if (step !== undefined) finishStep(state, step)
      return step?.prefills[0].tokens ?? 0
    }
    expect(prefilled('a', [1, 2])).toBe(25)
    expect(prefilled('b', [1, 2, 3])).toBe(15)
    expect(prefilled('c', [8, 9])).toBe(25)
    expect(prefilled('d', [1, 2, 3])).toBe(15)
  })
})
