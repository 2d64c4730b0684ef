/** Reads log lines of all processes and picks those that tell of one request, item or job. */

/** A log line; its fields depend on its message. */
export interface LogLine {
  /** ISO 8601. */
  at: string
  process: string
  message: string
  [field: string]: unknown
}

/** Fields by which a line names what it tells of. */
const ID_FIELDS = ['requestId', 'itemId', 'jobId', 'endpoint'] as const

/**
 * @param text - output of one or more processes; other text may stand before the JSON of a line
 * @returns the lines that hold a log entry
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
    // Text that is no log line stands between them, such as the output of another program.
    return undefined
  }
}

/**
 * @param lines - of all processes
 * @param id - of a request, an item, a job or an endpoint
 * @returns the lines about it, in the order of their times; of an item also those about its job
 */
export function linesAbout (lines: readonly LogLine[], id: string): LogLine[] {
  const about = lines.filter(line => ID_FIELDS.some(field => line[field] === id))
  const ofItem = about.find(line => line.itemId === id)
  const aboutJob = ofItem === undefined ? [] : lines.filter(line => line.jobId === ofItem.jobId && line.itemId === undefined)
  return [...about, ...aboutJob].sort((a, b) => a.at < b.at ? -1 : a.at > b.at ? 1 : 0)
}

/** Fields that are shown in columns of their own, or say nothing here. */
const SHOWN_FIELDS = new Set(['at', 'process', 'message', 'level', 'slice'])

/**
 * @param line - a log line
 * @returns its other fields, as `name=value`
 */
export function formatFields (line: LogLine): string {
  return Object.entries(line)
    .filter(([name, value]) => !SHOWN_FIELDS.has(name) && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ')
}
