/** Measures how long requests of a service occupy an engine slot. */

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
      const mean = means.get(service)
      if (mean === undefined) {
        means.set(service, { meanMs: elapsedMs, samples: 1 })
        return
      }
      mean.samples++
      mean.meanMs += Math.max(SMOOTHING, 1 / mean.samples) * (elapsedMs - mean.meanMs)
    },
    holdMs: service => {
      const mean = means.get(service)
      return mean === undefined || mean.samples < MIN_SAMPLES ? undefined : mean.meanMs
    }
  }
}
