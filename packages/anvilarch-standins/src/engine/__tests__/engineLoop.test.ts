import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import { createEngineLoop, type EngineLoop } from '../engineLoop'
import { DEFAULT_ENGINE_OPTIONS, type SequenceSpec } from '../types'

const SPEED = { ...DEFAULT_ENGINE_OPTIONS, baseStepMs: 10, perSequenceMs: 0, perThousandContextTokensMs: 0, prefillPerTokenMs: 0 }
const SPEC: SequenceSpec = { id: 'a', promptTokens: 10, blocks: [], producedTokens: 0, totalTokens: 5 }

describe('createEngineLoop', () => {
  let clock: FakeClock
  let loop: EngineLoop
  let tokenTimes: number[]

  beforeEach(() => {
    clock = createFakeClock()
    tokenTimes = []
    loop = createEngineLoop({ clock, speed: SPEED, onStep: result => { if (result.produced.length > 0) tokenTimes.push(clock.nowMs()) } })
  })

  test('produces one token per step and has no timer when it is idle', () => {
    loop.submit(SPEC)
    clock.advance(1000)
    expect(tokenTimes).toEqual([10, 20, 30, 40, 50])
    expect(clock.pendingCount()).toBe(0)
  })

  test('uses a single timer for several sequences', () => {
    for (const id of ['a', 'b', 'c']) loop.submit({ ...SPEC, id })
    clock.advance(15)
    expect(clock.pendingCount()).toBe(1)
    expect(loop.load()).toMatchObject({ running: 3 })
  })

  test('pauses while it is frozen and continues afterwards', () => {
    loop.submit(SPEC)
    clock.advance(20)
    loop.setFrozen(true)
    clock.advance(500)
    loop.setFrozen(false)
    clock.advance(20)
    expect(tokenTimes).toEqual([10, 20, 530, 540])
  })
})
