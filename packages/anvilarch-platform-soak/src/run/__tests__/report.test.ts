import { droppedRun, evidenceOf, WORK_AT_MS } from '../../rule/__fixtures__/evidence'
import { judge } from '../report'

/** Time at which the connection to the client ends. */
const CUT_AT_MS = WORK_AT_MS + 4_000

/** @returns the number of lost requests if a response that ended at this time was cut, and the process of its endpoint ended at that one */
function lostIf (endedAtMs: number, goneAtMs: number | undefined): number {
  const run = droppedRun({ end: 'complete', endedAtMs, goneAtMs })
  return judge({ evidence: evidenceOf({ runs: [run] }), attempts: [], problems: [], longestPauseMs: 0, logPaths: new Map() }).lost
}

describe('a whole response without a length that is cut', () => {
  it.each([
    ['is lost while the process of its endpoint goes on', CUT_AT_MS - 500, undefined, 1],
    ['is lost if the process ended after the cut', CUT_AT_MS - 500, CUT_AT_MS + 1, 1],
    ['is lost if the process ended long after the response', CUT_AT_MS - 1500, CUT_AT_MS - 400, 1],
    ['is not counted if the process was gone before it could be asked', CUT_AT_MS - 500, CUT_AT_MS - 400, 0]
  ])('%s', (_name, endedAtMs, goneAtMs, lost) => {
    expect(lostIf(endedAtMs, goneAtMs)).toBe(lost)
  })
})
