import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { runCommand } from '../../__fixtures__/runCommand'
import { linesAbout, parseLogs } from '../readLogs'

const FIRST = [
  '{"at":"2026-01-01T00:00:01.000Z","level":"info","process":"gateway-1","slice":"requests","message":"attempt failed","requestId":"r1","endpoint":"e1","reason":"silent"}',
  'a line of another program',
  '  12.5 gateway-1 {"at":"2026-01-01T00:00:03.000Z","level":"info","process":"gateway-1","message":"request ended","requestId":"r1","outcome":"timeout"}'
].join('\n')
const SECOND = [
  '{"at":"2026-01-01T00:00:02.000Z","process":"agent-1","message":"item claimed","jobId":"j1","itemId":"i1"}',
  '{"at":"2026-01-01T00:00:01.500Z","process":"gateway-2","message":"job submitted","jobId":"j1","outcome":"accepted"}',
  '{broken'
].join('\n')

describe('linesAbout', () => {
  it('returns the lines of an item and of its job, in order', () => {
    const lines = linesAbout([...parseLogs(FIRST), ...parseLogs(SECOND)], 'i1')
    expect(lines.map(line => line.message)).toEqual(['job submitted', 'item claimed'])
  })
})

describe('explain', () => {
  const folder = mkdtempSync(join(tmpdir(), 'explain-'))
  writeFileSync(join(folder, 'a.log'), FIRST)
  writeFileSync(join(folder, 'b.log'), SECOND)

  it('shows the lines about a request from the logs of all processes', async () => {
    const { stdout, exitCode } = await runCommand(['explain', 'r1', '--logs', folder])
    expect(exitCode).toBe(0)
    expect(stdout).toMatch(/00:00:01.000 +gateway-1 +attempt failed +requestId=r1 endpoint=e1 reason=silent/)
    expect(stdout).toContain('2 lines of 1 process')
  })

  it('prints the lines as JSON', async () => {
    expect((await runCommand(['explain', 'j1', '--logs', folder, '--json'])).json()).toMatchObject({ lines: [{ jobId: 'j1' }, { jobId: 'j1' }] })
  })

  it('fails for an id that no line contains, and for logs that do not exist', async () => {
    expect((await runCommand(['explain', 'unknown', '--logs', folder])).exitCode).toBe(1)
    const missing = await runCommand(['explain', 'r1', '--logs', join(folder, 'missing')])
    expect(missing.stderr).toContain('can\'t be read')
  })
})
