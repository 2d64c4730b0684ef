import { createFakeClock } from 'anvilarch-utils'
import { Registry } from 'prom-client'
import { createJobRecord } from '../../jobs/jobRecord'
import type { JobRecord } from '../../jobs/types'
import type { Configuration } from '../../model/types'
import { registerStateMetrics } from '../stateMetrics'

const ITEMS = [1, 2].map(index => ({ id: `i${index}`, path: '/', headers: {}, body: Buffer.alloc(0), tokens: 100 * index }))
const TERMS = { host: 'h', path: '/', nowMs: 0, dueMs: 1000, expiryMs: 2000, maxAttempts: 3 }

const CONFIGURATION = { routes: [{ host: 'h', pathPrefix: '/', kind: 'batch' }, { host: 'online', pathPrefix: '/', kind: 'stream' }] } as unknown as Configuration

describe('registerStateMetrics', () => {
  it('reports the age of each table and the amount of open work', async () => {
    const registry = new Registry()
    const clock = createFakeClock()
    const startMs = clock.nowMs()
    const open = createJobRecord(ITEMS, { jobId: 'open', ...TERMS })
    const halfDone = { ...createJobRecord(ITEMS, { jobId: 'half', ...TERMS }), listed: [{ item: 1, outcome: 'completed' as const }] }
    const ended = { ...createJobRecord(ITEMS, { jobId: 'ended', ...TERMS }), ended: true }
    const work = { jobs: () => [open, halfDone, ended].map(record => ({ record, version: 1 })) }
    registerStateMetrics(registry, { work, configuration: () => CONFIGURATION, freshnessByTable: new Map([['config', { ageMs: () => clock.nowMs() - startMs }]]) })
    clock.advance(2500)
    const text = await registry.metrics()
    expect(text).toContain('anvilarch_table_age_seconds{table="config"} 2.5')
    expect(text).toContain('anvilarch_open_jobs 2')
    expect(text).toContain('anvilarch_waiting_tokens 400')
    expect(text).toMatch(/anvilarch_event_loop_utilization [01]/)
  })

  it('counts open jobs without a batch route', async () => {
    const registry = new Registry()
    const jobAt = (host: string, ended = false): JobRecord => ({ ...createJobRecord(ITEMS, { jobId: `${host}${ended}`, ...TERMS, host }), ended })
    const work = { jobs: () => [jobAt('h'), jobAt('online'), jobAt('removed'), jobAt('removed', true)].map(record => ({ record, version: 1 })) }
    registerStateMetrics(registry, { work, configuration: () => CONFIGURATION, freshnessByTable: new Map() })
    expect(await registry.metrics()).toContain('anvilarch_jobs_without_route 2')
  })
})
