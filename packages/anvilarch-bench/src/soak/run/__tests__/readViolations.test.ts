import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { readViolations } from '../readViolations'

describe('readViolations', () => {
  test('counts violations by daemon and name, except those found in the metrics', () => {
    const directory = mkdtempSync(join(tmpdir(), 'violations-'))
    const line = (name: string): string => JSON.stringify({ level: 'error', message: 'an invariant does not hold', name, found: 'x' }) + '\n'
    writeFileSync(join(directory, 'agent-1.log'), line('a') + '{"message":"started"}\n' + line('a') + line('b'))
    writeFileSync(join(directory, 'gateway-1.log'), line('a'))
    const known = [{ daemon: 'gateway-1', processId: 7, name: 'a', count: 1 }]
    expect(readViolations(directory, known)).toEqual([
      { daemon: 'agent-1', processId: 0, name: 'a', count: 2 },
      { daemon: 'agent-1', processId: 0, name: 'b', count: 1 }
    ])
  })
})
