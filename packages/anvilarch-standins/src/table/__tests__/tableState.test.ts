import { commitWrites, createTableState, readRows, scanRows, type TableState } from '../tableState'

function tableWith (keys: string[]): TableState {
  const state = createTableState()
  commitWrites(state, { commitId: 'setup', conditions: [], writes: keys.map(key => ({ key, value: key })) })
  return state
}

describe('commitWrites', () => {
  test('applies all writes when every condition is met', () => {
    const state = createTableState()
    const result = commitWrites(state, { commitId: 'a', conditions: [{ key: 'x', version: 0 }], writes: [{ key: 'x', value: '1' }, { key: 'y', value: '2' }] })
    expect(result).toEqual({ outcome: 'committed', versions: { x: 1, y: 1 } })
    expect(readRows(state, ['x', 'absent'])).toEqual([{ key: 'x', version: 1, value: '1' }, null])
  })

  test('applies nothing when one condition fails, and returns the rows of all conditions in order', () => {
    const state = tableWith(['x'])
    const result = commitWrites(state, { commitId: 'b', conditions: [{ key: 'y', version: 0 }, { key: 'x', version: 0 }], writes: [{ key: 'y', value: '2' }] })
    expect(result).toEqual({ outcome: 'conflict', rows: [{ key: 'y', version: 0, value: null }, { key: 'x', version: 1, value: 'x' }] })
    expect(readRows(state, ['y'])).toEqual([null])
  })

  test('applies a repeated commit id once and returns its first outcome', () => {
    // Guards against a lease being acquired twice when a commit is repeated.
    const state = createTableState()
    const commit = { commitId: 'a', conditions: [{ key: 'x', version: 0 }], writes: [{ key: 'x', value: '1' }] }
    const first = commitWrites(state, commit)
    expect(commitWrites(state, commit)).toEqual(first)
    expect(readRows(state, ['x'])).toEqual([{ key: 'x', version: 1, value: '1' }])
  })

  test('never repeats the version of a row that was deleted and written again', () => {
    // Guards against a stale commit that succeeds because the version in its condition is in use again.
    const state = tableWith(['x'])
    commitWrites(state, { commitId: 'b', conditions: [], writes: [{ key: 'x', value: null }] })
    commitWrites(state, { commitId: 'c', conditions: [], writes: [{ key: 'x', value: 'again' }] })
    expect(readRows(state, ['x'])).toEqual([{ key: 'x', version: 3, value: 'again' }])
  })
})

describe('scanRows', () => {
  test('pages through one prefix in key order', () => {
    const state = tableWith(['part/2', 'job/1', 'part/1', 'part/3', 'partition'])
    const first = scanRows(state, 'part/', { limit: 2 })
    expect(first).toMatchObject({ rows: [{ key: 'part/1' }, { key: 'part/2' }], next: 'part/2' })
    expect(scanRows(state, 'part/', { limit: 2, after: first.next })).toEqual({ rows: [{ key: 'part/3', version: 1, value: 'part/3' }] })
  })

  test('returns no next page when the last row is on this one', () => {
    expect(scanRows(tableWith(['a/1', 'a/2']), 'a/', { limit: 2 }).next).toBeUndefined()
  })

  test('omits deleted rows', () => {
    const state = tableWith(['a/1', 'a/2'])
    commitWrites(state, { commitId: 'b', conditions: [], writes: [{ key: 'a/1', value: null }] })
    expect(scanRows(state, 'a/', { limit: 9 }).rows.map(row => row.key)).toEqual(['a/2'])
  })
})
