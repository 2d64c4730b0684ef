/** Starts the fleet of a soak, with relays on the connections that can be stalled or delayed. */
import { type Fleet, type FleetDaemonSettings, startFleet } from 'anvilarch-standins'
import type { FleetRelays } from '../faults/types'
import { HOST_LIST_LAG_MS } from '../faults/faultTable'
import { CRASH_MARKER, FAIL_MARKER, PLAIN_SERVICE } from '../load/types'
import { startFaultRelay } from '../relay/faultRelay'

/** A running fleet with its relays. */
export interface SoakFleet {
  fleet: Fleet
  relays: FleetRelays
  stop: () => Promise<void>
}

/** Options of `openSoakFleet`. */
export interface SoakFleetOptions {
  directory: string
  /** Whether engines reject orders with a stale fencing token. */
  checksFencing: boolean
}

const GATEWAYS = 3
const MODEL_ENDPOINTS = 3
const PLAIN_ENDPOINTS = 2
const PLATFORM = ['table', 'objects', 'hosts'] as const
/** Short, so that the lease of a paused process expires within a few seconds. */
const LEASE_MS = 4000
const POLL_INTERVAL_MS = 1000
const PART_ITEMS = 40

/**
 * @param options - where to write settings and logs, and whether engines check fencing tokens
 * @returns the fleet; its daemons are running, but have no configuration document yet
 */
export async function openSoakFleet (options: SoakFleetOptions): Promise<SoakFleet> {
  const agentNames = Array.from({ length: MODEL_ENDPOINTS + PLAIN_ENDPOINTS }, (_, index) => `agent-${index + 1}`)
  const relays: FleetRelays = {
    agents: new Map(await Promise.all(agentNames.map(async name => [name, await startFaultRelay()] as const))),
    platform: new Map(await Promise.all(PLATFORM.map(async name => [name, await startFaultRelay()] as const)))
  }
  const all = [...relays.agents.values(), ...relays.platform.values()]
  const fleet = await startFleet({
    directory: options.directory,
    gateways: GATEWAYS,
    modelEndpoints: MODEL_ENDPOINTS,
    plainEndpoints: PLAIN_ENDPOINTS,
    plainService: PLAIN_SERVICE,
    checksFencing: options.checksFencing,
    hostListLagMs: HOST_LIST_LAG_MS,
    gatewaySettings: { leaseMs: LEASE_MS, pollIntervalMs: POLL_INTERVAL_MS, partItems: PART_ITEMS, drainTimeoutMs: DRAIN_TIMEOUT_MS },
    agentSettings: { drainTimeoutMs: DRAIN_TIMEOUT_MS },
    adjustSettings: settings => routeThroughRelays(settings, relays),
    hostAddress: ({ name, listen }) => relays.agents.get(name)?.address ?? listen.peers
  })
  await setEngineMarkers(fleet)
  return {
    fleet,
    relays,
    stop: async () => {
      await fleet.stop()
      await Promise.all(all.map(async relay => { await relay.close() }))
    }
  }
}

const DRAIN_TIMEOUT_MS = 40_000

function routeThroughRelays (settings: FleetDaemonSettings, relays: FleetRelays): FleetDaemonSettings {
  const { tableUrl, objectsUrl, hostsUrl } = settings.platform
  const through = (name: typeof PLATFORM[number], url: string): string => {
    const relay = relays.platform.get(name)
    if (relay === undefined) return url
    relay.setTarget(new URL(url).host)
    return `http://${relay.address}`
  }
  relays.agents.get(settings.name)?.setTarget(settings.listen.peers)
  return {
    ...settings,
    platform: { tableUrl: through('table', tableUrl), objectsUrl: through('objects', objectsUrl), hostsUrl: through('hosts', hostsUrl) }
  }
}

/** Passes the markers as arguments too: a restarted engine without them would complete the request that crashed it before. */
async function setEngineMarkers (fleet: Fleet): Promise<void> {
  const faults = { crashOn: CRASH_MARKER, failOn: FAIL_MARKER }
  for (const { spec } of fleet.processes('engine')) {
    spec.arguments.push('--faults', JSON.stringify(faults))
    await fleet.setFaults(spec.name, faults)
  }
}
