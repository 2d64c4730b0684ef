/**
 * Finds invariant violations in the logs of the daemons. Under test a violation ends its process at once, so the metric
 * that counts it can no longer be read.
 */
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import type { ViolationReading } from '../types'

/** Message that daemons log for a violation. */
const MESSAGE = 'an invariant does not hold'
const LOG_SUFFIX = '.log'
/** Log lines do not contain the process id. */
const UNKNOWN_PROCESS_ID = 0

/**
 * @param directory - folder of the fleet's logs
 * @param known - violations found in the metrics
 * @returns the violations that only the logs contain
 */
export function readViolations (directory: string, known: readonly ViolationReading[]): ViolationReading[] {
  const found = new Map<string, ViolationReading>()
  for (const file of readdirSync(directory).filter(name => name.endsWith(LOG_SUFFIX))) {
    const daemon = file.slice(0, -LOG_SUFFIX.length)
    for (const name of violationNames(readFileSync(join(directory, file), 'utf8'))) {
      if (known.some(reading => reading.daemon === daemon && reading.name === name)) continue
      const reading = found.get(`${daemon} ${name}`) ?? { daemon, processId: UNKNOWN_PROCESS_ID, name, count: 0 }
      reading.count++
      found.set(`${daemon} ${name}`, reading)
    }
  }
  return [...found.values()]
}

/**
 * @param log - lines of one daemon
 * @returns name of the invariant of each violation
 */
export function violationNames (log: string): string[] {
  return log.split('\n').filter(line => line.includes(MESSAGE)).map(line => (JSON.parse(line) as { name: string }).name)
}
