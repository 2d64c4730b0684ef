/** `npm run report`: writes one HTML page with the latest results. */
import { command, option, run, string } from 'cmd-ts'
import { EXPERIMENTS } from '../experiments/registry'
import { DEFAULT_RESULT_DIRECTORY } from '../harness/resultStore'
import { writeReport } from '../report/writeReport'

const report = command({
  name: 'report',
  description: 'Writes one HTML page with the latest results.',
  args: { out: option({ type: string, long: 'out', defaultValue: () => DEFAULT_RESULT_DIRECTORY, description: 'folder of results' }) },
  handler: async ({ out }) => {
    const { path, experiments } = await writeReport(out, [...EXPERIMENTS.keys()])
    process.stdout.write(`${path}: ${experiments.join(', ') || 'no results yet'}\n`)
  }
})

run(report, process.argv.slice(2)).catch((error: Error) => {
  process.stderr.write(`${error.message}\n`)
  process.exitCode = 1
})
