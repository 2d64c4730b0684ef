import { createRandom } from 'anvilarch-utils'
import { createFaultDeck } from '../faultDeck'
import { FAULT_NAMES } from '../faultTable'

describe('createFaultDeck', () => {
  test('returns every kind once before any repeats', () => {
    const deck = createFaultDeck(FAULT_NAMES, createRandom(7))
    const drawn = FAULT_NAMES.map(() => deck.next()[0])
    expect(new Set(drawn)).toEqual(new Set(FAULT_NAMES))
  })

  test('returns pairs of different kinds, and the same sequence for the same seed', () => {
    const draw = (): string[][] => {
      const deck = createFaultDeck(FAULT_NAMES, createRandom(3))
      return Array.from({ length: 100 }, () => deck.next())
    }
    const rounds = draw()
    const pairs = rounds.filter(round => round.length === 2)
    expect(pairs.length).toBe(50)
    expect(pairs.every(([first, second]) => first !== second)).toBe(true)
    expect(draw()).toEqual(rounds)
  })

  test('returns a single kind alone', () => {
    const deck = createFaultDeck(['kill_agent'], createRandom(1))
    expect([deck.next(), deck.next()]).toEqual([['kill_agent'], ['kill_agent']])
  })
})
