import { droppedRun, evidenceOf, WORK_AT_MS } from '../../rule/__fixtures__/evidence'
import { judge } from '../report'

describe('a whole response that is cut', () => {
  it.each([1, 500, 2_000])('is lost, however long before the cut its endpoint ended it (%i ms)', earlierMs => {
    const run = droppedRun({ end: 'complete', endedAtMs: WORK_AT_MS + 4_000 - earlierMs })
    expect(judge({ evidence: evidenceOf({ runs: [run] }), attempts: [], problems: [], longestPauseMs: 0, logPaths: new Map() }).counts.lost).toBe(1)
  })
})
