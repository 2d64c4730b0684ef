/** Polls the metrics of all daemons for configuration versions, process pauses and invariant violations, and restarts daemons that exited unexpectedly. */
import type { Fleet, FleetProcess } from 'anvilarch-standins'
import { type Clock, sleep } from 'anvilarch-utils'
import { Agent } from 'undici'
import { type MetricSample, parseMetrics, sumMetric } from '../../sampling/metricsReader'
import type { Evidence } from '../types'

/** Options of `watchDaemons`. */
export interface WatchOptions {
  fleet: Fleet
  clock: Clock
  evidence: Evidence
  /** Whether a fault has claimed this process, so that its exit is expected. */
  isUnderFault: (name: string) => boolean
  log: (line: string) => void
}

/** A running watch. */
export interface DaemonWatch {
  /** Reads all daemons once more. */
  readNow: () => Promise<void>
  stop: () => void
}

const POLL_INTERVAL_MS = 400
const READ_TIMEOUT_MS = 1500
const VERSION_METRIC = 'anvilarch_configuration_version'
const VIOLATION_METRIC = 'anvilarch_invariant_violations_total'
const PAUSE_METRIC = 'anvilarch_own_pauses_total'

/**
 * @param options - the fleet, and where to record
 * @returns the watch, which runs until it is stopped
 */
export function watchDaemons (options: WatchOptions): DaemonWatch {
  const { fleet, clock } = options
  const stopping = new AbortController()
  const dispatcher = new Agent({ pipelining: 0 })
  const daemons = [...fleet.processes('gateway'), ...fleet.processes('agent')]

  const read = async (daemon: FleetProcess): Promise<void> => {
    const { processId } = daemon
    if (processId === undefined) return
    const samples = await readSamples(daemon.spec.addresses.operations, dispatcher)
    // The process may have been replaced during the read, and the metrics may be of either one.
    if (samples === undefined || daemon.processId !== processId) return
    record(options, daemon.spec.name, processId, samples)
  }
  const watch = async (daemon: FleetProcess): Promise<void> => {
    while (!stopping.signal.aborted) {
      if (daemon.processId === undefined && !options.isUnderFault(daemon.spec.name)) await restart(options, daemon)
      await read(daemon)
      await sleep(clock, POLL_INTERVAL_MS, stopping.signal)
    }
  }
  for (const daemon of daemons) watch(daemon).catch(error => { options.log(`watching ${daemon.spec.name} failed: ${String(error)}`) })
  return {
    readNow: async () => { await Promise.all(daemons.map(read)) },
    stop: () => { stopping.abort() }
  }
}

function record ({ clock, evidence, log }: WatchOptions, daemon: string, processId: number, samples: MetricSample[]): void {
  const atMs = clock.wallMs()
  evidence.versions.push({ daemon, processId, atMs, version: sumMetric(samples, VERSION_METRIC) })
  const pauses = sumMetric(samples, PAUSE_METRIC) - pausesSoFar(evidence, processId)
  if (pauses > 0) evidence.pauses.push({ daemon, processId, atMs, count: pauses })
  for (const { labels, value } of samples.filter(sample => sample.name === VIOLATION_METRIC && sample.value > 0)) {
    const known = evidence.violations.find(reading => reading.processId === processId && reading.name === labels.name)
    if (known === undefined) {
      evidence.violations.push({ daemon, processId, name: labels.name, count: value })
      log(`invariant "${labels.name}" is violated at ${daemon}`)
    } else {
      known.count = value
    }
  }
}

async function restart ({ clock, evidence, fleet, log }: WatchOptions, daemon: FleetProcess): Promise<void> {
  const { code, signal } = daemon.lastExit ?? { code: null, signal: null }
  const { name } = daemon.spec
  evidence.unplannedExits.push({ daemon: name, atMs: clock.wallMs(), exit: `code ${String(code)}, signal ${String(signal)}` })
  log(`${name} exited unexpectedly with code ${String(code)}, signal ${String(signal)}; restarting it`)
  await fleet.spawn(name).catch((error: Error) => { log(`${name} did not start: ${error.message}`) })
}

function pausesSoFar (evidence: Evidence, processId: number): number {
  return evidence.pauses.filter(reading => reading.processId === processId).reduce((sum, { count }) => sum + count, 0)
}

async function readSamples (operationsUrl: string, dispatcher: Agent): Promise<MetricSample[] | undefined> {
  try {
    const response = await dispatcher.request({ origin: operationsUrl, path: '/metrics', method: 'GET', signal: AbortSignal.timeout(READ_TIMEOUT_MS) })
    const text = await response.body.text()
    return response.statusCode === 200 ? parseMetrics(text) : undefined
  } catch {
    return undefined
  }
}
