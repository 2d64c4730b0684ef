import { createFakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { createChangingProbes } from '../changingProbes'
import type { HealthState } from '../endpointHealth'
import type { EndpointTask } from '../endpointTask'

const OPTIONS = { changingProbeIntervalMs: 200, changingMs: 10_000 }

function setUp () {
  const clock = createFakeClock()
  const endpoint = { health: 'ready' as HealthState, model: 'ready' as 'ready' | 'loading', probes: 0 }
  const task = {
    health: { state: () => endpoint.health, models: () => [{ model: 'small', version: '1', adapters: [], state: endpoint.model }] },
    refresh: async () => { endpoint.probes++ }
  } as unknown as EndpointTask
  return { clock, endpoint, probes: createChangingProbes({ clock, logger: SILENT_LOGGER }, new Map([['engine', task]]), OPTIONS) }
}

describe('createChangingProbes', () => {
  it('sends no probes while all endpoints are ready', () => {
    const { clock, endpoint, probes } = setUp()
    probes.start()
    clock.advance(60_000)
    expect(endpoint.probes).toBe(0)
    expect(clock.pendingCount()).toBe(0)
  })

  // Guards against an engine that has restarted or loaded its model, but serves nothing until the next regular probe.
  it.each([{ health: 'crashed' as const }, { health: 'starting' as const }, { model: 'loading' as const }])('probes a changing endpoint until it is ready (%j)', change => {
    const { clock, endpoint, probes } = setUp()
    Object.assign(endpoint, change)
    probes.start()
    clock.advance(1000)
    expect(endpoint.probes).toBe(5)
    Object.assign(endpoint, { health: 'ready', model: 'ready' })
    clock.advance(1000)
    expect(endpoint.probes).toBe(5)
  })

  it('leaves an endpoint that stays down to the regular probes, and probes it again after its next change', () => {
    const { clock, endpoint, probes } = setUp()
    endpoint.health = 'crashed'
    probes.start()
    clock.advance(60_000)
    expect(endpoint.probes).toBe(50)
    probes.start()
    clock.advance(60_000)
    expect(endpoint.probes).toBe(50)
    endpoint.health = 'ready'
    probes.start()
    clock.advance(1000)
    endpoint.health = 'crashed'
    probes.start()
    clock.advance(1000)
    expect(endpoint.probes).toBe(55)
  })
})
