/** Fleets of one or two real gateways with many light agents. */
import type { HostEntry } from 'anvilarch-protocol'
import { waitFor } from 'anvilarch-standins'
import { request } from 'undici'
import { getJson } from '../harness/fleetCounters'
import type { BenchFleet } from '../harness/fleetTypes'
import { BENCH_NAMES } from '../harness/openFleet'
import type { RunContext } from '../harness/types'
import { type BenchChild, startChild } from '../peers/childProcess'
import type { LightAgent, LightAgentsOptions, LightAgentStats } from '../peers/lightAgents'

/** A child process with light agents. */
export type LightAgentsChild = BenchChild<LightAgent[], LightAgentStats>

const FAILURE_DOMAINS = ['domain-a', 'domain-b']
const KNOWN_TIMEOUT_MS = 60_000

/**
 * Starts light agents, replaces the host list by the fleet's gateways and these agents, and waits until every gateway lists
 * all of them as serving.
 *
 * @param context - of the run
 * @param fleet - with real gateways; its own agents are removed from the list
 * @param count - how many light agents
 * @returns their process
 */
export async function addLightAgents (context: RunContext, fleet: BenchFleet, count: number): Promise<LightAgentsChild> {
  const options: Omit<LightAgentsOptions, 'clock'> = { count, service: fleet.services.plain, failureDomains: FAILURE_DOMAINS, region: BENCH_NAMES.region }
  const child = await startChild<LightAgent[], LightAgentStats>('lightAgents.js', options)
  try {
    await request(`${fleet.hosts.url}/hosts`, { method: 'PUT', body: JSON.stringify({ hosts: [...gatewayEntries(fleet), ...child.details.map(toHostEntry)] }) })
    await waitFor(async () => {
      const servingCounts = await Promise.all(fleet.gateways.map(gateway => countServing(gateway.origin)))
      return servingCounts.every(serving => serving >= count)
    }, { clock: context.clock, timeoutMs: KNOWN_TIMEOUT_MS, what: `the gateways to know ${count} light agents` })
    return child
  } catch (error) {
    await child.stop()
    throw error
  }
}

function gatewayEntries (fleet: BenchFleet): HostEntry[] {
  return fleet.local.processes('gateway').flatMap(gateway => gateway.spec.hostEntry ?? [])
}

function toHostEntry (agent: LightAgent): HostEntry {
  return { host: agent.name, role: 'agent', address: agent.address, failureDomain: agent.failureDomain, region: BENCH_NAMES.region, state: 'live' }
}

async function countServing (origin: string): Promise<number> {
  const status = await getJson<{ agents: Array<{ name: string, state: string }> }>(`${origin}/admin/v1/status`)
  return status.agents.filter(agent => agent.state === 'serving' && agent.name.startsWith('light-')).length
}
