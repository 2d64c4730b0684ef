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
const HELD: Reservation = { jobId: 'old', tokens: 400, reservedAtMs: 99_000 }

describe('planReservation', () => {
  it('takes a job while all that waits stays within the limit', () => {
    expect(planReservation([HELD], WANTED, 800, known(job('old', 0)))).toMatchObject({ plan: 'reserve', reservations: [HELD, WANTED] })
    expect(planReservation([HELD], WANTED, 799, known(job('old', 0)))).toEqual({ plan: 'full', waitingTokens: 400 })
  })

  it('counts only the items that still wait', () => {
    expect(planReservation([HELD], WANTED, 600, known(job('old', 2))).plan).toBe('reserve')
    expect(planReservation([HELD], WANTED, 400, known(job('old', 4)))).toEqual({ plan: 'reserve', reservations: [WANTED] })
  })

  // Guards against this: two gateways together accept more than the limit allows.
  it('counts a reservation whose job is not known yet, until it cannot come any more', () => {
    expect(planReservation([HELD], WANTED, 700, known()).plan).toBe('full')
    const old = { ...HELD, reservedAtMs: WANTED.reservedAtMs - RESERVATION_GRACE_MS - 1 }
    expect(planReservation([old], WANTED, 700, known()).plan).toBe('reserve')
  })

  it('counts an old reservation whose job has not been looked for', () => {
    const old = { ...HELD, reservedAtMs: WANTED.reservedAtMs - RESERVATION_GRACE_MS - 1 }
    expect(planReservation([old], WANTED, 700, { ...known(), isComplete: false }).plan).toBe('full')
  })

  it('finds a job that has reserved already', () => {
    expect(planReservation([WANTED], WANTED, 0, known()).plan).toBe('already_reserved')
  })
})
