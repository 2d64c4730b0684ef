import { drawSchedule, WORK_KINDS, type WorkStep } from '../schedule'

const MINUTE_MS = 60_000

describe('the planned work of a seed', () => {
  it('is the same each time, and another one for another seed', () => {
    expect(drawSchedule(WORK_KINDS, 64, MINUTE_MS)).toEqual(drawSchedule(WORK_KINDS, 64, MINUTE_MS))
    expect(drawSchedule(WORK_KINDS, 65, MINUTE_MS)).not.toEqual(drawSchedule(WORK_KINDS, 64, MINUTE_MS))
  })

  it('has the steps of a kind that it has without the other kinds', () => {
    const ofKind = (steps: WorkStep[]): WorkStep[] => steps.filter(({ kind }) => kind === 'roll_gateways')
    expect(ofKind(drawSchedule(WORK_KINDS, 64, MINUTE_MS))).toEqual(drawSchedule(['roll_gateways'], 64, MINUTE_MS))
  })

  it('is within the load and in order, and has all kinds and series of gateways that overlap with others', () => {
    const steps = drawSchedule(WORK_KINDS, 64, MINUTE_MS)
    const times = steps.map(({ atMs }) => atMs)
    expect(times).toEqual([...times].sort((a, b) => a - b))
    expect(times.every(atMs => atMs > 0 && atMs < MINUTE_MS)).toBe(true)
    expect(new Set(steps.map(({ kind }) => kind))).toEqual(new Set(WORK_KINDS))
    const kinds = steps.map(({ kind }) => kind).join(' ')
    expect(kinds).toMatch(/roll_gateways (?!roll_gateways)\S+ .*roll_gateways/)
  })
})
