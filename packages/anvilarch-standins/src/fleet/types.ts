/** Options and interface of the local fleet. */
import type { AgentSettings, DaemonSettings, GatewaySettings } from 'anvilarch-configuration'
import type { HostEntry } from 'anvilarch-protocol'
import { AnvilarchError } from 'anvilarch-utils'
import type { Faults } from '../common/faults'
import type { EngineOptions } from '../engine/types'
import { DEFAULT_SERVICE_MS } from '../plain/plainStandin'
import { DEFAULT_MAX_CONCURRENT_TRANSFERS, DEFAULT_TRANSFER_MS } from '../weights/weightStandin'

/** Role of a process of the fleet. */
export type ProcessRole = 'table' | 'objects' | 'hosts' | 'weights' | 'ledger' | 'engine' | 'plain' | 'gateway' | 'agent'

/** Options of `startFleet`. */
export interface FleetOptions {
  /** Folder for settings, logs and `fleet.json`. */
  directory: string
  gateways: number
  modelEndpoints: number
  plainEndpoints: number
  /** Number of endpoints behind one agent. */
  endpointsPerAgent: number
  /** First port; 0 for any free ones. */
  basePort: number
  /** Region and failure domains, to which the hosts are assigned round-robin. The configuration document must contain them. */
  region: string
  failureDomains: string[]
  /** Service of the plain endpoints. */
  plainService: string
  /** Whether the engines reject orders with an old fencing token. */
  checksFencing: boolean
  engine: Partial<EngineOptions>
  serviceMs: number
  weights: { maxConcurrent: number, transferMs: number }
  /** Lag of the host list. */
  hostListLagMs: number
  /** Delay before an endpoint that was crashed by a request is restarted. */
  restartMs: number
  /** Whether daemons that have exited are restarted too. */
  restartDaemons: boolean
  /** Delay before the host of a daemon that has exited is removed from the list of hosts. */
  hostLossMs: number
  logLevel: DaemonSettings['log']['level']
  gatewaySettings: Partial<GatewaySettings>
  agentSettings: Partial<Omit<AgentSettings, 'endpoints'>>
  /** Adjusts the planned settings of each daemon. */
  adjustSettings?: (settings: FleetDaemonSettings) => FleetDaemonSettings
  /** Address of a daemon in the list of hosts; its listening address by default. A test can put a relay in front of the daemon. */
  hostAddress?: (settings: FleetDaemonSettings) => string
  /** Maximum time for a process to come up. */
  startTimeoutMs: number
}

/** The fleet of the demo: small, in two failure domains, with engines fast enough for a demo of one minute. */
export const DEFAULT_FLEET_OPTIONS: Omit<FleetOptions, 'directory'> = {
  gateways: 2,
  modelEndpoints: 3,
  plainEndpoints: 2,
  endpointsPerAgent: 1,
  basePort: 0,
  region: 'local',
  failureDomains: ['domain-a', 'domain-b'],
  plainService: 'lookup',
  checksFencing: true,
  engine: {},
  serviceMs: DEFAULT_SERVICE_MS,
  weights: { maxConcurrent: DEFAULT_MAX_CONCURRENT_TRANSFERS, transferMs: DEFAULT_TRANSFER_MS },
  hostListLagMs: 1000,
  restartMs: 1000,
  restartDaemons: false,
  hostLossMs: 5000,
  logLevel: 'info',
  gatewaySettings: {},
  agentSettings: {},
  startTimeoutMs: 20_000
}

/**
 * @param options - options to check
 * @throws AnvilarchError that names the option, when one is out of range
 */
export function validateFleetOptions (options: FleetOptions): void {
  const minimums: Array<[keyof FleetOptions, number]> = [['gateways', 1], ['modelEndpoints', 0], ['plainEndpoints', 0], ['endpointsPerAgent', 1], ['basePort', 0]]
  for (const [name, minimum] of minimums) {
    const value = options[name]
    if (Number.isInteger(value) && (value as number) >= minimum) continue
    throw new AnvilarchError(`fleet option "${name}" is ${String(value)}; expected a whole number from ${minimum}`, { code: 'bad_request', step: 'fleet.options' })
  }
  if (options.failureDomains.length === 0) throw new AnvilarchError('fleet option "failureDomains" is empty', { code: 'bad_request', step: 'fleet.options' })
}

/** Settings as written by the fleet; the daemon applies its defaults to omitted ones. */
export type FleetDaemonSettings = Omit<DaemonSettings, 'platform' | 'agent' | 'gateway'> & {
  platform: Pick<DaemonSettings['platform'], 'tableUrl' | 'objectsUrl' | 'hostsUrl'>
  agent?: Partial<AgentSettings>
  gateway?: Partial<GatewaySettings>
}

/** Start command, addresses and settings of one process. */
export interface ProcessSpec {
  name: string
  role: ProcessRole
  script: string
  arguments: string[]
  /** Addresses by purpose: `http` of a stand-in; `callers`, `peers` and `operations` of a daemon. */
  addresses: Record<string, string>
  /** Address that responds once the process is running. */
  aliveUrl: string
  /** Address that responds with 200 once the process is ready. */
  readyUrl: string
  settings?: FleetDaemonSettings
  settingsFile?: string
  /** Entry of the daemon's host in the list of hosts. */
  hostEntry?: HostEntry
  /** Process names of the endpoints behind an agent. They are also the endpoint names in the settings of the agent. */
  fronts?: string[]
}

/** Exit code and signal of a process. */
export interface ProcessExit {
  code: number | null
  signal: NodeJS.Signals | null
}

/** State of a process of the fleet. */
export interface FleetProcess {
  spec: ProcessSpec
  /** Undefined while it is not running. */
  processId: number | undefined
  /** Number of starts. */
  starts: number
  lastExit: ProcessExit | undefined
  logFile: string
}

/** A running fleet. */
export interface Fleet {
  options: FleetOptions
  /** Addresses of the stand-ins of the platform services. */
  urls: Record<'table' | 'objects' | 'hosts' | 'weights' | 'ledger', string>
  processes: (role?: ProcessRole) => FleetProcess[]
  /** @throws AnvilarchError when there is no process of that name */
  get: (name: string) => FleetProcess
  /** Caller-facing HTTP addresses of the gateways. */
  callerUrls: () => string[]
  /** Starts a process that is not running. */
  spawn: (name: string) => Promise<void>
  kill: (name: string, signal: NodeJS.Signals) => void
  /** Terminates a process by a signal, waits for its exit and starts it again. */
  restart: (name: string, signal?: NodeJS.Signals) => Promise<void>
  /** @returns exit code and signal of the process, once it has exited */
  waitExit: (name: string, timeoutMs: number) => Promise<ProcessExit>
  /** Waits until the processes, all daemons by default, are ready. */
  waitReady: (names?: string[], timeoutMs?: number) => Promise<void>
  setFaults: (name: string, changes: Partial<Faults>) => Promise<Faults>
  /** Sets the state of a host in the list of hosts; `gone` removes it from the list. */
  setHostState: (daemon: string, state: 'live' | 'leaving' | 'gone') => Promise<void>
  /** Terminates every process of the fleet. */
  stop: () => Promise<void>
}
