import fc from 'fast-check'
import type { Row } from 'anvilarch-protocol'
import { afterPage, EMPTY_VIEW } from '../activeView'
import { afterPartsRead, partsToRead, SEARCH_PAGE_PARTS, startSearch } from '../partSearch'
import type { ActiveRow, PartRow } from '../rows'
import { scheduleOrder } from '../scheduleOrder'

const activeRow = (jobId: string, caller: string, expiresAtMs: number): ActiveRow => ({ jobId, caller, parts: 1, models: ['m'], createdAtMs: 0, expiresAtMs })

const toRow = (jobId: string): Row => ({ key: `active/${jobId}`, version: 1, value: JSON.stringify(activeRow(jobId, 'c', 9)) })

describe('scheduleOrder', () => {
  const jobs = [activeRow('a1', 'a', 50), activeRow('a2', 'a', 20), activeRow('a3', 'a', 30), activeRow('b1', 'b', 900), activeRow('c1', 'c', 5)]
  const order = (lastServed: Record<string, number>, leased: Record<string, number> = {}): string[] => scheduleOrder({
    jobs, wallMs: 10, leasedPartsOf: caller => leased[caller] ?? 0, lastServed: caller => lastServed[caller] ?? 0, callerRank: caller => caller.charCodeAt(0)
  }).map(job => job.jobId)

  it('alternates between callers, and orders the jobs of one caller by their expiry', () => {
    expect(order({})).toEqual(['a2', 'b1', 'a3', 'a1'])
    expect(order({ a: 2, b: 1 })).toEqual(['b1', 'a2', 'a3', 'a1'])
  })

  it('puts a caller with more leased parts last, regardless of its last claim', () => {
    expect(order({ b: 7 }, { a: 3 })[0]).toBe('b1')
  })

  it('leaves out expired jobs', () => {
    expect(order({})).not.toContain('c1')
  })
})

describe('afterPage', () => {
  it('lists every active job after one pass of pages, and reports each ended job within the next pass', () => {
    const ids = fc.uniqueArray(fc.constantFrom(...'abcdefghij'.split('')), { maxLength: 10 })
    fc.assert(fc.property(ids, ids, fc.integer({ min: 1, max: 4 }), (before, after, limit) => {
      let view = EMPTY_VIEW
      const ended: string[] = []
      for (const present of [before, after]) {
        const sorted = [...present].sort()
        const target = view.rounds + 1
        while (view.rounds < target) {
          const rest = sorted.filter(id => view.after === undefined || `active/${id}` > view.after)
          const rows = rest.slice(0, limit).map(toRow)
          const step = afterPage(view, rest.length > limit ? { rows, next: rows[rows.length - 1].key } : { rows })
          view = step.view
          ended.push(...step.ended)
        }
      }
      expect([...view.jobs.keys()].sort()).toEqual([...after].sort())
      expect(ended.sort()).toEqual(before.filter(id => !after.includes(id)).sort())
    }), { seed: 1, numRuns: 500 })
  })
})

describe('afterPartsRead', () => {
  const part = (completed: number, holder = ''): PartRow => ({ epoch: 1, holder, items: 2, done: '', completed, failed: 0, segments: [] })

  it('finds each claimable part once in a pass, and reports when all parts are done', () => {
    const run = fc.record({ state: fc.constantFrom('done', 'free', 'leased', 'absent'), length: fc.integer({ min: 1, max: 60 }) })
    const runs = fc.array(run, { minLength: 1, maxLength: 4, size: 'max' }).map(each => each.flatMap(({ state, length }) => new Array<string>(length).fill(state)))
    fc.assert(fc.property(runs, fc.nat(), (states, start) => {
      let search = startSearch(states.length, start)
      const found: number[] = []
      const rowOf = (index: number): PartRow | undefined =>
        found.includes(index) || states[index] === 'leased' ? part(0, 'x') : states[index] === 'absent' ? undefined : part(states[index] === 'done' ? 2 : 0)
      for (let reads = 0; ; reads++) {
        const parts = partsToRead(search)
        expect(parts.length).toBeLessThanOrEqual(SEARCH_PAGE_PARTS)
        const step = afterPartsRead(search, parts.map(index => ({ part: index, version: 1, row: rowOf(index) })), (_part, row) => row.holder === '')
        search = step.search
        if (step.claimable !== undefined) found.push(step.claimable.part)
        if (step.exhausted) {
          expect(step.allDone).toBe(states.every(state => state === 'done'))
          break
        }
        expect(reads).toBeLessThan(2 * states.length + 4)
      }
      expect(found.sort((left, right) => left - right)).toEqual(states.flatMap((state, index) => ['free', 'absent'].includes(state) ? [index] : []))
      expect(search.counts.completed).toBe(2 * states.filter(state => state === 'done').length)
    }), { seed: 1, numRuns: 300 })
  })
})
