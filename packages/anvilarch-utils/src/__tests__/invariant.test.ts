import { afterViolation, invariant, InvariantViolation, onViolation } from '../invariant'

describe('invariant', () => {
  it('calls the listeners on a violation and throws', () => {
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
  // Guards against a daemon that exits on a violation before its log line is written.
  test('calls its listeners last, whenever they were added', () => {
    const called: string[] = []
    const remove = [afterViolation(() => { called.push('end') }), onViolation(() => { called.push('log') })]
    expect(() => { invariant(false, 'some_name', () => 'found') }).toThrow('some_name')
    for (const undo of remove) undo()
    expect(called).toEqual(['log', 'end'])
  })
})
