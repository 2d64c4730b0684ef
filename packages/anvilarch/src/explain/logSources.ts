/** Reads the log files that are passed to a command. */
import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { CliError } from '../cliError'
import { type LogLine, parseLogs } from './readLogs'

/** File descriptor of standard input. */
const STANDARD_INPUT = 0

/**
 * @param path - folder or file; standard input if undefined
 * @returns the log lines
 * @throws CliError when the path cannot be read
 */
export function readLogSources (path: string | undefined): LogLine[] {
  return readTexts(path).flatMap(parseLogs)
}

function readTexts (path: string | undefined): string[] {
  if (path === undefined) return [readFileSync(STANDARD_INPUT, 'utf8')]
  try {
    const files = statSync(path).isDirectory() ? readdirSync(path).map(name => join(path, name)) : [path]
    return files.filter(file => statSync(file).isFile()).map(file => readFileSync(file, 'utf8'))
  } catch (error) {
    throw new CliError(`The logs at ${path} can't be read: ${(error as Error).message}.`, {
      code: 'bad_request', step: 'explain.read', exit: 'usage', ran: 'not_run', hint: 'Give a folder of log files, or one file, with --logs.'
    })
  }
}
