/**
 * Linear model of the time between tokens over the number of running attempts: with continuous batching, each sequence
 * makes an engine step longer. The model predicts how much batch work fits beside the current online work, before an
 * increased latency is measured. It is fitted by least squares, with weights that decrease with the age of a sample.
 */

/** Weighted sums of the least-squares fit. */
export interface StepTimeFit {
  weight: number
  sumX: number
  sumY: number
  sumXX: number
  sumXY: number
}

const DECAY = 0.998
const MIN_WEIGHT = 20
const MIN_VARIANCE = 0.05

/** @returns a fit without samples */
export function createStepTimeFit (): StepTimeFit {
  return { weight: 0, sumX: 0, sumY: 0, sumXX: 0, sumXY: 0 }
}

/**
 * @param fit - receives the sample
 * @param running - number of attempts running at that time
 * @param gapMs - time between two tokens of one of these attempts
 */
export function addStepTime (fit: StepTimeFit, running: number, gapMs: number): void {
  fit.weight = fit.weight * DECAY + 1
  fit.sumX = fit.sumX * DECAY + running
  fit.sumY = fit.sumY * DECAY + gapMs
  fit.sumXX = fit.sumXX * DECAY + running * running
  fit.sumXY = fit.sumXY * DECAY + running * gapMs
}

/** Step time: `baseMs`, plus `perAttemptMs` for each running attempt. */
export interface StepTimeLine {
  baseMs: number
  perAttemptMs: number
}

/**
 * @param fit - sums of the fit
 * @returns the fitted line, or undefined while the samples are too few, too uniform or give an implausible line
 */
export function stepTimeLine (fit: StepTimeFit): StepTimeLine | undefined {
  if (fit.weight < MIN_WEIGHT) return undefined
  const meanX = fit.sumX / fit.weight
  const meanY = fit.sumY / fit.weight
  const variance = fit.sumXX / fit.weight - meanX * meanX
  if (variance < MIN_VARIANCE) return undefined
  const perAttemptMs = (fit.sumXY / fit.weight - meanX * meanY) / variance
  const baseMs = meanY - perAttemptMs * meanX
  return perAttemptMs > 0 && baseMs >= 0 ? { baseMs, perAttemptMs } : undefined
}
