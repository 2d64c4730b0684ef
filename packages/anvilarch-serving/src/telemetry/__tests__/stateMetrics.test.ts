import { createFakeClock } from 'anvilarch-utils'
import { Registry } from 'prom-client'
import { createJobRecord } from '../../jobs/jobRecord'
import { registerStateMetrics } from '../stateMetrics'

const ITEMS = [1, 2].map(index => ({ id: `i${index}`, path: '/', headers: {}, body: Buffer.alloc(0), tokens: 100 * index }))
const TERMS = { host: 'h', path: '/', nowMs: 0, dueMs: 1000, expiryMs: 2000, maxAttempts: 3 }

describe('registerStateMetrics', () => {
  it('tells how old each table is and how much work is left', async () => {
    const registry = new Registry()
    const clock = createFakeClock()
    const startMs = clock.nowMs()
    const open = createJobRecord(ITEMS, { jobId: 'open', ...TERMS })
    const half = { ...createJobRecord(ITEMS, { jobId: 'half', ...TERMS }), listed: [{ item: 1, outcome: 'completed' as const }] }
    const ended = { ...createJobRecord(ITEMS, { jobId: 'ended', ...TERMS }), ended: true }
    const work = { jobs: () => [open, half, ended].map(record => ({ record, version: 1 })) }
    registerStateMetrics(registry, { clock, work, tableAnsweredAtMs: new Map([['config', startMs]]) })
    clock.advance(2500)
    const text = await registry.metrics()
    expect(text).toContain('anvilarch_table_age_seconds{table="config"} 2.5')
    expect(text).toContain('anvilarch_open_jobs 2')
    expect(text).toContain('anvilarch_waiting_tokens 400')
    expect(text).toMatch(/anvilarch_event_loop_utilization [01]/)
  })
})
