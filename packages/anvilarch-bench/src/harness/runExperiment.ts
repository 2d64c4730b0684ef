/** Runs the variants of an experiment in turn, round by round, and summarises their figures. */
import { mkdir, rm } from 'node:fs/promises'
import { cpus, loadavg, totalmem } from 'node:os'
import { join } from 'node:path'
import { type Clock, createRandom } from 'anvilarch-utils'
import { formatFigure } from './formatFigure'
import { evaluateAim, summariseFigures } from './summarise'
import type { Environment, Experiment, ExperimentResult, Figures, RecordedRun, RunOptions, Variant, VariantResult } from './types'

/** Options of `runExperiment`. */
export interface RunnerOptions extends RunOptions {
  clock: Clock
  /** Folder for files of the runs; each run gets an empty subfolder. */
  directory: string
  /** Commit of the code that is measured. */
  commit: string
  /** Added to the command that repeats the runs. */
  commandSuffix?: string
  log: (line: string) => void
}

const MS_PER_SECOND = 1000
/** Difference between the seeds of consecutive rounds. */
const ROUND_SEED_STEP = 7919

/**
 * @param experiment - experiment to run
 * @param options - size, clock and folder
 * @returns all runs, including failed ones, with their summary
 */
export async function runExperiment (experiment: Experiment, options: RunnerOptions): Promise<ExperimentResult> {
  const variants = experiment.variants(options)
  const recorded = new Map<string, RecordedRun[]>(variants.map(variant => [variant.name, []]))
  const before = readEnvironment(options)
  for (let round = 0; round < options.runs; round++) {
    for (const variant of rotate(variants, round)) {
      const run = await runOnce(experiment, variant, round, options)
      recorded.get(variant.name)?.push(run)
    }
    experiment.derive?.(figuresOfRound(recorded, round))
  }
  const environment = { ...before, endedAt: isoTime(options.clock), loadAverageAfter: loadavg()[0] }
  const results = variants.map(variant => toResult(variant, variants[0], recorded))
  return {
    formatVersion: 1,
    experiment: experiment.name,
    question: experiment.question,
    command: `npm run bench -- ${experiment.name} --seed ${options.seed} --runs ${options.runs} --seconds ${options.seconds}${options.commandSuffix ?? ''}`,
    seed: options.seed,
    runs: options.runs,
    seconds: options.seconds,
    environment,
    variants: results,
    aims: experiment.aims.map(aim => evaluateAim(aim, results)),
    summary: experiment.summary
  }
}

function figuresOfRound (recorded: ReadonlyMap<string, RecordedRun[]>, round: number): Map<string, Figures> {
  return new Map([...recorded].map(([name, runs]) => [name, runs.find(run => run.round === round)?.figures ?? {}]))
}

/** A run that fails is recorded with its error, and the remaining runs continue. */
async function runOnce (experiment: Experiment, variant: Variant, round: number, options: RunnerOptions): Promise<RecordedRun> {
  const directory = join(options.directory, `${experiment.name}-${round}-${variant.name.replaceAll(/\W+/g, '_')}`)
  await rm(directory, { recursive: true, force: true })
  await mkdir(directory, { recursive: true })
  const loadAverage = loadavg()[0]
  const startedMs = options.clock.nowMs()
  const log = (line: string): void => { options.log(`  ${line}`) }
  options.log(`round ${round + 1}/${options.runs} ${variant.name} (load average ${loadAverage.toFixed(1)})`)
  try {
    const run = await variant.run({
      clock: options.clock,
      random: createRandom(options.seed + round * ROUND_SEED_STEP),
      round,
      durationMs: options.seconds * MS_PER_SECOND,
      warmUpMs: experiment.warmUpMs,
      directory,
      log
    })
    log(`${((options.clock.nowMs() - startedMs) / MS_PER_SECOND).toFixed(1)} s; ${formatFigures(run.figures, experiment.summary)}`)
    for (const note of run.notes ?? []) log(`note: ${note}`)
    return { round, loadAverage, ...run }
  } catch (error) {
    const text = error instanceof Error ? error.message : String(error)
    log(`FAILED: ${text}`)
    return { round, loadAverage, figures: {}, error: text }
  }
}

function toResult (variant: Variant, baseline: Variant, recorded: ReadonlyMap<string, RecordedRun[]>): VariantResult {
  const runs = recorded.get(variant.name) ?? []
  const isBaseline = variant === baseline
  const figures = summariseFigures(runs, isBaseline ? undefined : recorded.get(baseline.name))
  return { name: variant.name, isBaseline, settings: variant.settings, runs, figures }
}

/** Rotates the order by round, so that no variant always runs on a host that the same other variant has warmed up. */
function rotate<Item> (items: readonly Item[], by: number): Item[] {
  const start = by % items.length
  return [...items.slice(start), ...items.slice(0, start)]
}

function formatFigures (figures: Record<string, number>, names: readonly string[]): string {
  return names.filter(name => name in figures).map(name => `${name} ${formatFigure(figures[name])}`).join(', ')
}

function readEnvironment (options: RunnerOptions): Environment {
  return {
    startedAt: isoTime(options.clock),
    endedAt: '',
    commit: options.commit,
    nodeVersion: process.version,
    cores: cpus().length,
    memoryBytes: totalmem(),
    loadAverageBefore: loadavg()[0],
    loadAverageAfter: 0
  }
}

function isoTime (clock: Clock): string {
  return new Date(clock.wallMs()).toISOString()
}
