/** Rewrites command-line arguments to the form that the parser supports. */
import { WAIT_WITHOUT_SECONDS } from './waitArgument'

const SECONDS_PATTERN = /^\d+(\.\d+)?$/
const GLOBAL_FLAGS = new Set(['--json'])
const GLOBAL_OPTIONS = new Set(['--gateway', '--api-key'])

/**
 * Normalizes the arguments. The parser supports options with a value and flags without one, but `--wait` may be either. It also
 * requires options after the name of the command, while `anvilarch --json status` is common.
 *
 * @param words - arguments of the command line
 * @returns the arguments with `--wait=seconds`, and with global options after the command
 */
export function normalizeArguments (words: string[]): string[] {
  return withWaitValue(withGlobalsLast(words))
}

function withWaitValue (words: string[]): string[] {
  const result: string[] = []
  for (let at = 0; at < words.length; at++) {
    if (words[at] !== '--wait') {
      result.push(words[at])
      continue
    }
    const next = words[at + 1]
    const hasSeconds = next !== undefined && SECONDS_PATTERN.test(next)
    result.push(`--wait=${hasSeconds ? next : WAIT_WITHOUT_SECONDS}`)
    if (hasSeconds) at++
  }
  return result
}

function withGlobalsLast (words: string[]): string[] {
  const globals: string[] = []
  let at = 0
  for (; at < words.length; at++) {
    const word = words[at]
    const isOption = GLOBAL_OPTIONS.has(word)
    const isGlobal = isOption || GLOBAL_FLAGS.has(word) || [...GLOBAL_OPTIONS].some(name => word.startsWith(`${name}=`))
    if (!isGlobal) break
    globals.push(word)
    if (isOption && at + 1 < words.length) globals.push(words[++at])
  }
  return [...words.slice(at), ...globals]
}
