/** Types of experiments: variants of settings, the figures of each run, and the aims that figures should meet. */
import type { Clock, Random } from 'anvilarch-utils'
import type { Spread } from '../statistics/spread'
import type { Plot } from '../plots/types'

/** Figures of one run by name. Each name ends with its unit. */
export type Figures = Record<string, number>

/** Size of a run. */
export interface RunOptions {
  seed: number
  /** Rounds; each runs every variant once. */
  runs: number
  /** Measured time of one run of one variant. */
  seconds: number
}

/** Context of one run of one variant. */
export interface RunContext {
  clock: Clock
  /** Seeded by seed and round, so that all variants of a round get the same arrivals. */
  random: Random
  round: number
  /** Measured time, without warm-up. */
  durationMs: number
  warmUpMs: number
  /** Folder for files of this run only. */
  directory: string
  /** Prints a line of progress. */
  log: (line: string) => void
}

/** Result of one run. */
export interface VariantRun {
  figures: Figures
  /** Remarks needed to interpret the figures, for example errors. */
  notes?: string[]
}

/** One configuration of the system, or an ideal to compare with. */
export interface Variant {
  name: string
  settings: Record<string, string | number | boolean>
  run: (context: RunContext) => Promise<VariantRun>
}

/** Required bound of a figure, absolute or relative to the baseline. */
export interface Aim {
  text: string
  variant: string
  figure: string
  /** `ratio`: relative to the baseline of the same round; `value`: absolute. */
  compare: 'ratio' | 'value'
  bound: 'at_most' | 'at_least'
  limit: number
}

/** A question about the system that a set of runs answers. */
export interface Experiment {
  name: string
  question: string
  defaults: Pick<RunOptions, 'runs' | 'seconds'>
  warmUpMs: number
  /** The first one is the baseline. */
  variants: (options: RunOptions) => Variant[]
  /** Adds figures that are derived from several variants, after all variants of a round have run. */
  derive?: (round: ReadonlyMap<string, Figures>) => void
  aims: Aim[]
  /** Figures of the summary table, in order; other figures are only written to the result file. */
  summary: string[]
  plots: (result: ExperimentResult) => Plot[]
}

/** A recorded run; `error` is the reason why a failed run has no figures. */
export interface RecordedRun extends VariantRun {
  round: number
  loadAverage: number
  error?: string
}

/** A figure over all rounds. */
export interface FigureSummary extends Spread {
  /** Ratio to the baseline of the same round; absent for the baseline itself. */
  ratio?: Spread
}

/** Recorded runs and summary of a variant. */
export interface VariantResult {
  name: string
  isBaseline: boolean
  settings: Variant['settings']
  runs: RecordedRun[]
  figures: Record<string, FigureSummary>
}

/** An aim with its verdict. `not_measured`: no run has the figure. */
export interface AimResult extends Aim {
  measured?: number
  verdict: 'met' | 'missed' | 'not_measured'
}

/** Host, time and commit of the runs. */
export interface Environment {
  startedAt: string
  endedAt: string
  commit: string
  nodeVersion: string
  cores: number
  memoryBytes: number
  /** One-minute load averages before the first and after the last run. */
  loadAverageBefore: number
  loadAverageAfter: number
}

/** Content of the result file of an experiment. */
export interface ExperimentResult extends RunOptions {
  formatVersion: 1
  experiment: string
  question: string
  /** Command that repeats the runs. */
  command: string
  environment: Environment
  variants: VariantResult[]
  aims: AimResult[]
  summary: string[]
}
