/** Measures how long requests of a service hold a slot. */

/** Mean hold times by service, as moving averages. */
export interface HoldTimes {
  onCompleted: (service: string, elapsedMs: number) => void
  /** @returns the mean; undefined until there are enough samples */
  holdMs: (service: string) => number | undefined
}

/** Fewer samples than this are too few to refuse requests by. */
const MIN_SAMPLES = 10

/** Weight of the newest sample. The mean follows a change within some twenty requests. */
const SMOOTHING = 0.05

/** @returns hold times without samples */
export function createHoldTimes (): HoldTimes {
  const means = new Map<string, { meanMs: number, samples: number }>()
  return {
    onCompleted: (service, elapsedMs) => {
      const stats = means.get(service)
      if (stats === undefined) {
        means.set(service, { meanMs: elapsedMs, samples: 1 })
        return
      }
      stats.samples++
      stats.meanMs += Math.max(SMOOTHING, 1 / stats.samples) * (elapsedMs - stats.meanMs)
    },
    holdMs: service => {
      const stats = means.get(service)
      return stats === undefined || stats.samples < MIN_SAMPLES ? undefined : stats.meanMs
    }
  }
}
