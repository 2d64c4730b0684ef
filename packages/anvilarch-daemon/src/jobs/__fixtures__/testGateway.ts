/** Leases and jobs of a gateway, on an in-memory platform and the system clock. */
import { createLifecycleManager, createRandom, createSystemClock, type LifecycleManager } from 'anvilarch-utils'
import type { DaemonContext } from '../../context'
import { startHeartbeat } from '../../leases/startHeartbeat'
import { startLeaseObserver } from '../../leases/startLeaseObserver'
import { startJobs } from '../startJobs'
import type { JobsHandle } from '../types'
import { createFakeRunner, type FakeRunner, type FakeRunnerOptions } from './fakeRunner'
import { createFaultyPlatform, noFaults, type PlatformFaults } from './faultyPlatform'
import { createMemoryStore, type MemoryStore } from './memoryStore'
import { createTestContext, STATIC_DIRECTORY, type TestContextOptions } from './testContext'
import { startTestServer, type TestServer } from './testServer'

/** A gateway under test. */
export interface TestGateway {
  context: DaemonContext
  store: MemoryStore
  faults: PlatformFaults
  runner: FakeRunner
  jobs: JobsHandle
  server: TestServer
  lifecycle: LifecycleManager
  /** Advances the wall clock without affecting timers. */
  skipTime: (skippedMs: number) => void
  stop: () => Promise<void>
}

/** Options of `startTestGateway`. */
export interface TestGatewayOptions extends Partial<Pick<TestContextOptions, 'gateway' | 'document' | 'name'>> {
  store?: MemoryStore
  runner?: Partial<FakeRunnerOptions>
}

/**
 * @param options - differences from the default gateway
 * @returns the started gateway
 */
export async function startTestGateway (options: TestGatewayOptions = {}): Promise<TestGateway> {
  const system = createSystemClock()
  let skippedMs = 0
  const clock = { ...system, wallMs: () => system.wallMs() + skippedMs }
  const store = options.store ?? createMemoryStore()
  const faults = noFaults()
  const random = createRandom(7)
  const platform = createFaultyPlatform({ store, faults, clock, random, timeoutMs: 50 })
  const gateway = { pollIntervalMs: 30, drainTimeoutMs: 1_000, ...options.gateway }
  const context = createTestContext({ name: options.name ?? 'g', incarnation: '1', clock, platform, seed: 7, document: options.document, gateway })
  const lifecycle = createLifecycleManager({ clock })
  const runner = createFakeRunner({ clock, random, maxRunMs: 2, refusedShare: 0, slots: 64, ...options.runner })
  const describe = () => ({ address: '', operationsAddress: '', configurationVersion: 1, state: 'serving' as const, heldParts: 0 })
  const heartbeat = await startHeartbeat(context, lifecycle, describe)
  const observer = await startLeaseObserver(context, lifecycle, heartbeat)
  const jobs = await startJobs(context, { runner, directory: STATIC_DIRECTORY, heartbeat, observer }, lifecycle)
  const server = await startTestServer(jobs.routes)
  const stop = async (): Promise<void> => {
    await server.close()
    await lifecycle.stop()
  }
  return { context, store, faults, runner, jobs, server, lifecycle, skipTime: durationMs => { skippedMs += durationMs }, stop }
}
