import { createRandom } from 'anvilarch-utils'
import { createFaultSchedule } from '../faultSchedule'
import { FAULT_NAMES } from '../faultTable'

describe('createFaultSchedule', () => {
  test('returns every kind once before any repeats', () => {
    const schedule = createFaultSchedule(FAULT_NAMES, createRandom(7))
    const kinds = FAULT_NAMES.map(() => schedule.next()[0])
    expect(new Set(kinds)).toEqual(new Set(FAULT_NAMES))
  })

  test('returns pairs of different kinds, and the same sequence for the same seed', () => {
    const readRounds = (): string[][] => {
      const schedule = createFaultSchedule(FAULT_NAMES, createRandom(3))
      return Array.from({ length: 100 }, () => schedule.next())
    }
    const rounds = readRounds()
    const pairs = rounds.filter(round => round.length === 2)
    expect(pairs.length).toBe(50)
    expect(pairs.every(([first, second]) => first !== second)).toBe(true)
    expect(readRounds()).toEqual(rounds)
  })

  test('returns a single kind alone', () => {
    const schedule = createFaultSchedule(['kill_agent'], createRandom(1))
    expect([schedule.next(), schedule.next()]).toEqual([['kill_agent'], ['kill_agent']])
  })
})
