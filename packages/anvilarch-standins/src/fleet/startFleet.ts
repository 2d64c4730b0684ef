/** Starts the local fleet: stand-ins, agents and gateways as separate processes. For tests only; the daemons start no processes. */
import { join } from 'node:path'
import { AnvilarchError, createSystemClock, sleep } from 'anvilarch-utils'
import type { Faults } from '../common/faults'
import { CRASH_EXIT_CODE } from '../common/standinServer'
import { createFolders, writeFleetFile, writeSettingsFiles } from './fleetFile'
import { countPorts, planFleet } from './fleetPlan'
import { createHostListPublisher } from './hostList'
import { allocatePorts } from './ports'
import { createSupervisor, type Supervisor } from './supervisor'
import { DEFAULT_FLEET_OPTIONS, type Fleet, type FleetOptions, type ProcessExit, type ProcessRole, type ProcessSpec, validateFleetOptions } from './types'
import { respondsOk, callJson, waitFor } from './waits'

const DAEMON_ROLES: ProcessRole[] = ['gateway', 'agent']
const ENDPOINT_ROLES: ProcessRole[] = ['engine', 'plain']
/** Time for a daemon to drain when the fleet stops. */
const STOP_DAEMONS_MS = 5000
const STOP_STANDINS_MS = 1000
const clock = createSystemClock()

/**
 * @param overrides - options that differ from the defaults, and the folder to write to
 * @returns the fleet with every process running; daemons become ready once a configuration document has been applied
 */
export async function startFleet (overrides: Partial<FleetOptions> & { directory: string }): Promise<Fleet> {
  const options: FleetOptions = { ...DEFAULT_FLEET_OPTIONS, ...overrides }
  validateFleetOptions(options)
  const specs = planFleet(options, await allocatePorts(countPorts(options), options.basePort))
  createFolders(options.directory)
  const supervisors = new Map<string, Supervisor>()
  const allSupervisors = (): Supervisor[] => [...supervisors.values()]
  const writeFile = (): void => { writeFleetFile(options.directory, allSupervisors().map(supervisor => supervisor.process)) }
  for (const spec of specs) {
    supervisors.set(spec.name, createSupervisor(spec, {
      clock,
      logFile: join(options.directory, 'logs', `${spec.name}.log`),
      restartDelayMs: (ended, exit) => restartDelayMs(options, ended, exit),
      onChange: changed => {
        writeFile()
        if (changed.processId === undefined) hosts.recordExit(changed)
      }
    }))
  }
  const get = (name: string): Supervisor => {
    const supervisor = supervisors.get(name)
    if (supervisor !== undefined) return supervisor
    throw new AnvilarchError(`no process "${name}" in the fleet; known processes are ${[...supervisors.keys()].join(', ')}`, { code: 'not_found', step: 'fleet.get' })
  }
  const urlOf = (role: ProcessRole): string => get(role).process.spec.addresses.http
  const urls = { table: urlOf('table'), objects: urlOf('objects'), hosts: urlOf('hosts'), weights: urlOf('weights'), ledger: urlOf('ledger') }
  const hosts = createHostListPublisher(urls.hosts, allSupervisors().map(supervisor => supervisor.process), { clock, hostLossMs: options.hostLossMs })

  const waitUntilRunning = async (supervisor: Supervisor): Promise<void> => {
    const { process: started } = supervisor
    const { starts } = started
    await waitFor(async () => {
      if (started.processId === undefined && started.starts === starts) {
        throw new AnvilarchError(`"${started.spec.name}" exited with ${describeExit(started.lastExit)}; see its log ${started.logFile}`, { code: 'unavailable', step: 'fleet.start', peer: started.spec.name })
      }
      return await respondsOk(started.spec.aliveUrl)
    }, { clock, timeoutMs: options.startTimeoutMs, what: `"${started.spec.name}" to come up` })
  }

  const start = async (supervisor: Supervisor): Promise<void> => {
    supervisor.spawn()
    await waitUntilRunning(supervisor)
    if (supervisor.process.spec.hostEntry !== undefined) await hosts.set(supervisor.process.spec.name, 'live')
  }

  const stop = async (): Promise<void> => {
    for (const supervisor of allSupervisors()) supervisor.disableRestart()
    const isDaemon = (supervisor: Supervisor): boolean => DAEMON_ROLES.includes(supervisor.process.spec.role)
    await terminateAll(allSupervisors().filter(isDaemon), STOP_DAEMONS_MS)
    await terminateAll(allSupervisors().filter(supervisor => !isDaemon(supervisor)), STOP_STANDINS_MS)
  }

  const fleet: Fleet = {
    options,
    urls,
    processes: role => allSupervisors().map(supervisor => supervisor.process).filter(({ spec }) => role === undefined || spec.role === role),
    get: name => get(name).process,
    callerUrls: () => allSupervisors().flatMap(({ process: { spec } }) => spec.addresses.callers ?? []),
    spawn: async name => { await start(get(name)) },
    kill: (name, signal) => { get(name).kill(signal) },
    restart: async (name, signal = 'SIGTERM') => {
      get(name).kill(signal)
      await fleet.waitExit(name, options.startTimeoutMs)
      await start(get(name))
    },
    waitExit: async (name, timeoutMs) => await waitExit(get(name), timeoutMs),
    waitReady: async (names, timeoutMs = options.startTimeoutMs) => {
      const wanted = names?.map(get) ?? allSupervisors().filter(({ process: { spec } }) => DAEMON_ROLES.includes(spec.role))
      await Promise.all(wanted.map(async ({ process: { spec } }) => {
        await waitFor(async () => await respondsOk(spec.readyUrl), { clock, timeoutMs, what: `"${spec.name}" to be ready` })
      }))
    },
    setFaults: async (name, changes) => await callJson<Faults>('PUT', `${get(name).process.spec.addresses.http}/faults`, changes),
    setHostState: async (daemon, state) => { await hosts.set(daemon, state) },
    stop
  }

  writeSettingsFiles(fleet.processes())
  try {
    const standins = allSupervisors().filter(({ process: { spec } }) => !DAEMON_ROLES.includes(spec.role))
    await Promise.all(standins.map(async supervisor => { supervisor.spawn(); await waitUntilRunning(supervisor) }))
    await hosts.publish()
    const daemons = allSupervisors().filter(({ process: { spec } }) => DAEMON_ROLES.includes(spec.role))
    await Promise.all(daemons.map(async supervisor => { supervisor.spawn(); await waitUntilRunning(supervisor) }))
  } catch (error) {
    await stop()
    throw error
  }
  return fleet
}

/** Endpoints that were crashed by a request are restarted, as the platform would do; daemons only with `restartDaemons`. */
function restartDelayMs (options: FleetOptions, spec: ProcessSpec, exit: ProcessExit): number | undefined {
  if (ENDPOINT_ROLES.includes(spec.role) && exit.code === CRASH_EXIT_CODE) return options.restartMs
  if (DAEMON_ROLES.includes(spec.role) && options.restartDaemons) return options.restartMs
  return undefined
}

async function waitExit (supervisor: Supervisor, timeoutMs: number): Promise<ProcessExit> {
  const timeoutCanceller = new AbortController()
  const timeout = sleep(clock, timeoutMs, timeoutCanceller.signal).then(() => undefined)
  const exit = await Promise.race([supervisor.exited(), timeout])
  timeoutCanceller.abort()
  if (exit !== undefined) return exit
  throw new AnvilarchError(`"${supervisor.process.spec.name}" did not exit within ${timeoutMs} ms`, { code: 'deadline_exceeded', step: 'fleet.waitExit', peer: supervisor.process.spec.name })
}

/** Terminates processes. A stopped process (SIGSTOP) can't handle SIGTERM, so each one is continued first; it is killed after the timeout. */
async function terminateAll (supervisors: Supervisor[], timeoutMs: number): Promise<void> {
  await Promise.all(supervisors.map(async supervisor => {
    if (supervisor.process.processId === undefined) return
    supervisor.kill('SIGCONT')
    supervisor.kill('SIGTERM')
    try {
      await waitExit(supervisor, timeoutMs)
    } catch {
      supervisor.kill('SIGKILL')
      await supervisor.exited()
    }
  }))
}

function describeExit (exit: ProcessExit | undefined): string {
  return exit === undefined ? 'unknown status' : `code ${String(exit.code)}, signal ${String(exit.signal)}`
}
