/** `npm run bench -- EXPERIMENT`: runs the variants of an experiment and writes the result. */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createSystemClock } from 'anvilarch-utils'
import { command, flag, number, option, optional, positional, run, string } from 'cmd-ts'
import { capacityText } from '../capacity/capacityText'
import { EXPERIMENTS } from '../experiments/registry'
import { stopOpenFleets } from '../harness/openFleet'
import { DEFAULT_RESULT_DIRECTORY, readResults, writeResult } from '../harness/resultStore'
import { runExperiment } from '../harness/runExperiment'
import { aimText, summaryTable } from '../harness/summaryTable'
import type { Experiment } from '../harness/types'
import { markdownSummary } from '../report/markdownSummary'
import { closestName } from './closestName'

const DEFAULT_SEED = 1
const KEEP_ALIVE_MS = 1000

interface BenchArguments {
  target: string
  seed: number
  runs: number | undefined
  seconds: number | undefined
  out: string
  variants: string | undefined
  keepFiles: boolean
}

const bench = command({
  name: 'bench',
  description: 'Runs an experiment. "bench list" names them, "bench summary" prints the latest results as Markdown, "bench capacity" prints the tables of docs/CAPACITY.md from the latest results.',
  args: {
    target: positional({ type: string, displayName: 'experiment', description: `one of ${[...EXPERIMENTS.keys()].join(', ')}; or list, summary or capacity` }),
    seed: option({ type: number, long: 'seed', defaultValue: () => DEFAULT_SEED, description: 'seed of all random numbers' }),
    runs: option({ type: optional(number), long: 'runs', description: 'rounds; each runs every variant once' }),
    seconds: option({ type: optional(number), long: 'seconds', description: 'measured time of one run of one variant' }),
    out: option({ type: string, long: 'out', defaultValue: () => DEFAULT_RESULT_DIRECTORY, description: 'folder of results' }),
    variants: option({ type: optional(string), long: 'variants', description: 'names of variants to run, separated by commas; the baseline always runs' }),
    keepFiles: flag({ long: 'keep-files', description: 'keep settings and logs of the fleets' })
  },
  handler: async args => { await handle(args) }
})

const COMMANDS: Record<string, (args: BenchArguments) => Promise<void> | void> = {
  list: () => { for (const experiment of EXPERIMENTS.values()) print(`${experiment.name.padEnd(14)} ${experiment.question}`) },
  summary: async args => {
    const results = await readResults(args.out)
    print(markdownSummary([...EXPERIMENTS.keys()].flatMap(name => results.get(name) ?? [])))
  },
  capacity: async args => { print(capacityText(await readResults(args.out))) }
}

async function handle (args: BenchArguments): Promise<void> {
  const experiment = EXPERIMENTS.get(args.target)
  if (experiment !== undefined) {
    await runOne(experiment, args)
    return
  }
  const handleCommand = COMMANDS[args.target]
  if (handleCommand === undefined) {
    const known = [...EXPERIMENTS.keys(), ...Object.keys(COMMANDS)]
    throw new Error(`no experiment "${args.target}"; did you mean "${closestName(args.target, known)}"? There are ${known.join(', ')}.`)
  }
  await handleCommand(args)
}

async function runOne (experiment: Experiment, args: BenchArguments): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), 'anvilarch-bench-'))
  try {
    const result = await runExperiment(selectVariants(experiment, args.variants), {
      seed: args.seed,
      runs: args.runs ?? experiment.defaults.runs,
      seconds: args.seconds ?? experiment.defaults.seconds,
      clock: createSystemClock(),
      directory,
      commit: currentCommit(),
      commandSuffix: args.variants === undefined ? '' : ` --variants "${args.variants}"`,
      log: print
    })
    const files = await writeResult(args.out, result, experiment.plots(result))
    print(`\n${experiment.question}\n${summaryTable(result)}`)
    for (const aim of result.aims) print(aimText(aim))
    print(`\nwritten to ${args.out}: ${files.join(', ')}`)
    if (result.variants.some(variant => variant.runs.some(one => one.error !== undefined))) process.exitCode = 1
  } finally {
    if (args.keepFiles) print(`files of the fleets: ${directory}`)
    else rmSync(directory, { recursive: true, force: true })
  }
}

/** Restricts an experiment to the named variants. The command in the result lists them, so that it is not mistaken for a complete one. */
function selectVariants (experiment: Experiment, names: string | undefined): Experiment {
  if (names === undefined) return experiment
  const wanted = names.split(',').map(name => name.trim())
  return {
    ...experiment,
    variants: options => {
      const all = experiment.variants(options)
      const unknown = wanted.find(name => !all.some(variant => variant.name === name))
      if (unknown !== undefined) throw new Error(`no variant "${unknown}" of "${experiment.name}"; did you mean "${closestName(unknown, all.map(variant => variant.name))}"?`)
      return all.filter((variant, index) => index === 0 || wanted.includes(variant.name))
    }
  }
}

/** @returns the short hash of the measured commit, followed by a plus sign if there are uncommitted changes */
function currentCommit (): string {
  try {
    const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim()
    const changes = execFileSync('git', ['status', '--porcelain', '--untracked-files=no', '--', 'packages'], { encoding: 'utf8' }).trim()
    return changes === '' ? commit : `${commit}+`
  } catch {
    return 'unknown'
  }
}

function print (line: string): void {
  process.stdout.write(line + '\n')
}

const stopAndExit = (): void => { stopOpenFleets().finally(() => { process.exit(130) }) }
process.once('SIGINT', stopAndExit)
process.once('SIGTERM', stopAndExit)
// The timers of the system clock do not keep the process running, and between two runs nothing else does.
const keepAlive = setInterval(() => {}, KEEP_ALIVE_MS)
run(bench, process.argv.slice(2))
  .catch((error: Error) => {
    process.stderr.write(`${error.message}\n`)
    process.exitCode = 1
  })
  .finally(() => { clearInterval(keepAlive) })
