import { afterViolation, invariant, InvariantViolation, onViolation } from '../invariant'

describe('invariant', () => {
  it('tells listeners of a violation and throws', () => {
    const seen: string[] = []
    const unsubscribe = onViolation((name, detail) => seen.push(`${name}: ${detail}`))
    expect(() => invariant(false, 'version_grows', () => 'from 5 to 4')).toThrow(InvariantViolation)
    unsubscribe()
    expect(seen).toEqual(['version_grows: from 5 to 4'])
  })

  it('does not evaluate the detail while the condition holds', () => {
    invariant(true, 'version_grows', () => { throw new Error('evaluated') })
  })
})

describe('afterViolation', () => {
  // Guards against this: a daemon under test ended with the exit code of a violation and left no line in its log.
  test('tells what ends the process last, whenever it was added', () => {
    const told: string[] = []
    const remove = [afterViolation(() => { told.push('end') }), onViolation(() => { told.push('log') })]
    expect(() => { invariant(false, 'some_name', () => 'found') }).toThrow('some_name')
    for (const undo of remove) undo()
    expect(told).toEqual(['log', 'end'])
  })
})
