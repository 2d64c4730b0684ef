/** Starts the local fleet, runs the steps of the demo, and prints their results as a table. */
import { join, resolve } from 'node:path'
import Table from 'cli-table3'
import { command, number, option, run, string } from 'cmd-ts'
import { runDemo } from '../demo/runDemo'
import type { StepReport } from '../demo/types'
import { WORKSPACE_ROOT } from '../fleet/fleetPlan'

const DEFAULT_TIMEOUT_SECONDS = 120
const DETAIL_WIDTH = 76
const TITLE_WIDTH = 44

const main = command({
  name: 'demo',
  description: 'Starts the local fleet and runs the steps of the demo. Exits with 0 when all steps succeed, else with 1.',
  args: {
    directory: option({ type: string, long: 'directory', defaultValue: () => join(WORKSPACE_ROOT, '.fleet/demo'), description: 'folder for fleet.json, settings, logs and job files' }),
    document: option({ type: string, long: 'document', defaultValue: () => join(WORKSPACE_ROOT, 'examples/demo.jsonc'), description: 'configuration document to apply' }),
    timeoutSeconds: option({ type: number, long: 'timeout-seconds', defaultValue: () => DEFAULT_TIMEOUT_SECONDS, description: 'time limit of the demo' })
  },
  handler: async ({ directory, document, timeoutSeconds }) => {
    const reports = await runDemo({
      directory: resolve(directory),
      documentFile: resolve(document),
      timeoutMs: timeoutSeconds * 1000,
      onProgress: line => { process.stdout.write(`${line}\n`) }
    })
    process.stdout.write(`${formatReports(reports)}\n`)
    process.exitCode = reports.every(({ passed }) => passed) ? 0 : 1
  }
})

function formatReports (reports: StepReport[]): string {
  const table = new Table({ head: ['step', 'result', 'time', 'what happened'], colWidths: [TITLE_WIDTH, null, null, DETAIL_WIDTH], wordWrap: true, style: { head: [], border: [] } })
  for (const { title, passed, durationMs, detail } of reports) table.push([title, passed ? 'ok' : 'FAILED', `${(durationMs / 1000).toFixed(1)} s`, detail])
  return table.toString()
}

run(main, process.argv.slice(2)).then(
  () => { process.exit() },
  (error: Error) => {
    process.stderr.write(`${error.message}\n`)
    process.exit(1)
  }
)
