/** Parses log lines of all processes and selects those about one request, item, job or endpoint. */

/** A log line; its fields depend on its message. */
export interface LogLine {
  /** Timestamp in ISO 8601. */
  at: string
  process: string
  message: string
  [field: string]: unknown
}

/** Fields with the id of what a line is about. */
const ID_FIELDS = ['requestId', 'itemId', 'jobId', 'endpoint'] as const

/**
 * @param text - output of one or more processes; a line may have other text before its JSON
 * @returns the log lines that could be parsed
 */
export function parseLogs (text: string): LogLine[] {
  return text.split('\n').map(parseLine).filter(line => line !== undefined)
}

function parseLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const line = JSON.parse(text.slice(start)) as LogLine
    return typeof line.at === 'string' && typeof line.message === 'string' ? line : undefined
  } catch {
    // The output may contain other lines, for example of another program.
    return undefined
  }
}

/**
 * @param lines - of all processes
 * @param id - of a request, an item, a job or an endpoint
 * @returns the lines about it, sorted by time; for an item also the lines about its job
 */
export function linesAbout (lines: readonly LogLine[], id: string): LogLine[] {
  const about = lines.filter(line => ID_FIELDS.some(field => line[field] === id))
  const ofItem = about.find(line => line.itemId === id)
  const aboutJob = ofItem === undefined ? [] : lines.filter(line => line.jobId === ofItem.jobId && line.itemId === undefined)
  return [...about, ...aboutJob].sort((a, b) => a.at < b.at ? -1 : a.at > b.at ? 1 : 0)
}

/** Fields that have a column of their own, or are of no use to the reader. */
const SHOWN_FIELDS = new Set(['at', 'process', 'message', 'level', 'slice'])

/**
 * @param line - a log line
 * @returns its remaining fields, as `name=value`
 */
export function formatFields (line: LogLine): string {
  return Object.entries(line)
    .filter(([name, value]) => !SHOWN_FIELDS.has(name) && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ')
}
