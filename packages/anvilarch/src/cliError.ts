/** The error with which a command fails: message, step, hint for the operator and exit code. */
import { AnvilarchError, type ErrorDetails } from 'anvilarch-utils'
import type { ExitReason } from './exitCodes'

/** What a `CliError` carries besides the message. */
export interface CliErrorDetails extends ErrorDetails {
  exit: ExitReason
  /** How the operator can resolve it. */
  hint?: string
  /** Further fields of the `--json` output, for example the issues of a document. */
  data?: Record<string, unknown>
  /** Further text, printed below the message without `--json`. */
  text?: string
}

/** An error that is reported to the operator. */
export class CliError extends AnvilarchError {
  readonly exit: ExitReason
  readonly hint: string | undefined
  readonly data: Record<string, unknown>
  readonly text: string | undefined

  constructor (message: string, details: CliErrorDetails) {
    super(message, details)
    this.name = 'CliError'
    this.exit = details.exit
    this.hint = details.hint
    this.data = details.data ?? {}
    this.text = details.text
  }
}

/**
 * Converts any thrown value to a `CliError`.
 *
 * @param error - the thrown value
 * @returns the same error if it is a `CliError`, else one that reports a bug in this program
 */
export function toCliError (error: unknown): CliError {
  if (error instanceof CliError) return error
  const message = error instanceof Error ? error.message : String(error)
  return new CliError(message, { code: 'internal', step: 'cli.run', exit: 'failed', ran: 'unknown', cause: error, hint: 'This is a fault of the program. Report it with the command line that you used.' })
}

/** @returns the error as lines of text for standard error */
export function formatCliError (error: CliError): string {
  const place = error.peer === undefined ? error.step : `${error.step} at ${error.peer}`
  const lines = [`error: ${error.message}`]
  if (error.text !== undefined) lines.push(error.text)
  lines.push(`  where: ${place}`)
  if (error.ran === 'unknown') lines.push('  ran: unknown; it may have taken effect')
  if (error.retryAfterMs !== undefined) lines.push(`  come back: in ${(error.retryAfterMs / 1000).toFixed(1)} s`)
  if (error.hint !== undefined) lines.push(`  what to do: ${error.hint}`)
  return lines.join('\n')
}

/**
 * @param error - the error
 * @param exitCode - exit code of the program
 * @returns the value that `--json` prints
 */
export function cliErrorJson (error: CliError, exitCode: number): Record<string, unknown> {
  return {
    error: {
      code: error.code,
      message: error.message,
      step: error.step,
      peer: error.peer,
      ran: error.ran,
      retryAfterMs: error.retryAfterMs,
      hint: error.hint,
      exitCode,
      ...error.data
    }
  }
}
