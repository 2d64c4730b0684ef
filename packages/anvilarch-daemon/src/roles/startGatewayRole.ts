/** The `gateway` role: the process that serves callers. */
import { ROW_KEYS } from 'anvilarch-protocol'
import { createRequestRunner } from '../attempts/requestRunner'
import { createSuspects } from '../attempts/suspects'
import { startCallersServer } from '../callers/callersServer'
import type { CallersServer } from '../callers/types'
import { startConfigurationPoll } from '../configuration/startConfigurationPoll'
import type { DaemonContext } from '../context'
import { startJobs } from '../jobs/startJobs'
import type { JobsHandle } from '../jobs/types'
import { startHeartbeat } from '../leases/startHeartbeat'
import { startLeaseObserver } from '../leases/startLeaseObserver'
import { startSingleLease } from '../leases/startSingleLease'
import type { GatewayDescription } from '../leases/types'
import { bootstrapConfiguration } from '../membership/bootstrapConfiguration'
import { type Membership, startMembership } from '../membership/startMembership'
import { createAdminRoutes } from '../operations/adminRoutes'
import { createAgentClients } from '../peers/agentClients'
import { startPlacement } from '../placement/startPlacement'
import { startQuarantine } from '../quarantine/startQuarantine'
import type { StartedRole, StartRole } from './types'

/** Components that the description of this gateway includes, once they have started. */
interface DescribedParts {
  callers?: CallersServer
  jobs?: JobsHandle
}

/**
 * Components that work in progress depends on start before it, and therefore stop after it: the connections first, the
 * HTTP server for callers nearly last. The placement lease and placement start last, so that a gateway releases the lease
 * at once when it starts a drain, which may take minutes.
 */
export const startGatewayRole: StartRole = async (context, lifecycle, operationsAddress) => {
  const described: DescribedParts = {}
  const describe = (): GatewayDescription => describeGateway(context, described, operationsAddress)

  const clients = createAgentClients({ clock: context.clock, logger: context.logger })
  await lifecycle.start({ name: 'connections to agents', stop: async () => { await clients.close() } })
  const quarantine = await startQuarantine(context, lifecycle)
  const suspects = createSuspects()
  const directory = await startMembership(context, { clients, quarantine, suspects }, lifecycle)
  await startConfigurationPoll(context, {
    intervalMs: context.settings.gateway.pollIntervalMs,
    firstIntervalMs: context.settings.gateway.pollIntervalMs,
    onNoSource: async () => { await bootstrapConfiguration(context, { clients, directory }) }
  }, lifecycle)

  const heartbeat = await startHeartbeat(context, lifecycle, describe)
  const observer = await startLeaseObserver(context, lifecycle, heartbeat)

  const runner = createRequestRunner(context, { directory, clients, quarantine, suspects })
  const jobs = await startJobs(context, { runner, directory, heartbeat, observer }, lifecycle)
  described.jobs = jobs
  const routes = createAdminRoutes(context, { directory, clients, observer, describeSelf: () => ({ instance: heartbeat.instance, ...describe() }) })
  const callers = await startCallersServer(context, { runner, directory, quarantine, routes: [...jobs.routes, ...routes] }, lifecycle)
  described.callers = callers
  const lease = await startSingleLease(context, lifecycle, { key: ROW_KEYS.placementLease, observer, heartbeat })
  await startPlacement(context, { lease, directory, clients }, lifecycle)
  return startedGateway(callers, jobs, directory)
}

function describeGateway (context: DaemonContext, described: DescribedParts, operationsAddress: string): GatewayDescription {
  return {
    address: described.callers?.address ?? context.settings.listen.callers ?? '',
    operationsAddress,
    configurationVersion: context.configuration.version(),
    state: described.callers?.state() ?? 'serving',
    heldParts: described.jobs?.heldParts() ?? 0
  }
}

function startedGateway (callers: CallersServer, jobs: JobsHandle, directory: Membership): StartedRole {
  return {
    readiness: () => {
      if (callers.state() !== 'serving') return { ready: false, reason: 'draining' }
      return directory.isInitialized() ? { ready: true, reason: '' } : { ready: false, reason: 'agents not asked yet' }
    },
    drain: async () => { await Promise.all([callers.drain(), jobs.drain()]) }
  }
}
