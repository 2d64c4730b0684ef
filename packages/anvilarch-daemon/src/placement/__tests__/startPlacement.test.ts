import type { OrderRequest } from 'anvilarch-protocol'
import { createFakeClock, createLifecycleManager, type FakeClock, onViolation, SILENT_LOGGER } from 'anvilarch-utils'
import type { DaemonContext } from '../../context'
import type { AgentClients } from '../../peers/types'
import { createTimeline } from '../../timeline/createTimeline'
import { createEngines, documentOf, EFFECTS, finishLoads, type SimulatedEngine, toViews } from '../__fixtures__/simulatedFleet'
import { DEFAULT_OPTIONS, type PlacementParts, startPlacement } from '../startPlacement'
import type { PlannedOrder } from '../types'

interface TestSetup {
  clock: FakeClock
  engines: SimulatedEngine[]
  orders: OrderRequest[]
  /** Lease state of the holder. */
  lease: { epoch: number | undefined }
  /** Highest fencing token that the agents have received. */
  fence: { token: number }
  /** `onPlan` is called when planning reads the directory; `losesResponse` and `dropsRequest` select the orders that fail. */
  hooks: { onPlan: () => void, losesResponse: (order: OrderRequest) => boolean, dropsRequest: (order: OrderRequest) => boolean }
}

async function start (replicas: number, maxLoads = 2): Promise<TestSetup> {
  const clock = createFakeClock()
  const engines = createEngines(4, ['bole-hall', 'kirkos-hall'])
  const setup: TestSetup = { clock, engines, orders: [], lease: { epoch: undefined }, fence: { token: 0 }, hooks: { onPlan: () => {}, losesResponse: () => false, dropsRequest: () => false } }
  const order = async (request: OrderRequest): Promise<unknown> => {
    setup.orders.push(request)
    if (setup.hooks.dropsRequest(request)) throw new Error('the connection was lost')
    if (Number(request.fencingToken) < setup.fence.token) return { outcome: 'refused', reason: 'stale_fencing_token', fencingToken: BigInt(setup.fence.token) }
    setup.fence.token = Number(request.fencingToken)
    const engine = engines[Number(requestAgent)]
    EFFECTS[request.action as PlannedOrder['action']](engine, { ...request, agent: engine.name } as unknown as PlannedOrder)
    if (setup.hooks.losesResponse(request)) throw new Error('response lost')
    return { outcome: 'started', reason: '', fencingToken: request.fencingToken }
  }
  let requestAgent = ''
  const clients = { get: (address: string) => ({ order: async (request: OrderRequest) => { requestAgent = address.slice('agent-'.length); return await order(request) } }) } as unknown as AgentClients
  const directory: PlacementParts['directory'] = {
    noteOrderSent: () => {},
    list: () => {
      setup.hooks.onPlan()
      return toViews(engines)
    },
    get: (name: string) => toViews(engines).find(view => view.name === name)
  }
  const configuration = { current: () => ({ document: documentOf({ writer: { replicas } }, maxLoads) }) }
  const context = { clock, logger: SILENT_LOGGER, timeline: createTimeline({ clock, process: 'g', capacity: 100 }), configuration } as unknown as DaemonContext
  await startPlacement(context, { lease: { epoch: () => setup.lease.epoch }, directory, clients }, createLifecycleManager({ clock }))
  return setup
}

const violations: string[] = []
onViolation(name => { violations.push(name) })

describe('startPlacement', () => {
  it('sends no orders without the lease, or before the settling time of a new holder is over', async () => {
    const setup = await start(3)
    await setup.clock.advanceAsync(20_000)
    setup.lease.epoch = 4
    await setup.clock.advanceAsync(DEFAULT_OPTIONS.settleMs - 1000)
    expect(setup.orders).toEqual([])
    await setup.clock.advanceAsync(3000)
    expect(setup.orders.map(order => [order.action, order.fencingToken])).toEqual([['load', 4n], ['load', 4n]])
  })

  // Guards against two gateways that send orders at the same time.
  it('sends no order if the lease expires between planning and sending', async () => {
    const setup = await start(3)
    setup.lease.epoch = 4
    await setup.clock.advanceAsync(DEFAULT_OPTIONS.settleMs + 500)
    setup.hooks.onPlan = () => { setup.lease.epoch = undefined }
    await setup.clock.advanceAsync(10_000)
    expect(setup.orders).toEqual([])
    expect(violations).toEqual([])
  })

  // Guards against a new holder that reverts the latest orders of its predecessor.
  it('sends no order of a plan that was made under an earlier epoch', async () => {
    const setup = await start(3)
    setup.lease.epoch = 4
    await setup.clock.advanceAsync(DEFAULT_OPTIONS.settleMs + 500)
    setup.hooks.onPlan = () => { setup.lease.epoch = 6 }
    await setup.clock.advanceAsync(2000)
    expect(setup.orders).toEqual([])
    await setup.clock.advanceAsync(DEFAULT_OPTIONS.settleMs + 2000)
    expect(new Set(setup.orders.map(order => order.fencingToken))).toEqual(new Set([6n]))
  })

  it('has no effect when agents reject orders for an outdated epoch, and backs off before it sends another one', async () => {
    const setup = await start(1)
    setup.fence.token = 9
    setup.lease.epoch = 4
    await setup.clock.advanceAsync(DEFAULT_OPTIONS.settleMs + DEFAULT_OPTIONS.failureBackoffMs)
    expect(setup.engines.every(engine => engine.models.length === 0)).toBe(true)
    expect(setup.orders.length).toBeLessThanOrEqual(setup.engines.length)
  })

  // Guards against an engine that stays idle after a crash until the next regular plan.
  it('orders a load within half a second after an endpoint is ready again', async () => {
    const setup = await start(4, 4)
    setup.lease.epoch = 4
    await setup.clock.advanceAsync(DEFAULT_OPTIONS.settleMs + 1000)
    finishLoads(setup.engines)
    await setup.clock.advanceAsync(60_000)
    setup.engines[0].health = 'crashed'
    setup.engines[0].models = []
    await setup.clock.advanceAsync(2000)
    setup.orders.length = 0
    setup.engines[0].health = 'ready'
    await setup.clock.advanceAsync(500)
    expect(setup.orders.map(order => order.action)).toEqual(['load'])
  })

  // Guards against an endpoint that stays idle for a minute because its order was lost in transit.
  it('repeats an order that never arrived after a short timeout', async () => {
    const setup = await start(1)
    setup.hooks.dropsRequest = () => true
    setup.lease.epoch = 4
    await setup.clock.advanceAsync(DEFAULT_OPTIONS.settleMs + 1000)
    expect(setup.orders.map(order => order.action)).toEqual(['load'])
    setup.hooks.dropsRequest = () => false
    await setup.clock.advanceAsync(DEFAULT_OPTIONS.graceMs + DEFAULT_OPTIONS.intervalMs)
    expect(setup.orders.map(order => order.action)).toEqual(['load', 'load'])
    await setup.clock.advanceAsync(60_000)
    expect(setup.engines.filter(engine => engine.models.length > 0)).toHaveLength(1)
  })

  // Guards against loading the same weights on two endpoints for one replica.
  it('counts an order whose response was lost until the endpoint reports its state', async () => {
    const setup = await start(1)
    setup.hooks.losesResponse = () => true
    setup.lease.epoch = 4
    await setup.clock.advanceAsync(DEFAULT_OPTIONS.settleMs + 10_000)
    finishLoads(setup.engines)
    await setup.clock.advanceAsync(10_000)
    expect(setup.orders.map(order => order.action)).toEqual(['load', 'assign'])
  })
})
