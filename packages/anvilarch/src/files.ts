/** Reads files whose paths the operator gives. */
import { readFile, stat } from 'node:fs/promises'
import { CliError } from './cliError'

/** Reasons why a file can't be used, by error code. */
const REASONS: Partial<Record<string, string>> = {
  ENOENT: 'there is no such file',
  EACCES: 'it may not be read',
  EISDIR: 'it is a directory'
}

/**
 * @param path - the file
 * @returns its text
 * @throws CliError when it can't be read
 */
export async function readTextFile (path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8')
  } catch (cause) {
    throw fileError(path, cause)
  }
}

/**
 * @param path - the file
 * @returns its size
 * @throws CliError when it doesn't exist or is a directory
 */
export async function fileSizeBytes (path: string): Promise<number> {
  try {
    const stats = await stat(path)
    if (stats.isDirectory()) throw Object.assign(new Error(), { code: 'EISDIR' })
    return stats.size
  } catch (cause) {
    throw fileError(path, cause)
  }
}

/**
 * @param path - the file
 * @param cause - the error of the file system
 * @returns an error with the path of the file and the reason
 */
export function fileError (path: string, cause: unknown): CliError {
  const code = (cause as NodeJS.ErrnoException).code ?? ''
  const reason = REASONS[code] ?? (cause instanceof Error ? cause.message : String(cause))
  return new CliError(`File "${path}" can't be used: ${reason}.`, {
    code: 'bad_request', step: 'cli.readFile', exit: 'usage', ran: 'not_run', cause, hint: 'Check the path.'
  })
}
