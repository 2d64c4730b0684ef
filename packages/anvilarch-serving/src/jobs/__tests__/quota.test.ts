import { createJobRecord } from '../jobRecord'
import { planReservation, RESERVATION_GRACE_MS, type Reservation } from '../quota'
import type { JobRecord } from '../types'

function job (jobId: string, listedCount: number): JobRecord {
  const items = [1, 2, 3, 4].map(index => ({ id: `${jobId}${index}`, path: '/', headers: {}, body: Buffer.alloc(0), tokens: 100 }))
  const record = createJobRecord(items, { jobId, host: 'h', path: '/', nowMs: 0, dueMs: 1, expiryMs: 1, maxAttempts: 1 })
  return { ...record, listed: Array.from({ length: listedCount }, (_, item) => ({ item, outcome: 'completed' as const })) }
}

function known (...jobs: JobRecord[]): Parameters<typeof planReservation>[3] {
  return { isComplete: true, job: jobId => jobs.filter(record => record.jobId === jobId).map(record => ({ record, version: 1 }))[0] }
}

const WANTED: Reservation = { jobId: 'new', tokens: 400, reservedAtMs: 100_000 }
const EXISTING: Reservation = { jobId: 'old', tokens: 400, reservedAtMs: 99_000 }

describe('planReservation', () => {
  it('accepts a job while the waiting tokens stay within the limit', () => {
    expect(planReservation([EXISTING], WANTED, 800, known(job('old', 0)))).toMatchObject({ plan: 'reserve', reservations: [EXISTING, WANTED] })
    expect(planReservation([EXISTING], WANTED, 799, known(job('old', 0)))).toEqual({ plan: 'full', waitingTokens: 400 })
  })

  it('counts only the items that are still waiting', () => {
    expect(planReservation([EXISTING], WANTED, 600, known(job('old', 2))).plan).toBe('reserve')
    expect(planReservation([EXISTING], WANTED, 400, known(job('old', 4)))).toEqual({ plan: 'reserve', reservations: [WANTED] })
  })

  // Guards against two gateways that together accept more than the limit allows.
  it('counts a reservation whose job does not exist yet, until the grace period is over', () => {
    expect(planReservation([EXISTING], WANTED, 700, known()).plan).toBe('full')
    const old = { ...EXISTING, reservedAtMs: WANTED.reservedAtMs - RESERVATION_GRACE_MS - 1 }
    expect(planReservation([old], WANTED, 700, known()).plan).toBe('reserve')
  })

  it('counts an old reservation if not all jobs have been read', () => {
    const old = { ...EXISTING, reservedAtMs: WANTED.reservedAtMs - RESERVATION_GRACE_MS - 1 }
    expect(planReservation([old], WANTED, 700, { ...known(), isComplete: false }).plan).toBe('full')
  })

  it('detects a job that already has a reservation', () => {
    expect(planReservation([WANTED], WANTED, 0, known()).plan).toBe('already_reserved')
  })
})
