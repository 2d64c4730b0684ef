import { createRandom } from 'anvilarch-utils'
import { createOutlierTable } from '../outliers'
import { chooseTarget } from '../policies'
import type { Target } from '../types'

const KEYS = ['a/e', 'b/e', 'c/e']
const REQUESTS = 300
const BETWEEN_MS = 100
/** Requests in progress at an endpoint that does not fail. */
const BUSY_REQUESTS = 5

const targets = KEYS.map((key): Target => ({ key, agent: key, address: '', endpoint: 'e', incarnation: '1', failureDomain: 'hall-a', region: 'west' }))

/** @returns the number of requests sent to endpoint `a`, which is idle and fails this share of them at once */
function countSentToFirst (failShare: number, failsElsewhere = 0): number {
  const table = createOutlierTable(() => {})
  const random = createRandom(7)
  let sentToFirst = 0
  for (let request = 0; request < REQUESTS; request++) {
    const nowMs = request * BETWEEN_MS
    const target = chooseTarget('affinity', {
      service: 's',
      workClass: 'online',
      affinityKey: '',
      exclude: new Set(),
      avoid: table.ejected(KEYS, nowMs),
      targets,
      ownFailureDomain: 'hall-a',
      ownRegion: 'west',
      turn: request,
      random: random.next,
      loadOf: ({ key }) => ({ requests: key === 'a/e' ? 0 : BUSY_REQUESTS, free: undefined })
    }) as Target
    const isFirst = target.key === 'a/e'
    if (isFirst) sentToFirst++
    table.noteOutcome(target.key, random.next() < (isFirst ? failShare : failsElsewhere), nowMs)
  }
  return sentToFirst
}

/** @returns a table in which every endpoint has succeeded so far */
function healthyTable (): ReturnType<typeof createOutlierTable> {
  const table = createOutlierTable(() => {})
  for (const key of KEYS) for (let success = 0; success < 3; success++) table.noteOutcome(key, false, 0)
  return table
}

function fail (table: ReturnType<typeof createOutlierTable>, key: string, count: number, nowMs: number): void {
  for (let failure = 0; failure < count; failure++) table.noteOutcome(key, true, nowMs)
}

describe('createOutlierTable', () => {
  // Guards against an engine that fails at once and, being always idle, receives most requests of its service.
  it.each([1, 0.5])('limits an endpoint that fails a share of %d at once to less than its share of the requests', failShare => {
    expect(countSentToFirst(0)).toBeGreaterThan(REQUESTS / KEYS.length)
    expect(countSentToFirst(failShare)).toBeLessThan(REQUESTS / KEYS.length)
  })

  it('does not attribute requests that fail wherever they run to an endpoint', () => {
    const table = createOutlierTable(() => {})
    for (const key of KEYS) fail(table, key, 10, 0)
    expect(table.ejected(KEYS, 1).size).toBe(0)
    expect(countSentToFirst(0.5, 0.5)).toBeGreaterThan(REQUESTS / KEYS.length)
  })

  it('readmits an endpoint on probation, and fully once it has succeeded often enough', () => {
    const table = healthyTable()
    fail(table, 'a/e', 3, 0)
    expect([...table.ejected(KEYS, 1)]).toEqual(['a/e'])
    expect(table.ejected(KEYS, 2001).size).toBe(0)
    table.noteOutcome('a/e', true, 2002)
    expect([...table.ejected(KEYS, 2003)]).toEqual(['a/e'])
    expect([...table.ejected(KEYS, 6002)]).toEqual(['a/e'])
    expect(table.ejected(KEYS, 6004).size).toBe(0)
    for (let success = 0; success < 5; success++) table.noteOutcome('a/e', false, 6005)
    table.noteOutcome('a/e', true, 6006)
    expect(table.ejected(KEYS, 6007).size).toBe(0)
  })

  // Guards against routing to an endpoint that has begun to fail, because another one that has recovered is still ejected.
  it('readmits the endpoint that was ejected first when another one begins to fail', () => {
    const table = healthyTable()
    fail(table, 'a/e', 3, 0)
    expect([...table.ejected(KEYS, 1)]).toEqual(['a/e'])
    fail(table, 'b/e', 5, 2)
    expect([...table.ejected(KEYS, 3)]).toEqual(['b/e'])
  })

  it('never ejects more than half of the endpoints of a service, nor its only one', () => {
    const four = ['a', 'b', 'c', 'd']
    const table = createOutlierTable(() => {})
    for (const [index, key] of four.entries()) {
      fail(table, key, 3, index)
      table.ejected(four, index)
    }
    expect(table.ejected(four, 10).size).toBeLessThanOrEqual(2)
    expect(table.ejected(['a'], 10).size).toBeLessThanOrEqual(1)
    const alone = createOutlierTable(() => {})
    fail(alone, 'a', 10, 0)
    expect(alone.ejected(['a'], 1).size).toBe(0)
  })

  it('ignores failures of requests that were sent before the ejection', () => {
    const table = healthyTable()
    fail(table, 'a/e', 3, 0)
    expect([...table.ejected(KEYS, 1)]).toEqual(['a/e'])
    fail(table, 'a/e', 20, 100)
    expect(table.ejected(KEYS, 2001).size).toBe(0)
  })
})
