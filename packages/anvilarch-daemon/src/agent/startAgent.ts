/** Composes an agent: endpoints, attempts, orders, periodic ticks and the server for gateways. */
import { setMaxListeners } from 'node:events'
import { AgentService } from 'anvilarch-protocol'
import { type LifecycleManager, sleep } from 'anvilarch-utils'
import { LRUCache } from 'lru-cache'
import type { DaemonContext } from '../context'
import { createAgentService, endpointStates } from './agentService'
import { createAttemptRegistry, type AttemptRegistry } from './attemptRegistry'
import { HEARTBEAT_SHARE } from './attemptReader'
import { createChangingProbes } from './changingProbes'
import { createEndpointTask, type EndpointTask } from './endpointTask'
import { createFramePump } from './framePump'
import { type AgentOptions, DEFAULT_AGENT_OPTIONS } from './options'
import { createOrders } from './orders'
import { type PeerServer, startPeerServer } from './peerServer'
import { createAgentSuspects } from './suspects'
import { createTick } from './tick'
import type { AgentHandle } from './types'

/**
 * Starts all components of an agent. The lifecycle manager drains and stops them.
 *
 * @param context - shared components of the daemon
 * @param lifecycle - owns the components of the agent
 * @param overrides - options that differ from the defaults
 * @returns the agent, once it listens
 */
export async function startAgent (context: DaemonContext, lifecycle: LifecycleManager, overrides: Partial<AgentOptions> = {}): Promise<AgentHandle> {
  const options = { ...DEFAULT_AGENT_OPTIONS, ...overrides }
  const { clock, settings } = context
  const { heartbeatMs, coalesceMs } = settings.agent
  const quarantined = new LRUCache<string, true>({ max: options.maxQuarantined })
  const pump = createFramePump(clock, coalesceMs)
  const tasks = new Map<string, EndpointTask>()
  let drainState: { atMs: number, done: Promise<void>, batchReturned: boolean } | undefined
  const isDraining = (): boolean => drainState !== undefined

  const stopped = new AbortController()
  // Each open session adds a listener until it ends; Node.js would warn of a leak beyond ten.
  setMaxListeners(0, stopped.signal)

  const suspects = createAgentSuspects(clock)
  const registry: AttemptRegistry = createAttemptRegistry({
    context,
    options,
    tasks,
    pump,
    isDraining,
    isQuarantined: fingerprint => quarantined.has(fingerprint),
    suspects,
    onWork: () => { workTick.start() }
  })

  for (const endpoint of settings.agent.endpoints) {
    tasks.set(endpoint.name, createEndpointTask(context, endpoint, { onStarted: registry.markStarted, onEnded: registry.markEnded }))
  }
  const orders = createOrders(context, tasks, options.orderResponseTimeoutMs, () => { probeChanging() })

  const runWorkTick = (afterPause: boolean): boolean => {
    const nowMs = clock.nowMs()
    if (afterPause) context.metrics.processPauses.inc()
    for (const task of tasks.values()) task.tick(nowMs, afterPause)
    registry.tick(nowMs)
    pump.wakeIdle(heartbeatMs * HEARTBEAT_SHARE)
    recordGauges(context, tasks)
    if (drainState !== undefined && !drainState.batchReturned && nowMs - drainState.atMs >= options.batchDrainGraceMs) {
      drainState.batchReturned = true
      for (const task of tasks.values()) task.returnBatch()
    }
    return registry.liveCount() > 0 || pump.size() > 0
  }
  const workTick = createTick(clock, options.tickMs, runWorkTick)
  const changingTick = createChangingProbes(context, tasks, options)
  const probeChanging = (): void => { if (!stopped.signal.aborted) changingTick.start() }

  const probeAll = async (): Promise<void> => {
    await Promise.all([...tasks.values()].map(async task => { await task.refresh() }))
    if (!isDraining()) await orders.reload()
  }
  const probeTick = createTick(clock, options.probeIntervalMs, afterPause => {
    // Entries expire and the batch limit grows also while no work is in progress.
    runWorkTick(afterPause)
    if (!afterPause) server.ping(clock.nowMs())
    probeAll().then(probeChanging, error => { context.logger.error('probe failed', { error: String(error) }) })
    return true
  })

  const waitForDrain = async (): Promise<void> => {
    const isBusy = (): boolean => registry.liveCount() > 0 || pump.size() > 0 || clock.nowMs() - registry.lastEndMs() < options.drainLingerMs
    while (isBusy()) await sleep(clock, options.tickMs)
  }

  const drain = async (reason: string): Promise<void> => {
    if (drainState === undefined) {
      context.timeline.record('agent.draining', { detail: { reason, running: registry.liveCount() } })
      drainState = { atMs: clock.nowMs(), done: Promise.resolve(), batchReturned: false }
      for (const task of tasks.values()) task.drain()
      workTick.start()
      drainState.done = waitForDrain()
    }
    await drainState.done
  }

  await lifecycle.start({
    name: 'endpoints',
    start: probeAll,
    stop: async () => {
      probeTick.stop()
      changingTick.stop()
      workTick.stop()
      await Promise.all([...tasks.values()].map(async task => { await task.close() }))
    }
  })
  const service = createAgentService({
    context,
    registry,
    orders,
    tasks,
    isDraining,
    drain,
    suspects: suspects.list,
    stopped: stopped.signal,
    operationsAddress: options.operationsAddress ?? settings.listen.operations,
    addQuarantined: fingerprints => { for (const fingerprint of fingerprints) quarantined.set(fingerprint, true) }
  })
  const server = await startPeerServer(settings.listen.peers, router => { router.service(AgentService, service) }, clock, options)
  probeTick.start()
  await lifecycle.start({ name: 'peer server', stop: async () => { await stopServer(server, stopped) } })
  await lifecycle.start({ name: 'agent drain', stop: async () => { await drain('shutdown') }, stopTimeoutMs: settings.agent.drainTimeoutMs })

  return {
    address: server.address,
    drain,
    state: () => ({
      state: isDraining() ? 'draining' : 'serving',
      isReady: !isDraining() && [...tasks.values()].some(task => task.health.state() === 'ready'),
      attempts: registry.liveCount(),
      readers: pump.size(),
      configurationVersion: context.configuration.version(),
      highestFencingToken: orders.highestToken(),
      endpoints: endpointStates(tasks, orders)
    })
  }
}

async function stopServer (server: PeerServer, stopped: AbortController): Promise<void> {
  stopped.abort()
  await server.close()
}

function recordGauges (context: DaemonContext, tasks: Map<string, EndpointTask>): void {
  const { queueDepth, running } = context.metrics
  for (const [endpoint, task] of tasks) {
    const load = task.load()
    running.set({ class: 'online', endpoint }, load.runningOnline)
    running.set({ class: 'batch', endpoint }, load.runningBatch)
    queueDepth.set({ class: 'all', endpoint }, load.queued)
  }
}
