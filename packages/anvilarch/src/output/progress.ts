/** Progress bar on standard error, shown only on a terminal. */
import { Presets, SingleBar } from 'cli-progress'
import type { CliEnvironment } from '../environment'

/** Shows the progress of a wait. */
export interface Progress {
  update: (done: number, total: number, note: string) => void
  stop: () => void
}

const NO_PROGRESS: Progress = { update: () => {}, stop: () => {} }

/**
 * @param environment - of the command
 * @param unit - plural noun for what is counted
 * @returns a bar, or nothing when the output is not a terminal
 */
export function createProgress (environment: CliEnvironment, unit: string): Progress {
  if (!environment.isTerminal) return NO_PROGRESS
  const bar = new SingleBar({
    format: `{bar} {value}/{total} ${unit} · {note}`,
    stream: environment.stderr as NodeJS.WriteStream,
    hideCursor: true,
    clearOnComplete: false
  }, Presets.shades_classic)
  let isStarted = false
  return {
    update: (done, total, note) => {
      if (!isStarted) bar.start(total, done, { note })
      isStarted = true
      bar.setTotal(total)
      bar.update(done, { note })
    },
    stop: () => { if (isStarted) bar.stop() }
  }
}
