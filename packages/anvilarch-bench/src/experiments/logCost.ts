/** Cost of logging: lines, bytes and CPU time of a request on the platform, by level of detail. */
import { PassThrough } from 'node:stream'
import { createBoundedLog, createRequestLog, createServingMetrics, type EventFields, type EventLog } from 'anvilarch-serving'
import { createLogger, SILENT_LOGGER } from 'anvilarch-utils'
import type { Experiment, RunContext, Variant, VariantRun } from '../harness/types'
import { barsByFigure } from '../plots/resultPlots'

/**
 * Percentages of requests that are refused at once and that fail after an attempt, under the heaviest load in
 * docs/MEASUREMENTS.md (volume of logs).
 */
const REFUSED_PERCENT = 5
const FAILED_PERCENT = 3

const REQUESTS_PER_ROUND = 2000
const MICROSECONDS_PER_MS = 1000

/** Level of detail that is logged for a request. */
type Detail = 'nothing' | 'one_line' | 'by_outcome' | 'everything'

export const logCost: Experiment = {
  name: 'logCost',
  question: 'What do logs cost a request, by what is written of it?',
  defaults: { runs: 5, seconds: 3 },
  warmUpMs: 500,
  variants: () => [variant('nothing'), variant('one_line'), variant('by_outcome'), variant('everything')],
  aims: [
    { text: 'lines by outcome take no more than 0.1 ms of processor time a request', variant: 'by_outcome', figure: 'processorMsPerRequest', compare: 'value', bound: 'at_most', limit: 0.1 }
  ],
  summary: ['linesPerRequest', 'bytesPerRequest', 'processorMsPerRequest'],
  plots: result => [
    barsByFigure(result, { processorMsPerRequest: 'processor time of a request' }, { name: 'log-cost', title: 'Processor time of logs', yLabel: 'ms' })
  ]
}

function variant (detail: Detail): Variant {
  return { name: detail, settings: { detail }, run: context => measure(context, detail) }
}

async function measure (context: RunContext, detail: Detail): Promise<VariantRun> {
  const output = new PassThrough()
  const counts = { lines: 0, bytes: 0 }
  output.on('data', (chunk: Buffer) => { counts.bytes += chunk.length })
  const write = createBoundedLog(output, createServingMetrics().logLinesDropped)
  const log: EventLog = detail === 'nothing'
    ? SILENT_LOGGER
    : createLogger({
      level: 'info',
      process: 'frontend-1',
      write: line => {
        counts.lines++
        write(line)
      }
    })
  await logRequestsFor(context, context.warmUpMs, log, detail)
  counts.lines = 0
  counts.bytes = 0
  const before = process.cpuUsage()
  const requests = await logRequestsFor(context, context.durationMs, log, detail)
  const cpuUsage = process.cpuUsage(before)
  return {
    figures: {
      linesPerRequest: counts.lines / requests,
      bytesPerRequest: counts.bytes / requests,
      processorMsPerRequest: (cpuUsage.user + cpuUsage.system) / MICROSECONDS_PER_MS / requests
    }
  }
}

/** @returns the number of requests that were logged */
async function logRequestsFor (context: RunContext, durationMs: number, log: EventLog, detail: Detail): Promise<number> {
  const untilMs = context.clock.nowMs() + durationMs
  let requests = 0
  while (context.clock.nowMs() < untilMs) {
    for (let index = 0; index < REQUESTS_PER_ROUND; index++) logRequest(log, detail, `${context.round}-${requests++}`, requests % 100)
    // Lets the output stream write, as between the requests of a gateway.
    await new Promise(resolve => setImmediate(resolve))
  }
  return requests
}

function logRequest (log: EventLog, detail: Detail, requestId: string, percentile: number): void {
  const failed = percentile < FAILED_PERCENT
  const refused = !failed && percentile < FAILED_PERCENT + REFUSED_PERCENT
  const requestLog = createRequestLog(log)
  if (detail === 'everything') requestLog.flush()
  const logsDetails = detail === 'by_outcome' || detail === 'everything'
  if (logsDetails && !refused) {
    requestLog.note('endpoint chosen', { requestId, endpoint: 'i-25e40e7ffa', softwareVersion: 'v1.2', online: 5, batchRunning: 2, slots: 8, suspected: false, eventIntervalMs: 18, candidateCount: 6, loadAgeMs: 1, remainingMs: 4983, afterMs: 2 })
    requestLog.note('answer begun', { requestId, endpoint: 'i-25e40e7ffa', status: 200, afterMs: 31 })
  }
  if (logsDetails && failed) {
    requestLog.flush()
    log.info('attempt failed', { requestId, reason: 'UND_ERR_SOCKET', drainMs: undefined, failure: 'may_have_run', endpoint: 'i-25e40e7ffa', lastEventId: 12, remainingMs: 4732, sharedPrefixes: '5c1e07a2,91bd3f06' })
  }
  if (logsDetails && refused) log.info('request refused', { requestId, reason: 'queue_full', account: undefined, shareOfUse: 1, waitMs: 2475, allowedMs: 2467, remainingMs: 4000, retryAfterMs: 818, candidateCount: 6, knownCount: 6, suspectedCount: 0, leastOnline: 9, slots: 8 })
  log.info('request ended', requestEndFields(requestId, failed ? 'broken_off' : refused ? 'overloaded' : 'answered'))
}

function requestEndFields (requestId: string, outcome: string): EventFields['request ended'] {
  return { requestId, outcome, drainMs: undefined, elapsedMs: 794, status: 200, endpoint: 'i-25e40e7ffa', route: 'r-pes2etv', kind: 'stream', configurationVersion: 7, attempts: 1, offers: 1, lastEventId: 35, firstEventMs: 31 }
}
