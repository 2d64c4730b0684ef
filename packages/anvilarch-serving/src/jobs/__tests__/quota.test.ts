import { createJobRecord } from '../jobRecord'
import { arrangePages, decodePages, MAX_PAGE_RESERVATIONS, pageKey, planReservation, quotaKey, RESERVATION_GRACE_MS, type Reservation } from '../quota'
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
  const reservation = (jobId: string): Reservation => ({ ...EXISTING, jobId })
  const full = Array.from({ length: MAX_PAGE_RESERVATIONS }, (_, index) => reservation(`full${index}`))

  it('keep reservations where they are, and take a new one on the first page with room', () => {
    const pages = [{ version: 5, reservations: full }, { version: 6, reservations: [reservation('a'), reservation('b')] }]
    expect(arrangePages(pages, [...full, reservation('b'), WANTED])).toEqual([full, [reservation('b'), WANTED]])
    expect(arrangePages(pages, [...full.slice(1), reservation('b'), WANTED])).toEqual([[...full.slice(1), WANTED], [reservation('b')]])
  })

  it('get a new page when all are full', () => {
    expect(arrangePages([{ version: 5, reservations: full }], [...full, WANTED])).toEqual([full, [WANTED]])
  })

  it('are told apart from those of accounts whose names begin alike', () => {
    const rowOf = (key: ReturnType<typeof quotaKey>, jobId: string): Parameters<typeof decodePages>[1][number] => ({ ...key, value: Buffer.from(JSON.stringify([reservation(jobId)])), version: 3 })
    const own = quotaKey('r', 'ac')
    const rows = [rowOf(own, 'own'), rowOf(pageKey(own, 1), 'own2'), rowOf(quotaKey('r', 'acme'), 'other'), rowOf(quotaKey('r', 'ac~2'), 'another')]
    expect(decodePages(own, rows).map(page => page.reservations.map(entry => entry.jobId))).toEqual([['own'], ['own2']])
    expect(decodePages(own, [])).toEqual([{ version: 0, reservations: [] }])
  })
})
