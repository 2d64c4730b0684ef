/** Learns how long requests of a service hold a slot. */

/** Mean times by service. */
export interface HoldTimes {
  onAnswer: (service: string, elapsedMs: number) => void
  /** @returns the mean, or undefined until enough requests have been seen */
  holdMs: (service: string) => number | undefined
}

/** Fewer requests than this say too little to refuse others by. */
const MIN_SAMPLES = 10

/** Weight of the newest request: the mean follows a change of pace within some twenty requests. */
const SMOOTHING = 0.05

/** @returns times without samples */
export function createHoldTimes (): HoldTimes {
  const means = new Map<string, { meanMs: number, samples: number }>()
  return {
    onAnswer: (service, elapsedMs) => {
      const known = means.get(service)
      if (known === undefined) {
        means.set(service, { meanMs: elapsedMs, samples: 1 })
        return
      }
      known.samples++
      known.meanMs += Math.max(SMOOTHING, 1 / known.samples) * (elapsedMs - known.meanMs)
    },
    holdMs: service => {
      const known = means.get(service)
      return known === undefined || known.samples < MIN_SAMPLES ? undefined : known.meanMs
    }
  }
}
