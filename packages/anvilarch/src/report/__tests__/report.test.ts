import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { runCommand } from '../../__fixtures__/runCommand'
import { parseLogs } from '../../explain/readLogs'
import { buildReport } from '../buildReport'
import type { LogReport } from '../types'

/** Sample lines of each kind from the logs of a test day without disruptions, from the daemons of two failure domains. */
const LOGS = readFileSync(join(__dirname, '..', '__fixtures__', 'day.log'), 'utf8')

describe('buildReport', () => {
  const report = buildReport(parseLogs(LOGS))
  const totals = (field: 'arrived' | 'late' | 'failed' | 'pauses'): number => report.seconds.reduce((sum, second) => sum + second[field], 0)

  it('counts per second over all processes', () => {
    expect(report.processCount).toBeGreaterThan(1)
    expect(totals('arrived')).toBeGreaterThan(0)
    expect(totals('pauses')).toBe(parseLogs(LOGS).filter(line => line.message === 'item paused').length)
    const busiest = report.seconds.reduce((most, second) => second.online + second.batchRunning > most.online + most.batchRunning ? second : most)
    expect(busiest.slots).toBeGreaterThanOrEqual(busiest.batchRunning)
  })

  it('counts cut requests apart from failed ones, of logs without them as 0', () => {
    const at = '2026-01-01T00:00:01.000Z'
    const lines = [{ at, process: 'g1', message: 'traffic', failed: 1, cut: 2 }, { at, process: 'g2', message: 'traffic', failed: 1 }]
    expect(buildReport(lines).seconds).toMatchObject([{ failed: 2, cut: 2 }])
  })

  it('groups losses by reason, the largest group first, with ids that explain accepts', () => {
    expect(report.losses.length).toBeGreaterThan(0)
    const counts = report.losses.map(loss => loss.count)
    expect([...counts].sort((a, b) => b - a)).toEqual(counts)
    for (const loss of report.losses) {
      expect(loss.ids.length).toBeGreaterThan(0)
      expect(loss.fromSecond).toBeLessThanOrEqual(loss.worstSecond)
      expect(LOGS).toContain(loss.ids[0])
    }
  })

  it('lists the events that may explain losses, in order', () => {
    const seconds = report.moments.map(moment => moment.second)
    expect(seconds).toEqual([...seconds].sort((a, b) => a - b))
    expect(report.moments.map(moment => moment.message)).toContain('configuration in force')
  })

  it('is empty without lines', () => {
    expect(buildReport([])).toMatchObject({ seconds: [], moments: [], losses: [], processCount: 0 })
  })
})

describe('logs report', () => {
  const folder = mkdtempSync(join(tmpdir(), 'report-'))
  writeFileSync(join(folder, 'day.log'), LOGS)

  it('writes a self-contained page with all charts and the table of losses', async () => {
    const page = join(folder, 'report.html')
    const { stdout, exitCode } = await runCommand(['logs', 'report', '--logs', join(folder, 'day.log'), '--output', page])
    expect(exitCode).toBe(0)
    expect(stdout).toContain(`written to ${page}`)
    const html = readFileSync(page, 'utf8')
    expect(html.match(/<svg/g)).toHaveLength(4)
    expect(html).toContain('What was lost or late')
    expect(html).not.toMatch(/<script|src=|href=/)
  })

  it('prints the same data as JSON', async () => {
    const report = (await runCommand(['logs', 'report', '--logs', join(folder, 'day.log'), '--json'])).json() as LogReport
    expect(report.seconds).toEqual(buildReport(parseLogs(LOGS)).seconds)
  })
})
