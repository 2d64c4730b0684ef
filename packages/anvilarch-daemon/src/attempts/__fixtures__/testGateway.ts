/** In-process gateway in front of fake agents. */
import { createLifecycleManager, type LifecycleManager } from 'anvilarch-utils'
import { startCallersServer } from '../../callers'
import type { CallersServerOptions } from '../../callers/routeDeps'
import type { CallersServer } from '../../callers'
import type { DaemonContext } from '../../context'
import { createAgentClients } from '../../peers/agentClients'
import type { Quarantine } from '../../quarantine/types'
import { createRequestRunner } from '../requestRunner'
import type { RequestRunner } from '../types'
import { type FakeAgent, type FakeAgentOptions, startFakeAgent } from './fakeAgent'
import { createFakeDirectory, createFakeQuarantine, createTestContext, type FakeDirectory, type TestContextOptions } from './testContext'

export interface TestGateway {
  agents: FakeAgent[]
  context: DaemonContext
  directory: FakeDirectory
  quarantine: Quarantine
  runner: RequestRunner
  callers: CallersServer
  url: string
  lifecycle: LifecycleManager
  stop: () => Promise<void>
}

export interface TestGatewayOptions extends TestContextOptions {
  agents: FakeAgentOptions[]
  front?: Partial<CallersServerOptions>
}

export async function startTestGateway (options: TestGatewayOptions): Promise<TestGateway> {
  const agents = await Promise.all(options.agents.map(startFakeAgent))
  const context = createTestContext({ ...options, gateway: { routingPolicy: 'round_robin', ...options.gateway } })
  const directory = createFakeDirectory(agents.map(agent => agent.view))
  const quarantine = createFakeQuarantine()
  const clients = createAgentClients({ clock: context.clock, logger: context.logger })
  const runner = createRequestRunner(context, { directory, clients, quarantine })
  const lifecycle = createLifecycleManager({ clock: context.clock })
  const callers = await startCallersServer(context, { runner, directory, quarantine, routes: [], options: { readinessLeadMs: 0, ...options.front } }, lifecycle)
  const stop = async (): Promise<void> => {
    await lifecycle.stop()
    await clients.close()
    await Promise.all(agents.map(agent => agent.close()))
  }
  return { agents, context, directory, quarantine, runner, callers, url: `http://${callers.address}`, lifecycle, stop }
}
