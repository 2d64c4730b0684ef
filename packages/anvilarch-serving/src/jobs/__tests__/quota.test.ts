import { createJobRecord } from '../jobRecord'
import { furtherPagesRange, MAX_PAGE_RESERVATIONS, pageKey, paginate, planReservation, quotaKey, RESERVATION_GRACE_MS, type Reservation } from '../quota'
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

describe('the pages of reservations', () => {
  const reservations = Array.from({ length: 2 * MAX_PAGE_RESERVATIONS + 1 }, (_, index) => ({ ...EXISTING, jobId: `job${index}` }))

  it('are full but for the last one', () => {
    const pages = paginate(reservations, 1)
    expect(pages.map(page => page.length)).toEqual([MAX_PAGE_RESERVATIONS, MAX_PAGE_RESERVATIONS, 1])
    expect(pages.flat()).toEqual(reservations)
  })

  it('are emptied when they are no longer needed', () => {
    expect(paginate([EXISTING], 3)).toEqual([[EXISTING], [], []])
    expect(paginate([], 1)).toEqual([[]])
  })

  // Guards against reservations that are missed, or counted for another account, because of the order of the keys.
  it('have keys in a range of their own', () => {
    const first = quotaKey('r', 'ac')
    const { from, to } = furtherPagesRange(first)
    const isIn = (key: string): boolean => key >= String(from) && key < String(to)
    expect([1, 2, 10, 99].every(page => isIn(pageKey(first, page).key))).toBe(true)
    expect(['ac', 'acme', 'ac~1', 'ac}', 'ad'].some(account => isIn(quotaKey('r', account).key))).toBe(false)
    expect(isIn(pageKey(quotaKey('r', 'acme'), 1).key)).toBe(false)
  })
})
