/** Chooses the planned work of a run from its seed: one series for each kind, which overlap. */
import type { Random } from 'anvilarch-utils'
import { createDerivedRandom } from '../derivedRandom'

/** Kinds of planned work, with the gaps between the starts of two entries and how many steps an entry has. */
const SERIES = {
  roll_gateways: { gapMs: [6000, 10_000], steps: [2, 6], stepGapMs: [1000, 1300] },
  stop_agents: { gapMs: [5000, 12_000], steps: [1, 2], stepGapMs: [500, 1500] },
  reload: { gapMs: [3000, 8000], steps: [1, 3], stepGapMs: [300, 1200] },
  configure: { gapMs: [2000, 6000], steps: [1, 3], stepGapMs: [200, 1500] },
  release: { gapMs: [8000, 16_000], steps: [1, 3], stepGapMs: [1000, 2000] },
  scale_in: { gapMs: [10_000, 20_000], steps: [1, 2], stepGapMs: [500, 1500] },
  scale_out: { gapMs: [8000, 16_000], steps: [1, 2], stepGapMs: [500, 1500] },
  burst: { gapMs: [8000, 16_000], steps: [1, 1], stepGapMs: [0, 0] },
  pause_engine: { gapMs: [1000, 3000], steps: [1, 1], stepGapMs: [0, 0] },
  discard_history: { gapMs: [5000, 15_000], steps: [1, 1], stepGapMs: [0, 0] }
} as const

/** Kind of planned work, or of what happens to endpoints in their normal course. */
export type WorkKind = keyof typeof SERIES

export const WORK_KINDS = Object.keys(SERIES) as WorkKind[]

/** A step of planned work. */
export interface WorkStep {
  kind: WorkKind
  /** Time since the start of the load. */
  atMs: number
  /** Seed of what the step draws. */
  seed: number
}

/** Load without work at the start. */
const QUIET_MS = 2000

const MAX_SEED = 0x7fffffff

/**
 * @param kinds - kinds to choose
 * @param seed - determines the steps of each kind, whatever the other kinds are
 * @param durationMs - time of the load
 * @returns the steps in the order of their times
 */
export function drawSchedule (kinds: readonly WorkKind[], seed: number, durationMs: number): WorkStep[] {
  const steps = kinds.flatMap(kind => drawSeries(kind, createDerivedRandom(seed + 7919 * (1 + WORK_KINDS.indexOf(kind))), durationMs))
  return steps.sort((a, b) => a.atMs - b.atMs)
}

function drawSeries (kind: WorkKind, random: Random, durationMs: number): WorkStep[] {
  const { gapMs, steps, stepGapMs } = SERIES[kind]
  const drawn: WorkStep[] = []
  for (let startMs = QUIET_MS + random.next() * gapMs[0]; startMs < durationMs; startMs += random.between(gapMs[0], gapMs[1])) {
    const count = random.between(steps[0], steps[1])
    for (let atMs = startMs, step = 0; step < count && atMs < durationMs; step++, atMs += random.between(stepGapMs[0], stepGapMs[1])) {
      drawn.push({ kind, atMs, seed: random.between(0, MAX_SEED) })
    }
  }
  return drawn
}
