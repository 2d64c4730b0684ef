/** Generates arrival times from a seed: a Poisson process whose rate follows a repeating cycle of phases. */
import type { Random } from 'anvilarch-utils'

/** A period with one mean rate. */
export interface ArrivalPhase {
  durationMs: number
  ratePerSecond: number
}

/** Options of `createArrivals`. */
export interface ArrivalOptions {
  /** Repeated until `durationMs` is reached. One phase gives a homogeneous Poisson process. */
  phases: ArrivalPhase[]
  durationMs: number
  /** Random variation of the duration of each phase, as a share, so that no period of the system synchronises with the cycle. */
  phaseJitterShare?: number
}

/** A generated phase, for reports that relate figures to bursts. */
export interface GeneratedPhase extends ArrivalPhase {
  startMs: number
}

/** Result of `createArrivals`. */
export interface Arrivals {
  /** Intended send times relative to the start of the run, ascending. */
  timesMs: number[]
  phases: GeneratedPhase[]
}

const MS_PER_SECOND = 1000

/**
 * @param options - phases and length of the run
 * @param random - source of random numbers; the same seed gives the same times
 * @returns the intended send times and the generated phases
 */
export function createArrivals (options: ArrivalOptions, random: Random): Arrivals {
  const phases = generatePhases(options, random)
  const timesMs: number[] = []
  for (const phase of phases) appendPoisson(timesMs, phase, options.durationMs, random)
  return { timesMs, phases }
}

/**
 * @param ratePerSecond - mean rate
 * @param durationMs - length of the run
 * @returns options of a homogeneous Poisson process
 */
export function steadyArrivals (ratePerSecond: number, durationMs: number): ArrivalOptions {
  return { phases: [{ durationMs, ratePerSecond }], durationMs }
}

function generatePhases (options: ArrivalOptions, random: Random): GeneratedPhase[] {
  const jitterShare = options.phaseJitterShare ?? 0
  const generated: GeneratedPhase[] = []
  let startMs = 0
  for (let index = 0; startMs < options.durationMs; index++) {
    const phase = options.phases[index % options.phases.length]
    const durationMs = Math.max(1, jitterShare === 0 ? phase.durationMs : random.jitter(phase.durationMs, jitterShare))
    generated.push({ startMs, durationMs, ratePerSecond: phase.ratePerSecond })
    startMs += durationMs
  }
  return generated
}

/** Gaps of a Poisson process are exponential and memoryless, so each phase is generated independently. */
function appendPoisson (timesMs: number[], phase: GeneratedPhase, untilMs: number, random: Random): void {
  if (phase.ratePerSecond <= 0) return
  const meanGapMs = MS_PER_SECOND / phase.ratePerSecond
  const endMs = Math.min(phase.startMs + phase.durationMs, untilMs)
  const gapMs = (): number => -Math.log(1 - random.next()) * meanGapMs
  for (let atMs = phase.startMs + gapMs(); atMs < endMs; atMs += gapMs()) timesMs.push(atMs)
}
