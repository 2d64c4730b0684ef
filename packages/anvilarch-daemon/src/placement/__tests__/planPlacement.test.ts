import fc from 'fast-check'
import type { ConfigurationDocument } from 'anvilarch-configuration'
import type { AgentView } from '../../membership/types'
import { createEngines, documentOf, EFFECTS, finishLoads, restart, type SimulatedEngine, type TestService, toViews } from '../__fixtures__/simulatedFleet'
import { planPlacement } from '../planPlacement'
import { afterReports, INITIAL_PLACEMENT_STATE, type PlacementState, slotKey, toSlots } from '../slots'
import type { PlannedOrder } from '../types'

const SEED = 20261202
const DOMAINS = ['bole-hall', 'kirkos-hall', 'arada-hall']
const LIMITS = { graceMs: 10_000, loadExpiryMs: 60_000, orderTimeoutMs: 60_000, unansweredTimeoutMs: 10_000, failureBackoffMs: 5000 }
const STEP_MS = 1000

/** A lease holder: its state, its orders, and the highest number of concurrent loads. */
interface Holder {
  state: PlacementState
  nowMs: number
  maxConcurrentLoads: number
  orders: PlannedOrder[]
  /** Reports of the endpoints; the holder receives them `lagSteps` steps late. */
  reports: AgentView[][]
  lagSteps: number
}

const newHolder = (lagSteps = 0): Holder => ({ state: INITIAL_PLACEMENT_STATE, nowMs: 0, maxConcurrentLoads: 0, orders: [], reports: [], lagSteps })
const countLoads = (engines: SimulatedEngine[]): number => engines.filter(engine => engine.models.some(model => model.state === 'loading')).length

/** Runs one plan; the orders for which `arrives` returns true are executed, the others are lost in transit. */
function step (holder: Holder, document: ConfigurationDocument, engines: SimulatedEngine[], arrives = (_order: PlannedOrder): boolean => true): void {
  holder.nowMs += STEP_MS
  holder.reports.push(toViews(engines))
  const views = holder.reports[Math.max(0, holder.reports.length - 1 - holder.lagSteps)]
  holder.state = afterReports(holder.state, views, holder.nowMs, LIMITS)
  const orders = planPlacement(document, toSlots(views, holder.state, holder.nowMs, LIMITS))
  const sent = new Map(holder.state.sent)
  for (const order of orders) {
    const engine = engines.find(found => found.name === order.agent) as SimulatedEngine
    const orderId = `${order.agent} at ${holder.nowMs}`
    sent.set(slotKey(order.agent, order.endpoint), { ...order, orderId, agentIncarnation: engine.incarnation, sentAtMs: holder.nowMs, isAcknowledged: arrives(order) })
    if (!arrives(order)) continue
    EFFECTS[order.action](engine, order)
    engine.settledOrder = orderId
  }
  holder.orders = orders
  holder.state = { ...holder.state, sent }
  holder.maxConcurrentLoads = Math.max(holder.maxConcurrentLoads, countLoads(engines))
}

function settle (holder: Holder, document: ConfigurationDocument, engines: SimulatedEngine[], steps = 100): void {
  for (let count = 0; count < steps; count++) {
    step(holder, document, engines)
    finishLoads(engines)
  }
}

const serving = (engines: SimulatedEngine[], service: string, version = 'v1'): SimulatedEngine[] => engines.filter(engine =>
  engine.service === service && engine.state === 'serving' && engine.models.some(model => model.model === `model-${service}` && model.version === version && model.state === 'ready'))
const perDomain = (engines: SimulatedEngine[]): number[] => DOMAINS.map(domain => engines.filter(engine => engine.failureDomain === domain).length)

describe('planPlacement', () => {
  it('distributes replicas over failure domains and then sends no more orders', () => {
    const engines = createEngines(12, DOMAINS)
    const document = documentOf({ writer: { replicas: 6 }, portal: { replicas: 3 } }, 2)
    const holder = newHolder()
    settle(holder, document, engines)
    expect(perDomain(serving(engines, 'writer'))).toEqual([2, 2, 2])
    expect(perDomain(serving(engines, 'portal'))).toEqual([1, 1, 1])
    expect(holder.maxConcurrentLoads).toBe(2)
    step(holder, document, engines)
    expect(holder.orders).toEqual([])
  })

  it('reloads nothing under a new lease holder, or after agents have lost their service assignment', () => {
    const engines = createEngines(4, DOMAINS)
    const document = documentOf({ writer: { replicas: 3 } }, 2)
    settle(newHolder(), document, engines)
    for (const engine of engines) engine.service = ''
    const holder = newHolder()
    step(holder, document, engines)
    expect(holder.orders.map(order => order.action)).toEqual(['assign', 'assign', 'assign'])
  })

  it('replaces a draining endpoint immediately, and a crashed one after the grace period', () => {
    const engines = createEngines(5, DOMAINS)
    const document = documentOf({ writer: { replicas: 3 } }, 2)
    const holder = newHolder()
    settle(holder, document, engines)
    const [drains, crashes] = serving(engines, 'writer')
    drains.state = 'draining'
    step(holder, document, engines)
    expect(holder.orders.map(order => order.action)).toEqual(['load'])
    settle(holder, document, engines, 5)
    crashes.health = 'crashed'
    for (let waitedMs = 0; waitedMs < LIMITS.graceMs; waitedMs += STEP_MS) step(holder, document, engines)
    expect(holder.orders).toEqual([])
    step(holder, document, engines)
    expect(holder.orders.map(order => order.action)).toEqual(['load'])
  })

  // Guards against an engine that exits during a load and then stays idle until the order times out.
  it.each([0, 2])('repeats a load once its endpoint reports that it was lost, with reports %d steps late', lagSteps => {
    const engines = createEngines(3, DOMAINS)
    const document = documentOf({ writer: { replicas: 3 } }, 3)
    const holder = newHolder(lagSteps)
    step(holder, document, engines)
    restart(engines[0])
    for (let count = 0; count <= lagSteps; count++) step(holder, document, engines)
    expect(holder.orders).toMatchObject([{ agent: engines[0].name, action: 'load' }])
  })

  // Guards against an order that is lost with the agent process that queued it, and leaves its endpoint idle until the order times out.
  it('repeats a load once the agent that received it was replaced', () => {
    const engines = createEngines(3, DOMAINS)
    const document = documentOf({ writer: { replicas: 3 } }, 3)
    const holder = newHolder()
    step(holder, document, engines, order => order.agent !== engines[0].name)
    step(holder, document, engines)
    expect(holder.orders).toEqual([])
    engines[0].incarnation = 'second'
    step(holder, document, engines)
    expect(holder.orders).toMatchObject([{ agent: engines[0].name, action: 'load' }])
  })

  // Guards against sending the same weights several times a second to an engine that fails each load.
  it('backs off while loads are lost repeatedly, and repeats immediately again after a load that succeeded', () => {
    const engines = createEngines(1, DOMAINS)
    const document = documentOf({ writer: { replicas: 1 } }, 1)
    const holder = newHolder()
    const loadsOf = (steps: number): number => {
      let loads = 0
      for (let count = 0; count < steps; count++) {
        step(holder, document, engines)
        loads += holder.orders.length
        restart(engines[0])
      }
      return loads
    }
    expect(loadsOf(2)).toBe(2)
    expect(loadsOf(60)).toBeLessThanOrEqual(4)
    expect(loadsOf(300)).toBeLessThanOrEqual(6)
    settle(holder, document, engines, 70)
    expect(serving(engines, 'writer')).toHaveLength(1)
    expect(loadsOf(3)).toBe(2)
  })

  it('counts the load of an unreachable endpoint', () => {
    const engines = createEngines(2, DOMAINS)
    const document = documentOf({ writer: { replicas: 1 } }, 1)
    const holder = newHolder()
    step(holder, document, engines)
    const loading = engines.find(engine => engine.models.length > 0) as SimulatedEngine
    loading.state = 'unreachable'
    for (let waitedMs = 0; waitedMs < LIMITS.loadExpiryMs; waitedMs += STEP_MS) {
      step(holder, document, engines)
      expect(holder.orders).toEqual([])
    }
  })

  it('changes the version in place without interrupting the service', () => {
    const engines = createEngines(3, DOMAINS)
    const holder = newHolder()
    settle(holder, documentOf({ writer: { replicas: 3 } }, 1), engines)
    const next = documentOf({ writer: { replicas: 3, version: 'v2' } }, 1)
    for (let count = 0; count < 20; count++) {
      step(holder, next, engines)
      expect(engines.every(engine => engine.models.some(model => model.state === 'ready'))).toBe(true)
      finishLoads(engines)
    }
    expect(serving(engines, 'writer', 'v2')).toHaveLength(3)
    expect(engines.map(engine => engine.models.length)).toEqual([1, 1, 1])
    expect(holder.maxConcurrentLoads).toBe(1)
  })

  it.each([0, 2])('reassigns the endpoints of a removed or downscaled service, with reports %d steps late', lagSteps => {
    const engines = createEngines(4, DOMAINS)
    const holder = newHolder(lagSteps)
    settle(holder, documentOf({ writer: { replicas: 2 }, old: { replicas: 2 } }, 2), engines)
    const smaller = documentOf({ writer: { replicas: 1 }, portal: { replicas: 3 } }, 2)
    for (let count = 0; count < 50; count++) {
      step(holder, smaller, engines)
      finishLoads(engines)
      expect(serving(engines, 'writer').length).toBeGreaterThanOrEqual(1)
    }
    expect(serving(engines, 'writer')).toHaveLength(1)
    expect(serving(engines, 'portal')).toHaveLength(3)
    expect(engines.every(engine => engine.models.length === 1)).toBe(true)
  })

  // Guards against too many concurrent loads, with which the weight store rejects loads and all of them become slow.
  it('never exceeds the limit of concurrent loads, and converges to the document when the faults end', () => {
    const services = fc.record({ writer: fc.nat(4), portal: fc.nat(3), old: fc.nat(2) })
      .map(counts => Object.fromEntries(Object.entries(counts).filter(([, replicas]) => replicas > 0).map(([name, replicas]) => [name, { replicas }])) as Record<string, TestService>)
    const event = fc.oneof(
      fc.record({ kind: fc.constant('step' as const), lost: fc.boolean() }),
      fc.record({ kind: fc.constant('finish' as const) }),
      fc.record({ kind: fc.constant('crash' as const), engine: fc.nat(8) }),
      fc.record({ kind: fc.constant('restart' as const), engine: fc.nat(8) }),
      fc.record({ kind: fc.constant('drain' as const), engine: fc.nat(8) }),
      fc.record({ kind: fc.constant('back' as const), engine: fc.nat(8) }),
      fc.record({ kind: fc.constant('document' as const), services })
    )
    fc.assert(fc.property(services, fc.array(event, { maxLength: 60 }), fc.integer({ min: 1, max: 3 }), fc.nat(3), (first, events, maxLoads, lagSteps) => {
      const engines = createEngines(9, DOMAINS)
      const holder = newHolder(lagSteps)
      let currentServices = first
      for (const found of events) {
        if (found.kind === 'step') step(holder, documentOf(currentServices, maxLoads), engines, () => !found.lost)
        if (found.kind === 'finish') finishLoads(engines)
        if (found.kind === 'document') currentServices = found.services
        if (found.kind === 'crash') Object.assign(engines[found.engine], { health: 'crashed', models: [] })
        if (found.kind === 'restart') restart(engines[found.engine])
        if (found.kind === 'drain') Object.assign(engines[found.engine], { state: 'draining' })
        if (found.kind === 'back') Object.assign(engines[found.engine], { health: 'ready', state: 'serving' })
      }
      for (const engine of engines) Object.assign(engine, { health: 'ready', state: 'serving' })
      settle(holder, documentOf(currentServices, maxLoads), engines, 200)
      expect(holder.maxConcurrentLoads).toBeLessThanOrEqual(maxLoads)
      for (const [name, { replicas }] of Object.entries(currentServices)) expect(serving(engines, name)).toHaveLength(replicas)
    }), { seed: SEED, numRuns: 300 })
  })

  it('keeps services in their configured failure domains', () => {
    const engines = createEngines(6, DOMAINS)
    settle(newHolder(), documentOf({ writer: { replicas: 4, failureDomains: ['bole-hall'] } }, 4), engines)
    expect(perDomain(serving(engines, 'writer'))).toEqual([2, 0, 0])
  })
})
