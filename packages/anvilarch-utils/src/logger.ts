/** Structured logging through tslog, as JSON lines. */
import { type ILogObj, Logger as TsLogger } from 'tslog'

/** Log levels, from the least to the most severe. */
export const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error'] as const

/** A log level. */
export type LogLevel = typeof LOG_LEVELS[number]

/** Fields of a log line. Their names include the unit. */
export type LogFields = Record<string, string | number | boolean | undefined>

/** A logger for one slice of one process. */
export interface Logger {
  trace: (message: string, fields?: LogFields) => void
  debug: (message: string, fields?: LogFields) => void
  info: (message: string, fields?: LogFields) => void
  warn: (message: string, fields?: LogFields) => void
  error: (message: string, fields?: LogFields) => void
  /** @returns a logger that adds a slice name to each line */
  child: (slice: string) => Logger
}

/** Numbers of the levels in tslog. */
const TSLOG_LEVELS: Record<LogLevel, number> = { trace: 1, debug: 2, info: 3, warn: 4, error: 5 }

/** Options of `createLogger`. */
export interface LoggerOptions {
  level: LogLevel
  /** Name of the process, added to each line. */
  process: string
  /** Writes a line; to standard error by default. */
  write?: (line: string) => void
}

/**
 * The message and the fields come before the slice, so that a line that is cut short keeps more of them.
 *
 * @param options - level, process name and output
 * @returns a logger that writes JSON lines
 */
export function createLogger (options: LoggerOptions): Logger {
  const write = options.write ?? ((line: string) => { process.stderr.write(line + '\n') })
  const backend = new TsLogger<ILogObj>({ type: 'hidden', minLevel: TSLOG_LEVELS[options.level], hideLogPositionForProduction: true })
  backend.attachTransport(entry => {
    const { _meta, ...fields } = entry
    const meta = _meta as unknown as { date: Date, logLevelName: string }
    write(JSON.stringify({ at: meta.date.toISOString(), level: meta.logLevelName.toLowerCase(), process: options.process, ...fields }))
  })
  const forSlice = (slice: string | undefined): Logger => {
    const line = (message: string, fields?: LogFields): ILogObj => ({ message, ...fields, slice })
    return {
      trace: (message, fields) => { backend.trace(line(message, fields)) },
      debug: (message, fields) => { backend.debug(line(message, fields)) },
      info: (message, fields) => { backend.info(line(message, fields)) },
      warn: (message, fields) => { backend.warn(line(message, fields)) },
      error: (message, fields) => { backend.error(line(message, fields)) },
      child: name => forSlice(name)
    }
  }
  return forSlice(undefined)
}

/** A logger without output, for tests and tools. */
export const SILENT_LOGGER: Logger = {
  trace: () => {},
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
  child: () => SILENT_LOGGER
}
