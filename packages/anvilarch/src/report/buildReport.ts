/** Aggregates the logs of all processes into a report per second. */
import type { LogLine } from '../explain/readLogs'
import { findLosses } from './losses'
import type { LogReport, ReportMoment, ReportSecond } from './types'

const SECOND_MS = 1000

/** Messages about processes, the store, endpoints and the configuration that may explain failed requests. */
const MOMENT_MESSAGES: ReadonlySet<string> = new Set([
  'started', 'stopping', 'gateway stopped', 'runner stopped', 'stop cut short', 'stop waits for requests', 'configuration in force',
  'endpoint listed', 'endpoint removed from the list', 'endpoint entry not usable', 'engine started anew', 'store does not serve this host',
  'store answers again', 'feed lost', 'feed answers again', 'table listing failed', 'feed history lost, listing again', 'request in progress at a crash',
  'uncaught exception', 'unhandled rejection', 'runner step failed', 'background task failed'
])

/** Fields shown in the detail of a moment, in this order. */
const DETAIL_FIELDS = ['endpoint', 'state', 'version', 'table', 'reason', 'afterMs']

/**
 * @param lines - of all processes
 * @returns the report; it has no seconds if there are no lines
 */
export function buildReport (lines: readonly LogLine[]): LogReport {
  const startMs = lines.reduce((first, line) => Math.min(first, Date.parse(line.at)), Infinity)
  const secondOf = (line: LogLine): number => Math.floor((Date.parse(line.at) - startMs) / SECOND_MS)
  const lastSecond = lines.reduce((last, line) => Math.max(last, secondOf(line)), -1)
  const seconds = Array.from({ length: lastSecond + 1 }, (_, second) => emptySecond(second))
  for (const line of lines) addLine(seconds[secondOf(line)], line)
  return {
    startedAt: lines.length === 0 ? '' : new Date(startMs).toISOString(),
    processCount: new Set(lines.map(line => line.process)).size,
    lineCount: lines.length,
    seconds,
    moments: lines.filter(line => MOMENT_MESSAGES.has(line.message)).map(line => momentOf(line, secondOf(line))).sort((a, b) => a.second - b.second),
    losses: findLosses(lines, startMs)
  }
}

function emptySecond (second: number): ReportSecond {
  return {
    second,
    arrived: 0,
    answered: 0,
    late: 0,
    refused: 0,
    failed: 0,
    cut: 0,
    left: 0,
    inProgress: 0,
    slots: 0,
    online: 0,
    batchRunning: 0,
    batchPaused: 0,
    pauses: 0,
    configurationAgeMs: 0,
    endpointsAgeMs: 0
  }
}

/** Fields that are summed over all processes, by message. */
const SUMMED_FIELDS: ReadonlyMap<string, ReadonlyArray<keyof ReportSecond>> = new Map([
  ['traffic', ['arrived', 'answered', 'late', 'refused', 'failed', 'cut', 'left', 'inProgress']],
  ['engine use', ['slots', 'online', 'batchRunning', 'batchPaused']]
])

/** Fields of which the maximum over all processes is taken, by message. */
const MAXIMUM_FIELDS: ReadonlyMap<string, ReadonlyArray<keyof ReportSecond>> = new Map([
  ['traffic', ['configurationAgeMs', 'endpointsAgeMs']]
])

function addLine (second: ReportSecond, line: LogLine): void {
  for (const field of SUMMED_FIELDS.get(line.message) ?? []) second[field] += Number(line[field] ?? 0)
  for (const field of MAXIMUM_FIELDS.get(line.message) ?? []) second[field] = Math.max(second[field], Number(line[field] ?? 0))
  if (line.message === 'item paused') second.pauses++
}

function momentOf (line: LogLine, second: number): ReportMoment {
  const detail = DETAIL_FIELDS.filter(field => line[field] !== undefined).map(field => `${field}=${String(line[field])}`).join(' ')
  return { second, process: line.process, message: line.message, detail }
}
