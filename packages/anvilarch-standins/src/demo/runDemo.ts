/** Runs the steps of the demo on a separate fleet. */
import { mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { createSystemClock, sleep } from 'anvilarch-utils'
import { startFleet } from '../fleet/startFleet'
import type { FleetOptions } from '../fleet/types'
import { configurationStep } from './steps/configurationStep'
import { drainStep } from './steps/drainStep'
import { cancelStep, jobStep } from './steps/jobSteps'
import { completionStep, lookupStep } from './steps/requestSteps'
import { type DemoContext, type DemoStep, DemoFailure, type StepReport } from './types'

/** The steps in order; each one depends on the earlier ones. */
const DEMO_STEPS: DemoStep[] = [configurationStep, completionStep, lookupStep, jobStep, cancelStep, drainStep]

const clock = createSystemClock()

/** Options of `runDemo`. */
export interface DemoOptions {
  directory: string
  documentFile: string
  /** Time limit of the demo. */
  timeoutMs: number
  fleet?: Partial<FleetOptions>
  /** Called with each line of progress. */
  onProgress: (line: string) => void
}

/**
 * @param options - folder, document and time limit
 * @returns the result of each step, including the start and the end of the fleet
 */
export async function runDemo (options: DemoOptions): Promise<StepReport[]> {
  const timeLimit = new AbortController()
  const timeout = sleep(clock, options.timeoutMs, timeLimit.signal).then(() => { timeLimit.abort() })
  const reports: StepReport[] = []
  const report = (entry: StepReport): void => {
    reports.push(entry)
    options.onProgress(`${entry.passed ? 'ok    ' : 'FAILED'} ${entry.title} (${(entry.durationMs / 1000).toFixed(1)} s): ${entry.detail}`)
  }
  mkdirSync(options.directory, { recursive: true })
  let context: DemoContext | undefined
  report(await runStep(timeLimit.signal, 'The fleet starts', async () => {
    const fleet = await startFleet({ ...options.fleet, directory: options.directory })
    context = { fleet, clock, signal: timeLimit.signal, directory: options.directory, documentFile: options.documentFile }
    return `${fleet.processes().length} processes; ${join(options.directory, 'fleet.json')} describes them`
  }))
  if (context === undefined) return reports
  const started = context
  try {
    for (const step of DEMO_STEPS) {
      report(await runStep(timeLimit.signal, step.title, async () => await step.run(started)))
      if (!reports[reports.length - 1].passed) break
    }
  } finally {
    report(await runStep(new AbortController().signal, 'The fleet stops', async () => {
      await started.fleet.stop()
      return 'every process has exited'
    }))
    timeLimit.abort()
    await timeout
  }
  return reports
}

async function runStep (signal: AbortSignal, title: string, run: () => Promise<string>): Promise<StepReport> {
  const startMs = clock.nowMs()
  const timeLimitExceeded = new Promise<never>((_resolve, reject) => {
    signal.addEventListener('abort', () => { reject(new DemoFailure('the demo exceeded its time limit')) }, { once: true })
  })
  try {
    const detail = await Promise.race([run(), timeLimitExceeded])
    return { title, passed: true, durationMs: clock.nowMs() - startMs, detail }
  } catch (error) {
    return { title, passed: false, durationMs: clock.nowMs() - startMs, detail: (error as Error).message }
  }
}
