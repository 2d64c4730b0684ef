import type { Execution } from 'anvilarch-standins'
import { yieldTimes } from '../batchYield'

const online = (startedAtMs: number, endedAtMs: number): Execution =>
  ({ executionId: '', requestId: 'online-1', attemptId: '', startedAtMs, endedAtMs, state: 'completed', endpoint: '', incarnation: '' })
const samples = (counts: number[]): Array<{ wallMs: number, sequences: number }> => counts.map((sequences, index) => ({ wallMs: index * 25, sequences }))

describe('yieldTimes', () => {
  test('measures from the start of the burst until the batch sequences have ended', () => {
    const seen = samples([30, 30, 30, 31, 11, 1, 1, 1])
    expect(yieldTimes([{ fromMs: 60, toMs: 200 }], seen, [online(70, 500)])).toEqual([65])
  })

  test('omits bursts during which batch work did not decrease', () => {
    expect(yieldTimes([{ fromMs: 60, toMs: 200 }], samples([30, 30, 30, 31, 31, 31]), [])).toEqual([])
  })

  test('omits bursts before which no batch work ran', () => {
    expect(yieldTimes([{ fromMs: 60, toMs: 200 }], samples([0, 0, 0, 0]), [])).toEqual([])
  })
})
