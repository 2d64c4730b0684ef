import { createFakeClock } from '../fakeClock'
import { createLifecycleManager } from '../lifecycle'

describe('createLifecycleManager', () => {
  it('stops components in the reverse order of their start', async () => {
    const steps: string[] = []
    const manager = createLifecycleManager({ clock: createFakeClock() })
    await manager.start({ name: 'first', start: () => { steps.push('start first') }, stop: () => { steps.push('stop first') } })
    await manager.start({ name: 'second', start: () => { steps.push('start second') }, stop: () => { steps.push('stop second') } })
    await manager.stop()
    expect(steps).toEqual(['start first', 'start second', 'stop second', 'stop first'])
  })

  it('continues with the next component when one does not stop in time', async () => {
    // Guards against a daemon that never exits after a request to stop.
    const clock = createFakeClock()
    const failed: string[] = []
    let firstStopped = false
    const manager = createLifecycleManager({ clock, onStopError: name => failed.push(name) })
    await manager.start({ name: 'first', stop: () => { firstStopped = true } })
    await manager.start({ name: 'hanging', stop: () => new Promise(() => {}), stopTimeoutMs: 100 })
    const stopped = manager.stop()
    await clock.advanceAsync(100)
    await stopped
    expect(failed).toEqual(['hanging'])
    expect(firstStopped).toBe(true)
  })

  it('starts no component once it stops', async () => {
    const manager = createLifecycleManager({ clock: createFakeClock() })
    await manager.stop()
    const steps: string[] = []
    await expect(manager.start({ name: 'late', start: () => { steps.push('start late') } })).rejects.toThrow('"late" was not started')
    expect(steps).toEqual([])
  })

  it('stops components once when called twice', async () => {
    let stops = 0
    const manager = createLifecycleManager({ clock: createFakeClock() })
    await manager.start({ name: 'component', stop: () => { stops++ } })
    await Promise.all([manager.stop(), manager.stop()])
    expect(stops).toBe(1)
    expect(manager.signal.aborted).toBe(true)
  })
})
