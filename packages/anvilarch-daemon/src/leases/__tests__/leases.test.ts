import { createLifecycleManager, type LifecycleManager } from 'anvilarch-utils'
import { createSimulatedFleet, type SimulatedFleet, type SimulatedGateway } from '../../jobs/__fixtures__/simulatedFleet'
import { startHeartbeat } from '../startHeartbeat'
import { startLeaseObserver } from '../startLeaseObserver'
import { startSingleLease } from '../startSingleLease'
import type { GatewayDescription, Heartbeat, LeaseObserver, SingleLease } from '../types'

const LEASE_MS = 6_000
const KEY = 'lease/test'

/** A process with its leases, without jobs. */
interface Process extends Pick<SimulatedGateway, 'context' | 'gate'> {
  lifecycle: LifecycleManager
  heartbeat: Heartbeat
  observer: LeaseObserver
  lease: SingleLease
}

const DESCRIPTION: GatewayDescription = { address: '127.0.0.1:1', operationsAddress: '127.0.0.1:2', configurationVersion: 3, state: 'serving', heldParts: 0 }

async function startProcess (fleet: SimulatedFleet): Promise<Process> {
  const { context, gate } = fleet.addProcess()
  const lifecycle = createLifecycleManager({ clock: context.clock })
  const heartbeat = await startHeartbeat(context, lifecycle, () => DESCRIPTION)
  const observer = await startLeaseObserver(context, lifecycle, heartbeat)
  const lease = await startSingleLease(context, lifecycle, { key: KEY, observer, heartbeat })
  return { context, gate, lifecycle, heartbeat, observer, lease }
}

describe('startHeartbeat', () => {
  it('writes the description of the gateway and removes the row on shutdown', async () => {
    const fleet = createSimulatedFleet(1, 0)
    const { heartbeat, lifecycle } = await startProcess(fleet)
    const row = JSON.parse(fleet.store.rows.get(`gateway/${heartbeat.instance}`)?.value ?? '{}')
    expect(row).toMatchObject({ ...DESCRIPTION, sequence: 1 })
    expect(heartbeat.holdsLease()).toBe(true)
    await lifecycle.stop()
    expect(fleet.store.rows.has(`gateway/${heartbeat.instance}`)).toBe(false)
    expect(heartbeat.holdsLease()).toBe(false)
  })

  // Guards against two holders of one lease: the holder must not count the latency of a renewal as part of its lease.
  it('counts the lease from the time at which a renewal was sent', async () => {
    const fleet = createSimulatedFleet(1, 0)
    const { heartbeat, gate } = await startProcess(fleet)
    await fleet.clock.advanceAsync(1_500)
    fleet.faults.table.latencyMs = 400
    await fleet.clock.advanceAsync(900)
    gate.pause()
    await fleet.clock.advanceAsync(5_600)
    gate.resume()
    await fleet.clock.advanceAsync(0)
    expect(heartbeat.holdsLease()).toBe(false)
  })

  it('detects on its own clock that the lease lapsed during a process pause, and counts the lapse at the next renewal', async () => {
    const fleet = createSimulatedFleet(1, 0)
    const { heartbeat, gate } = await startProcess(fleet)
    gate.pause()
    await fleet.clock.advanceAsync(2 * LEASE_MS)
    expect(heartbeat.holdsLease()).toBe(false)
    expect(heartbeat.lapses()).toBe(0)
    gate.resume()
    await fleet.clock.advanceAsync(LEASE_MS)
    expect(heartbeat.holdsLease()).toBe(true)
    expect(heartbeat.lapses()).toBe(1)
  })
})

describe('startLeaseObserver', () => {
  // Guards against gateways that take each other for dead, or a dead one for alive, because one heartbeat row cannot be read.
  it.each(['', '{', 'null', '[]', '{"sequence":1e400}', `${'['.repeat(100_000)}${']'.repeat(100_000)}`])('observes the other gateways beside a row that is odd (%#)', async odd => {
    const fleet = createSimulatedFleet(1, 0)
    const [first, second] = [await startProcess(fleet), await startProcess(fleet)]
    fleet.store.rows.set('gateway/a-odd', { key: 'gateway/a-odd', version: 1_000_000, value: odd })
    expect(await first.observer.scan()).toBe(true)
    await fleet.clock.advanceAsync(3 * LEASE_MS)
    expect(first.observer.stateOf(second.heartbeat.instance)).toBe('alive')
    second.gate.pause()
    await fleet.clock.advanceAsync(3 * LEASE_MS)
    expect(first.observer.stateOf(second.heartbeat.instance)).toBe('dead')
  })

  it('considers a holder dead shortly after its lease ends, and never before', async () => {
    const fleet = createSimulatedFleet(1, 0)
    const [one, other] = [await startProcess(fleet), await startProcess(fleet)]
    await fleet.clock.advanceAsync(2_000)
    expect(other.observer.stateOf(one.heartbeat.instance)).toBe('alive')
    one.gate.pause()
    let stoppedMs = 0
    for (; other.observer.stateOf(one.heartbeat.instance) === 'alive'; stoppedMs += 100) {
      expect(one.heartbeat.holdsLease() || stoppedMs > LEASE_MS / 2).toBe(true)
      await fleet.clock.advanceAsync(100)
    }
    expect(one.heartbeat.holdsLease()).toBe(false)
    expect(stoppedMs).toBeLessThan(1.5 * LEASE_MS)
    await fleet.clock.advanceAsync(25 * LEASE_MS)
    expect(fleet.store.rows.has(`gateway/${one.heartbeat.instance}`)).toBe(false)
    expect(other.observer.stateOf(one.heartbeat.instance)).toBe('unknown')
    await fleet.clock.advanceAsync(2_000)
    expect(other.observer.stateOf(one.heartbeat.instance)).toBe('dead')
  })

  // Guards against gateways that all take over from each other after an outage of the table.
  it('considers no holder dead after an outage in which no lease could be renewed', async () => {
    const fleet = createSimulatedFleet(1, 0)
    const processes = [await startProcess(fleet), await startProcess(fleet), await startProcess(fleet)]
    await fleet.clock.advanceAsync(3_000)
    fleet.faults.table.outage = true
    await fleet.clock.advanceAsync(10 * LEASE_MS)
    fleet.faults.table.outage = false
    for (let step = 0; step < 100; step++) {
      await fleet.clock.advanceAsync(50)
      for (const { observer } of processes) for (const { state } of observer.list()) expect(state).toBe('alive')
    }
  })
})

describe('startSingleLease', () => {
  // Guards against two holders that act under one lease at the same time, for example both sending orders.
  it('has one holder at a time, with an increasing epoch', async () => {
    const fleet = createSimulatedFleet(1, 0)
    const processes = [await startProcess(fleet), await startProcess(fleet), await startProcess(fleet)]
    let highest = 0
    const checkHolders = (): number => {
      const epochs = processes.filter(({ gate }) => gate.state() === 'running').flatMap(({ lease }) => lease.epoch() ?? [])
      expect(epochs.length).toBeLessThanOrEqual(1)
      for (const epoch of epochs) expect(epoch).toBeGreaterThanOrEqual(highest)
      highest = Math.max(highest, ...epochs)
      return epochs.length
    }
    const run = async (durationMs: number): Promise<void> => {
      for (let ranMs = 0; ranMs < durationMs; ranMs += 100) {
        await fleet.clock.advanceAsync(100)
        checkHolders()
      }
    }
    for (let turn = 0; turn < 4; turn++) {
      await run(2 * LEASE_MS)
      expect(checkHolders()).toBe(1)
      const holder = processes.find(({ lease }) => lease.epoch() !== undefined)
      holder?.gate.pause()
      await run(2 * LEASE_MS)
      holder?.gate.resume()
      checkHolders()
    }
    expect(highest).toBeGreaterThanOrEqual(5)
    for (const { lifecycle } of processes) await lifecycle.stop()
    expect(JSON.parse(fleet.store.rows.get(KEY)?.value ?? '{}')).toMatchObject({ holder: '' })
  })

  // Guards against two holders at the same time: after a process pause another gateway may have acquired the lease.
  it('is not held after a lapse until the row was read again', async () => {
    const fleet = createSimulatedFleet(1, 0)
    const [one, other] = [await startProcess(fleet), await startProcess(fleet)]
    one.gate.pause()
    await fleet.clock.advanceAsync(2 * LEASE_MS)
    expect(other.lease.epoch()).toBe(2)
    one.context.platform.table.read = async () => { throw new Error('no reads') }
    one.gate.resume()
    await fleet.clock.advanceAsync(LEASE_MS)
    expect(one.heartbeat.holdsLease()).toBe(true)
    expect(one.lease.epoch()).toBeUndefined()
  })

  it('is acquired by another gateway soon after its release', async () => {
    const fleet = createSimulatedFleet(1, 0)
    const [one, other] = [await startProcess(fleet), await startProcess(fleet)]
    expect([one.lease.epoch(), other.lease.epoch()]).toEqual([1, undefined])
    await one.lifecycle.stop()
    await fleet.clock.advanceAsync(LEASE_MS / 2)
    expect([one.lease.epoch(), other.lease.epoch()]).toEqual([undefined, 2])
  })
})
