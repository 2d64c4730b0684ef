import { createFakeClock } from 'anvilarch-utils'
import { createJobRecord } from '../../jobs/jobRecord'
import type { Configuration } from '../../model/types'
import { configurationWith } from '../__fixtures__/jobRoute'
import { BACKUP_DELAY_MS, createRouteTracker, type GiveUpInput, giveUpReason, responsibleRunner, ROUTE_GRACE_MS } from '../givingUp'

const EXPIRES_AT_MS = 60_000
const JOB = createJobRecord([], { jobId: 'job', account: undefined, host: 'h', path: '/jobs', nowMs: 0, dueMs: 1000, expiryMs: EXPIRES_AT_MS, maxAttempts: 3 })

function reason (change: Partial<GiveUpInput>): string | undefined {
  return giveUpReason(JOB, { storeNowMs: 0, withoutRouteMs: undefined, isResponsible: true, ...change })
}

describe('giveUpReason', () => {
  it.each<[string, Partial<GiveUpInput>, string | undefined]>([
    ['a job with a route', {}, undefined],
    ['a job at its expiry', { storeNowMs: EXPIRES_AT_MS }, undefined],
    ['a job past its expiry', { storeNowMs: EXPIRES_AT_MS + 1 }, 'expired'],
    ['a job past its expiry at another runner', { storeNowMs: EXPIRES_AT_MS + BACKUP_DELAY_MS, isResponsible: false }, undefined],
    ['a job that the responsible runner has left', { storeNowMs: EXPIRES_AT_MS + BACKUP_DELAY_MS + 1, isResponsible: false }, 'expired'],
    ['a job that has just lost its route', { withoutRouteMs: ROUTE_GRACE_MS - 1 }, undefined],
    ['a job without a route', { withoutRouteMs: ROUTE_GRACE_MS }, 'no_route'],
    ['a job without a route at another runner', { withoutRouteMs: ROUTE_GRACE_MS, isResponsible: false }, undefined],
    ['a job without a route that the responsible runner has left', { withoutRouteMs: ROUTE_GRACE_MS + BACKUP_DELAY_MS, isResponsible: false }, 'no_route']
  ])('decides about %s', (_name, change, expected) => {
    expect(reason(change)).toBe(expected)
  })
})

describe('responsibleRunner', () => {
  it('selects one of the live runners, and none without runners', () => {
    const runners = ['a', 'b', 'c']
    const selected = new Set(Array.from({ length: 50 }, (_, index) => responsibleRunner(runners, `job${index}`)))
    expect([...selected].sort()).toEqual(runners)
    expect(responsibleRunner([], 'job')).toBeUndefined()
  })
})

describe('createRouteTracker', () => {
  it('counts from the first configuration without a route, and anew after the route has come back', () => {
    const clock = createFakeClock()
    const tracker = createRouteTracker(clock)
    const apply = (configuration: Configuration): number | undefined => {
      tracker.update([JOB], configuration)
      return tracker.withoutRouteMs(JOB.jobId)
    }
    expect(apply(configurationWith('models'))).toBeUndefined()
    expect(apply(configurationWith(undefined))).toBe(0)
    clock.advance(300)
    expect(apply(configurationWith(undefined))).toBe(300)
    expect(apply(configurationWith('audits'))).toBeUndefined()
    expect(apply(configurationWith(undefined))).toBe(0)
  })

  it('does not count a route of another kind, and forgets jobs that are closed', () => {
    const tracker = createRouteTracker(createFakeClock())
    const online = configurationWith('models')
    tracker.update([JOB], { ...online, routes: online.routes.map(route => ({ ...route, kind: 'stream' })) })
    expect(tracker.withoutRouteMs(JOB.jobId)).toBe(0)
    tracker.update([], online)
    expect(tracker.withoutRouteMs(JOB.jobId)).toBeUndefined()
  })
})
