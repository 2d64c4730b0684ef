/** Rewrites command-line arguments to the form that the parser supports. */
import { WAIT_WITHOUT_SECONDS } from './waitArgument'

const SECONDS_PATTERN = /^\d+(\.\d+)?$/
const GLOBAL_FLAGS = new Set(['--json'])
const GLOBAL_OPTIONS = new Set(['--gateway', '--api-key'])

/**
 * Normalizes the arguments. The parser supports options with a value and flags without one, but `--wait` may be either. It also
 * requires options after the name of the command, while `anvilarch --json status` is common.
 *
 * @param argv - arguments of the command line
 * @returns the arguments with `--wait=seconds`, and with global options after the command
 */
export function normalizeArguments (argv: string[]): string[] {
  return withWaitValue(withGlobalsLast(argv))
}

function withWaitValue (argv: string[]): string[] {
  const result: string[] = []
  for (let index = 0; index < argv.length; index++) {
    if (argv[index] !== '--wait') {
      result.push(argv[index])
      continue
    }
    const next = argv[index + 1]
    const hasSeconds = next !== undefined && SECONDS_PATTERN.test(next)
    result.push(`--wait=${hasSeconds ? next : WAIT_WITHOUT_SECONDS}`)
    if (hasSeconds) index++
  }
  return result
}

function withGlobalsLast (argv: string[]): string[] {
  const globals: string[] = []
  let index = 0
  for (; index < argv.length; index++) {
    const argument = argv[index]
    const isOption = GLOBAL_OPTIONS.has(argument)
    const isGlobal = isOption || GLOBAL_FLAGS.has(argument) || [...GLOBAL_OPTIONS].some(name => argument.startsWith(`${name}=`))
    if (!isGlobal) break
    globals.push(argument)
    if (isOption && index + 1 < argv.length) globals.push(argv[++index])
  }
  return [...argv.slice(index), ...globals]
}
