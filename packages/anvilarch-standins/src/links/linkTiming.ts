/** When bytes arrive over a link with a delay, jitter, little bandwidth and short holds. */
import type { Random } from 'anvilarch-utils'

/** A link. All times are in milliseconds. */
export interface LinkProfile {
  delayMs: number
  /** Longest time added to the delay. */
  jitterMs: number
  bytesPerMs: number
  /** Mean time between holds, in which nothing arrives. */
  holdGapMs: number
  /** Longest hold. */
  holdMs: number
}

/** Time in which nothing arrives. */
interface Hold {
  fromMs: number
  toMs: number
}

/** @returns a profile within the limits of the deployment */
export function drawLinkProfile (random: Random): LinkProfile {
  return { delayMs: random.next() * 30, jitterMs: random.next() * 10, bytesPerMs: random.between(100, 1000), holdGapMs: random.between(800, 4000), holdMs: random.between(20, 300) }
}

/**
 * @param profile - the link
 * @param random - jitter and holds
 * @returns a function that returns when bytes that are sent now arrive; never before those that were sent earlier
 */
export function createLinkTiming (profile: LinkProfile, random: Random): (nowMs: number, bytes: number) => number {
  let freeAtMs = -Infinity
  let lastArrivalMs = -Infinity
  let hold: Hold | undefined
  const nextHold = (afterMs: number): Hold => {
    const fromMs = afterMs + random.jitter(profile.holdGapMs, 0.5)
    return { fromMs, toMs: fromMs + random.next() * profile.holdMs }
  }
  return (nowMs, bytes) => {
    freeAtMs = Math.max(freeAtMs, nowMs) + bytes / profile.bytesPerMs
    const arrivalMs = Math.max(lastArrivalMs, freeAtMs + profile.delayMs + random.next() * profile.jitterMs)
    hold ??= nextHold(nowMs)
    while (hold.toMs < arrivalMs) hold = nextHold(hold.toMs)
    lastArrivalMs = hold.fromMs <= arrivalMs ? hold.toMs : arrivalMs
    return lastArrivalMs
  }
}
