/** Counts the requests of a gateway by outcome, for the periodic log line. */

/** Outcome of a request from the point of view of its client. `cut`: this process closed the connection without a complete response. */
export type TrafficOutcome = 'answered' | 'failed' | 'cut' | 'refused' | 'late' | 'left'

/** Counts since the last reset, and the number of requests in progress. */
export type TrafficCounts = Record<TrafficOutcome | 'arrived' | 'inProgress', number>

/** Request counters of a gateway. */
export interface TrafficCounters {
  onArrival: () => void
  onEnd: (outcome: TrafficOutcome) => void
  /** Resets the counts. @returns the counts since the last reset; undefined if all are 0 */
  readAndReset: () => TrafficCounts | undefined
}

/** @returns counters that are all 0 */
export function createTrafficCounters (): TrafficCounters {
  let inProgress = 0
  let counts = emptyCounts()
  return {
    onArrival: () => {
      counts.arrived++
      inProgress++
    },
    onEnd: outcome => {
      counts[outcome]++
      inProgress--
    },
    readAndReset: () => {
      const current = { ...counts, inProgress }
      counts = emptyCounts()
      return Object.values(current).some(count => count > 0) ? current : undefined
    }
  }
}

function emptyCounts (): TrafficCounts {
  return { arrived: 0, answered: 0, failed: 0, cut: 0, inProgress: 0, refused: 0, late: 0, left: 0 }
}
