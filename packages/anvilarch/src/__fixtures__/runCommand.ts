/** Runs a command line in this process, with time that passes only in waits. */
import { Writable } from 'node:stream'
import type { Clock } from 'anvilarch-utils'
import type { CliEnvironment } from '../environment'
import { runCli } from '../runCli'

/** What a command line did. */
export interface CommandOutcome {
  exitCode: number
  stdout: string
  stderr: string
  /** Standard output as JSON. */
  json: () => any
  /** All waits together. */
  waitedMs: number
}

/**
 * @param words - the words of the command line
 * @param variables - variables of the environment
 * @param clock - a real one where the command talks to others
 * @returns what it printed, and its exit code
 */
export async function runCommand (words: string[], variables: Record<string, string> = {}, clock: Clock = createSkippingClock()): Promise<CommandOutcome> {
  const stdout = createSink()
  const stderr = createSink()
  const environment: CliEnvironment = { variables, stdout: stdout.stream, stderr: stderr.stream, isTerminal: false, clock, userName: 'ana' }
  const exitCode = await runCli(words, environment)
  return { exitCode, stdout: stdout.text(), stderr: stderr.text(), json: () => JSON.parse(stdout.text()), waitedMs: clock.nowMs() }
}

/** @returns an environment that drops all output */
export function createTestEnvironment (): CliEnvironment {
  return { variables: {}, stdout: createSink().stream, stderr: createSink().stream, isTerminal: false, clock: createSkippingClock(), userName: 'ana' }
}

/** Each wait is over at once, and moves the time by its length. */
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
  const parts: Buffer[] = []
  const stream = new Writable({
    write (part: Buffer, _encoding, done) {
      parts.push(Buffer.from(part))
      done()
    }
  })
  return { stream, text: () => Buffer.concat(parts).toString('utf8') }
}
