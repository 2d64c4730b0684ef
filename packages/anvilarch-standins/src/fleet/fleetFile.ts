/** Writes the files of the fleet: the settings of the daemons, and `fleet.json` with the addresses and process ids for external tests. */
import { existsSync, mkdirSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { AnvilarchError } from 'anvilarch-utils'
import { DEFAULT_FAULTS } from '../common/faults'
import type { FleetProcess } from './types'

const SETTINGS_HEADER = '// Written by the fleet script at each start; the daemon reads it once, when it starts.\n'

/**
 * Writes the settings file of each daemon.
 *
 * @param processes - the processes of the fleet
 */
export function writeSettingsFiles (processes: FleetProcess[]): void {
  for (const { spec } of processes) {
    if (spec.settingsFile === undefined) continue
    writeFileSync(spec.settingsFile, SETTINGS_HEADER + JSON.stringify(spec.settings, null, 2) + '\n')
  }
}

/**
 * Creates the folders of the fleet, and removes the stored faults of an earlier one.
 *
 * @param directory - folder of the fleet
 * @throws AnvilarchError when another fleet runs there, whose files would be overwritten
 */
export function createFolders (directory: string): void {
  const runningFleetPid = findRunningFleet(directory)
  if (runningFleetPid !== undefined) {
    throw new AnvilarchError(`a fleet is running in "${directory}" as process ${runningFleetPid}; stop it first or choose another --directory`, { code: 'conflict', step: 'fleet.start' })
  }
  mkdirSync(join(directory, 'settings'), { recursive: true })
  mkdirSync(join(directory, 'logs'), { recursive: true })
  // Faults that a crash in an earlier fleet has stored must not apply to this one.
  rmSync(join(directory, 'faults'), { recursive: true, force: true })
  mkdirSync(join(directory, 'faults'))
}

function findRunningFleet (directory: string): number | undefined {
  const file = join(directory, 'fleet.json')
  if (!existsSync(file)) return undefined
  const { fleetPid } = JSON.parse(readFileSync(file, 'utf8')) as { fleetPid: number }
  if (fleetPid === process.pid) return undefined
  try {
    process.kill(fleetPid, 0)
    return fleetPid
  } catch {
    return undefined
  }
}

/**
 * Writes the file under another name and then renames it, so that a reader never gets an incomplete file.
 *
 * @param directory - folder of the fleet
 * @param processes - the current state of the processes
 */
export function writeFleetFile (directory: string, processes: FleetProcess[]): void {
  const file = join(directory, 'fleet.json')
  writeFileSync(`${file}.next`, JSON.stringify(describeFleet(processes), null, 2) + '\n')
  renameSync(`${file}.next`, file)
}

function describeFleet (processes: FleetProcess[]): object {
  return {
    fleetPid: process.pid,
    processes: processes.map(describeProcess),
    faults: {
      how: 'Each stand-in (every process except gateways and agents) serves GET and PUT /faults and GET /ledger at its http address. PUT merges the given fields into the current faults.',
      example: 'curl -X PUT <http address>/faults -d \'{"latencyMs":200}\'',
      switches: DEFAULT_FAULTS,
      meaning: {
        latencyMs: 'delay added to each request, half before it takes effect and half before the response',
        outage: 'responds with 503 to every request without processing it',
        frozen: 'accepts requests without ever responding; streams are paused',
        loseReplies: 'share from 0 to 1 of requests that take effect and whose connection is then closed without a response',
        silence: 'true permanently silences the connections that are open; new connections work',
        lagMs: 'delay with which lists, load reports and cache events become visible',
        crashOn: 'a request that contains this text ends the process with exit code 70 when it runs; the fleet restarts it with the same faults',
        failOn: 'a request that contains this text fails with 500',
        failShare: 'share from 0 to 1 of an engine\'s work requests that fail with 500 before they run; health checks still succeed'
      },
      ledger: 'The process "ledger" collects the executions of all endpoints and keeps running when they end: GET <http address>/ledger, or /ledger?request=ID.'
    }
  }
}

function describeProcess (fleetProcess: FleetProcess): object {
  const { spec } = fleetProcess
  return {
    name: spec.name,
    role: spec.role,
    pid: fleetProcess.processId ?? null,
    addresses: spec.addresses,
    settingsFile: spec.settingsFile,
    fronts: spec.fronts,
    logFile: fleetProcess.logFile,
    starts: fleetProcess.starts,
    lastExit: fleetProcess.lastExit
  }
}
