/** Runs one command line. */
import { runSafely } from 'cmd-ts'
import { createProgram } from './createProgram'
import type { CliEnvironment } from './environment'
import { EXIT_CODES } from './exitCodes'
import { normalizeArguments } from './normalizeArguments'

const { version } = require('../package.json') as { version: string }

/**
 * @param argv - arguments of the command line, without program and script
 * @param environment - of the process
 * @returns the exit code
 */
export async function runCli (argv: string[], environment: CliEnvironment): Promise<number> {
  let exitCode: number = EXIT_CODES.ok.code
  const program = createProgram(environment, version, code => { exitCode = code })
  const result = await runSafely(program, normalizeArguments(argv))
  if (result._tag === 'ok') return exitCode
  const { into, message } = result.error.config
  if (into === 'stdout') {
    environment.stdout.write(`${message}\n`)
    return EXIT_CODES.ok.code
  }
  printUsageError(argv, message, environment)
  return EXIT_CODES.usage.code
}

function printUsageError (argv: string[], message: string, environment: CliEnvironment): void {
  if (!argv.includes('--json')) {
    environment.stderr.write(`${message}\n`)
    return
  }
  const error = { code: 'bad_request', message, step: 'cli.options', ran: 'not_run', exitCode: EXIT_CODES.usage.code }
  environment.stdout.write(`${JSON.stringify({ error })}\n`)
}
