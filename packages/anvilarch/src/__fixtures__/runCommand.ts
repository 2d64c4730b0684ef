/** Runs a command line in this process, with a clock that advances only during waits. */
import { Writable } from 'node:stream'
import type { Clock } from 'anvilarch-utils'
import type { CliEnvironment } from '../environment'
import { runCli } from '../runCli'

/** Output and exit code of a command line. */
export interface CommandOutcome {
  exitCode: number
  stdout: string
  stderr: string
  /** @returns standard output, parsed as JSON */
  json: () => any
  /** Total of all waits. */
  waitedMs: number
}

/**
 * @param argv - arguments of the command line
 * @param variables - environment variables
 * @param clock - a real clock is needed if the command communicates with other processes
 * @returns its output and exit code
 */
export async function runCommand (argv: string[], variables: Record<string, string> = {}, clock: Clock = createSkippingClock()): Promise<CommandOutcome> {
  const stdout = createSink()
  const stderr = createSink()
  const environment: CliEnvironment = { variables, stdout: stdout.stream, stderr: stderr.stream, isTerminal: false, clock, userName: 'ana' }
  const exitCode = await runCli(argv, environment)
  return { exitCode, stdout: stdout.text(), stderr: stderr.text(), json: () => JSON.parse(stdout.text()), waitedMs: clock.nowMs() }
}

/** @returns an environment that discards all output */
export function createTestEnvironment (): CliEnvironment {
  return { variables: {}, stdout: createSink().stream, stderr: createSink().stream, isTerminal: false, clock: createSkippingClock(), userName: 'ana' }
}

/** Creates a clock on which each wait ends immediately and advances the time by its length. */
function createSkippingClock (): Clock {
  let currentMs = 0
  return {
    nowMs: () => currentMs,
    wallMs: () => currentMs,
    after: (delayMs, onFire) => {
      currentMs += delayMs
      const handle = setImmediate(onFire)
      return { cancel: () => clearImmediate(handle) }
    }
  }
}

function createSink (): { stream: Writable, text: () => string } {
  const chunks: Buffer[] = []
  const stream = new Writable({
    write (chunk: Buffer, _encoding, done) {
      chunks.push(Buffer.from(chunk))
      done()
    }
  })
  return { stream, text: () => Buffer.concat(chunks).toString('utf8') }
}
