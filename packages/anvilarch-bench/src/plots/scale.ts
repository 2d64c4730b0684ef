/** Scales that map values to positions, with round ticks. */
import type { ScaleKind } from './types'

/** Maps a value to a position in the plot. */
export interface Scale {
  position: (value: number) => number
  ticks: number[]
}

/** Range of an axis: values and the positions of its ends. */
export interface AxisRange {
  min: number
  max: number
  from: number
  to: number
}

const TARGET_TICKS = 5
const ROUND_STEPS = [1, 2, 5, 10]
/** Log axes with fewer decades than this get ticks at 2 and 5 as well. */
const FEW_DECADES = 3

const SCALES: Record<ScaleKind, (range: AxisRange) => Scale> = { linear: linearScale, log: logScale }

/**
 * @param kind - linear or log
 * @param range - values and positions of the ends
 * @returns a scale whose range is widened to whole ticks
 */
export function createScale (kind: ScaleKind, range: AxisRange): Scale {
  return SCALES[kind](range)
}

/**
 * @param value - value of a tick
 * @returns a short form, for example `12k`
 */
export function formatTick (value: number): string {
  const magnitude = Math.abs(value)
  if (magnitude >= 1e9) return `${Number((value / 1e9).toPrecision(3))}G`
  if (magnitude >= 1e6) return `${Number((value / 1e6).toPrecision(3))}M`
  if (magnitude >= 1e4) return `${Number((value / 1e3).toPrecision(3))}k`
  return String(Number(value.toPrecision(3)))
}

function linearScale (range: AxisRange): Scale {
  const span = range.max - range.min || Math.abs(range.max) || 1
  const rough = span / TARGET_TICKS
  const power = 10 ** Math.floor(Math.log10(rough))
  const step = power * (ROUND_STEPS.find(factor => factor * power >= rough) ?? 10)
  const low = Math.floor(range.min / step) * step
  const high = Math.max(Math.ceil(range.max / step) * step, low + step)
  const count = Math.round((high - low) / step)
  const ticks = Array.from({ length: count + 1 }, (_, index) => Number((low + index * step).toPrecision(12)))
  return { ticks, position: value => interpolate((value - low) / (high - low), range) }
}

function logScale (range: AxisRange): Scale {
  const lowest = Math.max(range.min, Number.MIN_VALUE)
  const low = Math.floor(Math.log10(lowest))
  const high = Math.max(Math.ceil(Math.log10(Math.max(range.max, lowest))), low + 1)
  const factors = high - low <= FEW_DECADES ? [1, 2, 5] : [1]
  const ticks: number[] = []
  for (let decade = low; decade <= high; decade++) {
    for (const factor of factors) {
      if (decade < high || factor === 1) ticks.push(Number((factor * 10 ** decade).toPrecision(6)))
    }
  }
  return { ticks, position: value => interpolate((Math.log10(Math.max(value, lowest)) - low) / (high - low), range) }
}

function interpolate (share: number, range: AxisRange): number {
  return range.from + share * (range.to - range.from)
}
