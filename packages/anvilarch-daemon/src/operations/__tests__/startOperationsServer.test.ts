import { createFakeClock, createLifecycleManager, createSystemClock, SILENT_LOGGER } from 'anvilarch-utils'
import { createMetrics } from '../../metrics/createMetrics'
import { createTimeline } from '../../timeline/createTimeline'
import { type Health, type OperationsContext, type Readiness, startOperationsServer } from '../startOperationsServer'

describe('startOperationsServer', () => {
  it('serves liveness, readiness, metrics and the timeline, and reports what is wrong with a request', async () => {
    const lifecycle = createLifecycleManager({ clock: createSystemClock() })
    const timeline = createTimeline({ clock: createFakeClock(5), process: 'gateway-1', capacity: 10 })
    timeline.record('requests.received', { requestId: 'r1' })
    timeline.record('requests.received', { requestId: 'r2' })
    const state: { health: Health, readiness: Readiness } = { health: 'starting', readiness: { ready: false, reason: 'no configuration' } }
    const settings = { name: 'gateway-1', role: 'gateway', listen: { operations: '127.0.0.1:0' } }
    const context = { settings, timeline, metrics: createMetrics(), logger: SILENT_LOGGER } as unknown as OperationsContext
    const { address } = await startOperationsServer(context, { health: () => state.health, readiness: () => state.readiness }, lifecycle)
    const get = async (path: string, method = 'GET'): Promise<{ status: number, text: string }> => {
      const response = await fetch(`http://${address}${path}`, { method })
      return { status: response.status, text: await response.text() }
    }
    expect((await get('/healthz')).status).toBe(503)
    state.health = 'running'
    expect(await get('/healthz')).toEqual({ status: 200, text: expect.stringContaining('"process":"gateway-1"') })
    expect(await get('/readyz')).toEqual({ status: 503, text: expect.stringContaining('no configuration') })
    state.readiness = { ready: true, reason: '' }
    expect((await get('/readyz')).status).toBe(200)
    expect((await get('/metrics')).text).toContain('anvilarch_configuration_version 0')
    expect(JSON.parse((await get('/timeline?request=r2&limit=5')).text)).toMatchObject({ process: 'gateway-1', events: [{ requestId: 'r2' }] })
    expect(await get('/timeline?limit=-1')).toEqual({ status: 400, text: expect.stringContaining('\\"limit\\" is \\"-1\\"') })
    expect((await get('/nothing')).status).toBe(404)
    expect((await get('/healthz', 'POST')).status).toBe(405)
    await lifecycle.stop()
  })
})
